use super::*;

fn claim(key: u128, request: u64) -> Claim {
    Claim {
        key: ClaimKey(key),
        asked: CallHash(1),
        request: RequestHash(request),
        at: UnixMillis(1),
    }
}

fn commit(index: &mut ClaimIndex) -> Vec<ClaimEntry> {
    let batch = index.start_batch().expect("an entry waits");
    index.finish_batch();
    batch
}

/// Guards against a call that runs twice, also after the owner has changed.
#[test]
fn one_request_gets_the_key_also_after_a_change_of_owner() {
    let mut index = ClaimIndex::default();
    assert_eq!(index.submit(claim(7, 1)), Submission::Pending);
    assert_eq!(index.submit(claim(7, 2)), Submission::Reply(ClaimReply::InDoubt));
    let batch = commit(&mut index);
    assert_eq!(index.submit(claim(7, 1)), Submission::Reply(ClaimReply::Granted));
    let mut next = ClaimIndex::default();
    next.load_batch(&batch);
    assert_eq!(next.submit(claim(7, 2)), Submission::Reply(ClaimReply::InDoubt));
    let other = Claim { asked: CallHash(2), ..claim(7, 3) };
    assert_eq!(next.submit(other), Submission::Reply(ClaimReply::OtherCall));
}

/// Guards against a key that is granted again before the next owner would know of its release.
#[test]
fn release_frees_the_key_after_its_commit() {
    let mut index = ClaimIndex::default();
    index.submit(claim(7, 1));
    commit(&mut index);
    index.release(ClaimKey(7), RequestHash(2));
    assert!(index.start_batch().is_none());
    index.release(ClaimKey(7), RequestHash(1));
    assert_eq!(index.submit(claim(7, 2)), Submission::Reply(ClaimReply::InDoubt));
    commit(&mut index);
    assert_eq!(index.submit(claim(7, 2)), Submission::Pending);
}

/// Guards against a log that cannot be loaded because a key is in it twice.
#[test]
fn expired_key_that_was_claimed_again_is_loaded() {
    let mut index = ClaimIndex::default();
    index.submit(claim(7, 1));
    let mut log = commit(&mut index);
    index.expire(UnixMillis(2));
    index.submit(Claim { at: UnixMillis(3), ..claim(7, 2) });
    log.extend(commit(&mut index));
    let mut next = ClaimIndex::default();
    next.load_batch(&log);
    assert_eq!(next.submit(claim(7, 2)), Submission::Reply(ClaimReply::Granted));
    next.expire(UnixMillis(3));
    assert_eq!(next.len(), 1, "the age of the later claim counts");
    next.expire(UnixMillis(4));
    assert!(next.is_empty());
}

#[test]
fn answers_are_repeated_and_bounded() {
    let mut index = ClaimIndex::default();
    for key in 0..1_000 {
        index.submit(claim(key, 1));
        commit(&mut index);
        let body = Bytes::from(vec![0; MAX_ANSWER_BYTES]);
        let answer = RecordedAnswer { status: 200, content_type: None, body };
        index.record_answer(ClaimKey(key), RequestHash(1), answer);
    }
    assert!(index.answers.bytes <= MAX_ANSWERS_BYTES);
    assert_eq!(index.submit(claim(0, 2)), Submission::Reply(ClaimReply::InDoubt));
    assert!(matches!(index.submit(claim(999, 2)), Submission::Reply(ClaimReply::Answered(_))));
    index.expire(UnixMillis(2));
    assert!(index.is_empty());
    assert_eq!(index.answers.bytes, 0);
}
