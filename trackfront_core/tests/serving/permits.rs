//! Permits at a server that named a limit, kept by boxes that ask each other, beside the other way that was weighed: a few
//! boxes that alone send there, each an even part of the limit, as for cold servers.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use trackfront_core::ids::BackendId;
use trackfront_core::quota::BoxId;
use trackfront_core::serving::cold::{ColdStart, ColdStartTolerance, ColdState, ColdTracker};
use trackfront_core::serving::permits::{
    PermitAnswer, PermitGates, PermitIssuer, coordinator_rate,
};
use trackfront_core::units::Moment;

use super::support::at;

/// The time of one step: a question and its answer take two.
const STEP_MS: u64 = 2;

/// How long a question to a keeper is waited for.
const ANSWER_TIME_MS: u64 = 120;

/// How long a simulated day is, and from when on it is judged.
const DAY_MS: u64 = 30_000;
const JUDGED_FROM_MS: u64 = 3_000;

const WINDOW_MS: u64 = 4_000;

/// The server's place in the order of keepers.
const PLACE: u32 = 77;

fn server() -> BackendId {
    "s".into()
}

/// What a server gets of which it is asked for more than its limit.
#[derive(Debug)]
struct Seen {
    /// What came, over what the limit allows in the time that is judged.
    used: f64,
    /// The most in any four seconds.
    worst: usize,
}

/// Which boxes want to send, and how many requests a second in all.
#[derive(Clone, Copy)]
struct Demand {
    /// One in so many boxes.
    one_in: usize,
    per_s: f64,
}

/// When a box sends to the server.
trait Way {
    /// A request comes to a box. Returns whether it is sent now.
    fn want(&mut self, at: usize, now_ms: u64) -> bool;

    /// Time goes on. Returns how many are sent that waited for an answer of another box.
    fn step(&mut self, now_ms: u64) -> usize;
}

fn play(way: &mut impl Way, boxes: usize, limit: f64, demand: Demand, seed: u64) -> Seen {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let wanting: Vec<usize> = (0..boxes).step_by(demand.one_in).collect();
    let (mut window, mut worst, mut judged) = (VecDeque::new(), 0, 0);
    for ms in (0..DAY_MS).step_by(STEP_MS as usize) {
        let mut sent = way.step(ms);
        let mut owed = demand.per_s * STEP_MS as f64 / 1_000.0;
        while owed > 0.0 {
            if rng.random::<f64>() < owed {
                let one = wanting[rng.random_range(0..wanting.len())];
                sent += usize::from(way.want(one, ms));
            }
            owed -= 1.0;
        }
        window.extend(std::iter::repeat_n(ms, sent));
        while window.front().is_some_and(|first| first + WINDOW_MS <= ms) {
            window.pop_front();
        }
        if ms >= JUDGED_FROM_MS {
            judged += sent;
            worst = worst.max(window.len());
        }
    }
    let allowed = limit * (DAY_MS - JUDGED_FROM_MS) as f64 / 1_000.0;
    Seen { used: judged as f64 / allowed, worst }
}

/// A few boxes send an even part each.
struct Senders {
    books: Vec<ColdTracker>,
    start: ColdStart,
    terms: ColdStartTolerance,
}

impl Senders {
    fn new(boxes: usize, limit: f64) -> Self {
        let book = |me: usize| {
            let mut book = ColdTracker::default();
            book.set_boxes(me as u32, 0..boxes as u32);
            book
        };
        let start = ColdStart { per_s: limit, lasts: Duration::from_secs(3_600) };
        let terms = ColdStartTolerance { overage: 1.5, slack: 5.0 };
        Senders { books: (0..boxes).map(book).collect(), start, terms }
    }
}

impl Way for Senders {
    fn want(&mut self, one: usize, now_ms: u64) -> bool {
        let (book, now) = (&mut self.books[one], at(now_ms));
        let until = now + self.start.lasts;
        book.state(&server(), self.start, self.terms, until, now) == ColdState::Admitting
            && book.try_take(&server(), self.start, self.terms, now)
    }

    fn step(&mut self, _: u64) -> usize {
        0
    }
}

/// Boxes that ask keepers, as the product has them; boxes of different groups do not reach each other.
struct Keepers {
    gates: Vec<PermitGates>,
    turns: Vec<PermitIssuer>,
    limit: f64,
    group: Vec<u32>,
    up: Vec<bool>,
    /// Whether boxes know by now whom they reach.
    knows_groups: bool,
    /// Answers that come back, by when.
    answers: BTreeMap<u64, Vec<(usize, Option<PermitAnswer>, BoxId)>>,
    /// Permits that come later, by when they do.
    due: BTreeMap<u64, usize>,
    patience: Duration,
    messages: u64,
}

impl Keepers {
    fn new(boxes: usize, limit: f64) -> Self {
        Keepers {
            gates: (0..boxes).map(|_| PermitGates::default()).collect(),
            turns: (0..boxes).map(|_| PermitIssuer::default()).collect(),
            limit,
            group: vec![0; boxes],
            up: vec![true; boxes],
            knows_groups: false,
            answers: BTreeMap::new(),
            due: BTreeMap::new(),
            patience: Duration::ZERO,
            messages: 0,
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.up[from] && self.up[to] && self.group[from] == self.group[to]
    }

    /// Returns the boxes that one takes for up.
    fn known_up(&self, one: usize) -> Vec<usize> {
        let all = 0..self.gates.len();
        all.filter(|other| !self.knows_groups || self.reaches(one, *other)).collect()
    }

    fn turn(&mut self, keeper: usize, is_standby: bool, now: Moment) -> PermitAnswer {
        let (reached, all) = (self.known_up(keeper).len(), self.gates.len());
        let per_s = coordinator_rate(self.limit, reached, all, is_standby);
        self.turns[keeper].request(PLACE, per_s, self.patience, now)
    }
}

impl Way for Keepers {
    fn want(&mut self, one: usize, now_ms: u64) -> bool {
        let now = at(now_ms);
        if !self.up[one] || self.gates[one].closed_until(&server(), now).is_some() {
            return false;
        }
        let boxes = self.known_up(one).into_iter().map(|other| BoxId(other as u32));
        let Some(keeper) = self.gates[one].coordinator(PLACE, boxes, now) else {
            self.gates[one].close_without_coordinator(&server(), now);
            return false;
        };
        let to = keeper.id.0 as usize;
        let answer = self.reaches(one, to).then(|| self.turn(to, keeper.is_standby, now));
        let (wait_ms, messages) = match (to == one, answer.is_some()) {
            (true, _) => (0, 0),
            (false, true) => (2 * STEP_MS, 2),
            (false, false) => (ANSWER_TIME_MS, 1),
        };
        self.messages += messages;
        let due = self.answers.entry(now_ms + wait_ms.max(STEP_MS)).or_default();
        due.push((one, answer, keeper.id));
        false
    }

    fn step(&mut self, now_ms: u64) -> usize {
        let now = at(now_ms);
        let mut sent = 0;
        for (one, answer, keeper) in self.answers.remove(&now_ms).unwrap_or_default() {
            match answer {
                Some(PermitAnswer::GrantedIn(wait)) => {
                    let wait_ms = wait.as_millis() as u64 / STEP_MS * STEP_MS;
                    *self.due.entry(now_ms + wait_ms).or_default() += 1;
                }
                Some(PermitAnswer::NotBefore(wait)) => self.gates[one].close(&server(), wait, now),
                None => self.gates[one].mark_unresponsive(keeper, now),
            }
        }
        while let Some(first) = self.due.first_entry().filter(|first| *first.key() <= now_ms) {
            sent += first.remove();
        }
        sent
    }
}

const LIMITS: [f64; 5] = [0.5, 1.0, 1.7, 20.0, 300.0];
const BOXES: [usize; 2] = [6, 984];

/// What may come in four seconds at the most.
fn bound(limit: f64) -> f64 {
    limit * 4.0 * 1.5 + 5.0
}

/// What a server that names a limit wants: that, and one request more at whatever moment the four seconds begin.
fn aim(limit: f64) -> f64 {
    limit * (4.0 + 0.1) + 1.0
}

#[test]
fn any_box_may_use_what_a_limit_leaves_where_fixed_senders_leave_it_unused() {
    for boxes in BOXES {
        for limit in LIMITS {
            for one_in in [1, 3, boxes / 3] {
                let demand = Demand { one_in, per_s: limit * 3.0 + 5.0 };
                let senders = play(&mut Senders::new(boxes, limit), boxes, limit, demand, 3);
                let mut way = Keepers::new(boxes, limit);
                let kept = play(&mut way, boxes, limit, demand, 3);
                let per_s = way.messages as f64 / (DAY_MS as f64 / 1_000.0);
                println!(
                    "{boxes} boxes, one in {one_in} asks, limit {limit}: fixed senders use {:.2}, \
                     worst {}; keepers {:.2}, worst {} of {:.0}, {per_s:.0} messages a second",
                    senders.used,
                    senders.worst,
                    kept.used,
                    kept.worst,
                    bound(limit)
                );
                assert!(kept.worst as f64 <= aim(limit).ceil(), "{} at {limit}", kept.worst);
                assert!(kept.used >= 0.75, "{boxes} boxes, {limit}: {kept:?}");
            }
        }
    }
}

#[test]
fn boxes_that_are_cut_apart_keep_the_limit_together() {
    for boxes in [6, 90] {
        for limit in LIMITS {
            for cut_at in 1..=boxes.min(6) {
                let mut way = Keepers::new(boxes, limit);
                // Some boxes are cut off from the rest; in between all know it, and at last they are together again.
                let demand = Demand { one_in: 1, per_s: limit * 3.0 + 5.0 };
                let mut seen = Vec::new();
                for (cut, known) in [(false, false), (true, false), (true, true), (false, true)] {
                    for one in 0..boxes {
                        way.group[one] = u32::from(cut && one < cut_at * boxes / 7);
                    }
                    way.knows_groups = known;
                    way.answers.clear();
                    way.due.clear();
                    seen.push(play(&mut way, boxes, limit, demand, cut_at as u64).worst);
                }
                let worst = *seen.iter().max().expect("four spans");
                assert!(worst as f64 <= bound(limit), "{boxes} boxes, {limit}, {cut_at}: {seen:?}");
            }
        }
    }
}

/// Guards against a least rate that each box alone takes for its own.
#[test]
fn boxes_that_are_all_alone_keep_the_limit_together() {
    for limit in [0.0, 0.5, 20.0] {
        let mut way = Keepers::new(984, limit);
        way.knows_groups = true;
        way.group = (0..984).collect();
        let demand = Demand { one_in: 1, per_s: limit * 3.0 + 500.0 };
        let seen = play(&mut way, 984, limit.max(0.5), demand, 5);
        assert!(seen.worst as f64 <= bound(limit), "{limit}: {seen:?}");
    }
}

#[test]
fn a_keeper_that_is_lost_leaves_a_part_of_its_turns_to_the_next() {
    for limit in LIMITS {
        let mut way = Keepers::new(6, limit);
        let demand = Demand { one_in: 1, per_s: limit * 3.0 + 5.0 };
        let first =
            PermitGates::default().coordinator(PLACE, (0..6).map(BoxId), at(0)).expect("some box");
        way.up[first.id.0 as usize] = false;
        let seen = play(&mut way, 6, limit, demand, 1);
        assert!(seen.used >= 0.1, "{limit}: {seen:?}");
        assert!(seen.worst as f64 <= aim(limit).ceil(), "{limit}: {seen:?}");
    }
}

#[test]
fn a_request_waits_for_a_turn_that_comes_in_time_for_it() {
    let mut turns = PermitIssuer::default();
    let patience = Duration::from_millis(700);
    let wait = |turns: &mut PermitIssuer, patience, ms| turns.request(PLACE, 2.0, patience, at(ms));
    // The first turn is half a second away: what is under way came without any.
    assert_eq!(wait(&mut turns, patience, 0), PermitAnswer::GrantedIn(Duration::from_millis(500)));
    assert_eq!(
        wait(&mut turns, patience, 0),
        PermitAnswer::NotBefore(Duration::from_millis(1_000))
    );
    assert_eq!(
        wait(&mut turns, patience, 400),
        PermitAnswer::GrantedIn(Duration::from_millis(600))
    );
    assert_eq!(
        wait(&mut turns, Duration::ZERO, 1_400),
        PermitAnswer::NotBefore(Duration::from_millis(100))
    );
    // Of turns that nobody took only the last tenth of a second is made up for.
    assert_eq!(wait(&mut turns, Duration::ZERO, 9_000), PermitAnswer::GrantedIn(Duration::ZERO));
    assert_eq!(
        wait(&mut turns, Duration::ZERO, 9_300),
        PermitAnswer::NotBefore(Duration::from_millis(100))
    );
}

/// Guards against a keeper that was alone for a while, or had a low limit, and gives nothing for long after that is over.
#[test]
fn what_is_left_of_a_wait_is_as_many_turns_at_another_rate() {
    let mut turns = PermitIssuer::default();
    let alone = coordinator_rate(0.5, 1, 984, false);
    assert!(matches!(
        turns.request(PLACE, alone, Duration::MAX, at(0)),
        PermitAnswer::GrantedIn(_)
    ));
    // One turn is given and one passed: two turns are left, at two seconds each once the boxes are together.
    let together = turns.request(PLACE, 0.5, Duration::ZERO, at(0));
    assert_eq!(together, PermitAnswer::NotBefore(Duration::from_secs(4)));
    assert_eq!(
        turns.request(PLACE, 4.0, Duration::ZERO, at(2_000)),
        PermitAnswer::NotBefore(Duration::from_millis(250))
    );
    assert_eq!(
        turns.request(PLACE, 1.0, Duration::ZERO, at(2_000)),
        PermitAnswer::NotBefore(Duration::from_secs(1))
    );
}

#[test]
fn a_server_that_wants_nothing_is_still_asked_now_and_then() {
    let mut turns = PermitIssuer::default();
    let given = (0..60_000).step_by(100).filter(|ms| {
        let per_s = coordinator_rate(0.0, 6, 6, false);
        matches!(turns.request(PLACE, per_s, Duration::ZERO, at(*ms)), PermitAnswer::GrantedIn(_))
    });
    assert_eq!(given.count(), 11, "one each five seconds, in a minute");
}

/// Guards against a box that was cut off and stays away from a server for as long as it was told then.
#[test]
fn a_gate_is_shut_for_no_longer_than_the_slowest_turns_of_all_boxes_are_apart() {
    let mut gates = PermitGates::default();
    gates.close(&server(), Duration::from_secs(1_968), at(0));
    assert_eq!(gates.closed_until(&server(), at(100)), Some(at(5_000)));
    assert_eq!(gates.closed_until(&server(), at(5_000)), None);
    gates.close(&server(), Duration::ZERO, at(6_000));
    assert_eq!(
        gates.closed_until(&server(), at(6_001)),
        Some(at(6_020)),
        "others are chosen meanwhile"
    );
}

#[test]
fn keepers_are_the_first_two_that_answer() {
    let mut gates = PermitGates::default();
    let boxes = || (0..6).map(BoxId);
    let first = gates.coordinator(PLACE, boxes(), at(0)).expect("some box");
    assert!(!first.is_standby);
    gates.mark_unresponsive(first.id, at(0));
    let second = gates.coordinator(PLACE, boxes(), at(10)).expect("some box");
    assert!(second.is_standby && second.id != first.id);
    gates.mark_unresponsive(second.id, at(10));
    assert_eq!(gates.coordinator(PLACE, boxes(), at(20)), None, "no third one");
    assert_eq!(
        gates.coordinator(PLACE, boxes(), at(3_000)).map(|keeper| keeper.id),
        Some(first.id)
    );
    let others = boxes().filter(|id| *id != first.id);
    let next = gates.coordinator(PLACE, others, at(4_000)).expect("some box");
    assert_eq!(
        (next.id, next.is_standby),
        (second.id, false),
        "once the first is known to be gone"
    );
}
