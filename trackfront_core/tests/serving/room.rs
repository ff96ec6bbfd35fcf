//! Room at brittle servers: grants over all boxes, by one clock.

use std::collections::VecDeque;
use std::time::Duration;

use trackfront_core::quota::BoxId;
use trackfront_core::serving::room::{
    GrantId, GrantRequest, REFUSED_WAIT, RoomAnswer, RoomIssuer, Settled,
};

use super::support::at;

const SERVER: u32 = 7;

/// The slots of the server, of which nine are granted.
const SLOTS: f64 = 10.0;

fn id(number: u32) -> GrantId {
    GrantId { holder: BoxId(number % 984), number }
}

fn request(number: u32, max_wait_ms: u64) -> GrantRequest {
    let (max_wait, max_time) = (Duration::from_millis(max_wait_ms), Duration::from_secs(5));
    GrantRequest { id: id(number), slots: SLOTS, max_wait, max_time }
}

fn filled() -> RoomIssuer {
    let mut issuer = RoomIssuer::default();
    for number in 0..9 {
        assert_eq!(issuer.request(SERVER, request(number, 0), 0, at(0)), RoomAnswer::Granted);
    }
    issuer
}

/// Guards against more requests of all boxes than the server has slots.
#[test]
fn no_more_is_granted_than_there_are_slots() {
    let mut issuer = filled();
    let answer = issuer.request(SERVER, request(9, 0), 0, at(0));
    assert_eq!(answer, RoomAnswer::NotBefore(REFUSED_WAIT));
    assert_eq!(issuer.request(SERVER, request(10, 100), 0, at(0)), RoomAnswer::Waits);
    let settled = issuer.release(SERVER, id(3), false, at(50));
    assert_eq!(settled, Settled { granted: vec![id(10)], refused: Vec::new() });
}

/// Guards against requests that wait without an answer once their time is over.
#[test]
fn request_that_waited_as_long_as_it_can_is_refused() {
    let mut issuer = filled();
    issuer.request(SERVER, request(10, 100), 0, at(0));
    assert_eq!(issuer.settle(at(99)), Settled::default());
    assert_eq!(issuer.settle(at(100)).refused, vec![id(10)]);
    assert!(!issuer.has_waiting());
}

/// Guards against room that is lost with the return of a grant.
#[test]
fn grant_whose_return_was_lost_ends() {
    let mut issuer = filled();
    assert_eq!(issuer.request(SERVER, request(20, 0), 0, at(5_000)), RoomAnswer::Granted);
}

/// Guards against rejections that go on at the rate of requests: after one, fewer are sent.
#[test]
fn rejection_reduces_the_room_for_a_while() {
    let mut issuer = filled();
    issuer.release(SERVER, id(0), true, at(0));
    // Others that were under way are rejected together with it.
    issuer.release(SERVER, id(1), true, at(20));
    (2..9).for_each(|number| drop(issuer.release(SERVER, id(number), false, at(30))));
    let answer = issuer.request(SERVER, request(20, 0), 0, at(200));
    assert_eq!(answer, RoomAnswer::NotBefore(REFUSED_WAIT));
    let granted = |issuer: &mut RoomIssuer, from: u32, ms: u64| {
        let answers =
            (from..from + 20).map(|number| issuer.request(SERVER, request(number, 0), 0, at(ms)));
        answers.filter(|answer| *answer == RoomAnswer::Granted).count()
    };
    assert_eq!(granted(&mut issuer, 100, 400), 6, "three quarters of nine");
    assert_eq!(granted(&mut issuer, 200, 20_000), 9, "later all again");
}

/// Guards against servers that fall over because each of many boxes sends a request at the same moment: 984 boxes, a server
/// that has two thirds of the room that its row says, four times the load that it can run.
#[test]
fn many_boxes_do_not_overrun_a_server_with_less_room_than_it_says() {
    const ROOM: usize = 6;
    const RUN_MS: u64 = 100;
    let mut issuer = RoomIssuer::default();
    let (mut running, mut rejected, mut served) =
        (VecDeque::<(u64, GrantId)>::new(), Vec::new(), 0);
    let mut number = 0;
    for ms in 0..20_000 {
        let mut granted = issuer.settle(at(ms)).granted;
        while running.front().is_some_and(|(until, _)| *until <= ms) {
            let (_, ended) = running.pop_front().expect("it is there");
            granted.extend(issuer.release(SERVER, ended, false, at(ms)).granted);
            served += 1;
        }
        if ms % 4 == 0 {
            number += 1;
            if issuer.request(SERVER, request(number, 150), 0, at(ms)) == RoomAnswer::Granted {
                granted.push(id(number));
            }
        }
        while let Some(next) = granted.pop() {
            if running.len() < ROOM {
                running.push_back((ms + RUN_MS, next));
                continue;
            }
            rejected.push(ms);
            granted.extend(issuer.release(SERVER, next, true, at(ms)).granted);
        }
    }
    let worst = rejected
        .iter()
        .map(|end| rejected.iter().filter(|ms| **ms <= *end && end - **ms < 1_000).count());
    let worst = worst.max().unwrap_or(0);
    println!("{} rejections, {worst} in the worst second, {served} of 1200 served", rejected.len());
    assert!(worst <= 3, "{worst} rejections in a second");
    assert!(served >= 600, "{served} of 1200");
}

/// Guards against a box that has just become the coordinator, or was started again, and takes a server for empty since it
/// knows of no grants: twice the slots would be granted.
#[test]
fn requests_from_before_the_first_one_here_count_until_they_are_returned() {
    let mut issuer = RoomIssuer::default();
    assert_eq!(issuer.request(SERVER, request(0, 0), 7, at(0)), RoomAnswer::Granted);
    assert_eq!(issuer.request(SERVER, request(1, 0), 8, at(0)), RoomAnswer::Granted);
    assert_eq!(issuer.request(SERVER, request(2, 100), 9, at(0)), RoomAnswer::Waits);
    let settled = issuer.release(SERVER, id(700), false, at(10));
    assert_eq!(settled.granted, vec![id(2)], "a grant of an earlier coordinator was returned");
    assert_eq!(
        issuer.request(SERVER, request(3, 0), 9, at(20)),
        RoomAnswer::NotBefore(REFUSED_WAIT)
    );
    issuer.release(SERVER, id(0), false, at(30));
    assert_eq!(issuer.request(SERVER, request(4, 0), 9, at(40)), RoomAnswer::Granted);
    // What was never returned has ended.
    for number in 10..16 {
        assert_eq!(issuer.request(SERVER, request(number, 0), 9, at(5_000)), RoomAnswer::Granted);
    }
}
