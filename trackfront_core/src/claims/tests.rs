use super::*;

fn claim(key: u128, request: u64) -> Claim {
    Claim {
        key: ClaimKey(key),
        asked: CallHash(1),
        request: RequestHash(request),
        at: UnixMillis(1),
    }
}

fn commit(book: &mut ClaimBook) -> Vec<ClaimEntry> {
    let batch = book.start_batch().expect("something waits");
    book.committed();
    batch
}

#[test]
fn one_request_gets_the_key_and_the_next_owner_knows() {
    let mut book = ClaimBook::default();
    assert_eq!(book.take(claim(7, 1)), Taken::Waits);
    assert_eq!(book.take(claim(7, 2)), Taken::Reply(ClaimReply::InDoubt));
    let batch = commit(&mut book);
    assert_eq!(book.take(claim(7, 1)), Taken::Reply(ClaimReply::Granted));
    let mut next = ClaimBook::default();
    next.load(&batch);
    assert_eq!(next.take(claim(7, 2)), Taken::Reply(ClaimReply::InDoubt));
    let other = Claim { asked: CallHash(2), ..claim(7, 3) };
    assert_eq!(next.take(other), Taken::Reply(ClaimReply::OtherCall));
}

#[test]
fn a_release_frees_the_key_only_once_it_is_committed() {
    let mut book = ClaimBook::default();
    book.take(claim(7, 1));
    commit(&mut book);
    book.release(ClaimKey(7), RequestHash(2));
    assert!(book.start_batch().is_none());
    book.release(ClaimKey(7), RequestHash(1));
    assert_eq!(book.take(claim(7, 2)), Taken::Reply(ClaimReply::InDoubt));
    commit(&mut book);
    assert_eq!(book.take(claim(7, 2)), Taken::Waits);
}

#[test]
fn a_key_that_was_forgotten_and_claimed_again_is_read_back() {
    let mut book = ClaimBook::default();
    book.take(claim(7, 1));
    let mut log = commit(&mut book);
    book.forget(UnixMillis(2));
    book.take(Claim { at: UnixMillis(3), ..claim(7, 2) });
    log.extend(commit(&mut book));
    let mut next = ClaimBook::default();
    next.load(&log);
    assert_eq!(next.take(claim(7, 2)), Taken::Reply(ClaimReply::Granted));
    next.forget(UnixMillis(3));
    assert_eq!(next.len(), 1, "the age of the later claim counts");
    next.forget(UnixMillis(4));
    assert!(next.is_empty());
}

#[test]
fn answers_are_given_again_and_bounded() {
    let mut book = ClaimBook::default();
    for key in 0..1_000 {
        book.take(claim(key, 1));
        commit(&mut book);
        let body = Bytes::from(vec![0; MAX_ANSWER_BYTES]);
        let answer = RecordedAnswer { status: 200, content_type: None, body };
        book.answered(ClaimKey(key), RequestHash(1), answer);
    }
    assert!(book.answers.bytes <= MAX_ANSWERS_BYTES);
    assert_eq!(book.take(claim(0, 2)), Taken::Reply(ClaimReply::InDoubt));
    assert!(matches!(book.take(claim(999, 2)), Taken::Reply(ClaimReply::Answered(_))));
    book.forget(UnixMillis(2));
    assert!(book.is_empty());
    assert_eq!(book.answers.bytes, 0);
}
