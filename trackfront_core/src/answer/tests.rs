use super::*;

fn frame(request: &str, offset: u64) -> Frame {
    Frame { request: request.into(), offset, body: FrameBody::Data("x".into()) }
}

/// Guards against frames of another answer, repeated frames and gaps in what a client receives.
#[test]
fn only_frames_of_the_answer_are_delivered_once_and_in_order() {
    let mut check = AnswerCheck::new("r".into());
    assert_eq!(check.accept(frame("other", 0)), FrameAction::OtherRequest);
    assert_eq!(check.accept(frame("r", 1)), FrameAction::Gap);
    assert_eq!(check.accept(frame("r", 0)), FrameAction::Deliver("x".into()));
    assert_eq!(check.accept(frame("r", 0)), FrameAction::Repeated);
    let end = Frame { request: "r".into(), offset: 1, body: FrameBody::End };
    assert_eq!(check.accept(end), FrameAction::End);
}
