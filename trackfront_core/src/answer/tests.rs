use super::*;

fn frame(request: &str, offset: u64) -> Frame {
    Frame { request: request.into(), offset, body: FrameBody::Data("x".into()) }
}

#[test]
fn only_the_own_frames_are_delivered_once_and_in_order() {
    let mut check = AnswerCheck::new("r".into());
    assert_eq!(check.judge(frame("other", 0)), Verdict::OtherRequest);
    assert_eq!(check.judge(frame("r", 1)), Verdict::Gap);
    assert_eq!(check.judge(frame("r", 0)), Verdict::Deliver("x".into()));
    assert_eq!(check.judge(frame("r", 0)), Verdict::Repeated);
    let end = Frame { request: "r".into(), offset: 1, body: FrameBody::End };
    assert_eq!(check.judge(end), Verdict::End);
}
