//! Permits for a server with a limit, issued by coordinators, compared with the alternative: a few fixed senders that
//! each send an even part of the limit, as for cold servers.

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

/// The time of one step: a request for a permit and its answer take two.
const STEP_MS: u64 = 2;

/// How long a box waits for the answer of a coordinator.
const ANSWER_TIME_MS: u64 = 120;

/// The length of a simulated run, and the start of the measured part.
const RUN_MS: u64 = 30_000;
const MEASURED_FROM_MS: u64 = 3_000;

const WINDOW_MS: u64 = 4_000;

/// The server's hash key.
const SERVER_KEY: u32 = 77;

fn server() -> BackendId {
    "s".into()
}

/// The requests that reach a server under demand beyond its limit.
#[derive(Debug)]
struct Observed {
    /// The requests that arrived as a fraction of those that the limit allows in the measured time.
    used: f64,
    /// The most requests in any four seconds.
    worst: usize,
}

/// The boxes that have requests for the server, and their total rate.
#[derive(Clone, Copy)]
struct Demand {
    /// One of every so many boxes has requests.
    every_nth: usize,
    per_s: f64,
}

/// A strategy by which boxes send to the server.
trait Strategy {
    /// Handles a request that arrives at a box. Returns whether it is sent now.
    fn request_arrives(&mut self, index: usize, now_ms: u64) -> bool;

    /// Advances to `now_ms`. Returns how many requests are sent that waited for another box.
    fn step(&mut self, now_ms: u64) -> usize;
}

fn simulate(
    strategy: &mut impl Strategy,
    boxes: usize,
    limit: f64,
    demand: Demand,
    seed: u64,
) -> Observed {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let requesting: Vec<usize> = (0..boxes).step_by(demand.every_nth).collect();
    let (mut window, mut worst, mut measured) = (VecDeque::new(), 0, 0);
    for ms in (0..RUN_MS).step_by(STEP_MS as usize) {
        let mut sent = strategy.step(ms);
        let mut expected = demand.per_s * STEP_MS as f64 / 1_000.0;
        while expected > 0.0 {
            if rng.random::<f64>() < expected {
                let index = requesting[rng.random_range(0..requesting.len())];
                sent += usize::from(strategy.request_arrives(index, ms));
            }
            expected -= 1.0;
        }
        window.extend(std::iter::repeat_n(ms, sent));
        while window.front().is_some_and(|first| first + WINDOW_MS <= ms) {
            window.pop_front();
        }
        if ms >= MEASURED_FROM_MS {
            measured += sent;
            worst = worst.max(window.len());
        }
    }
    let allowed = limit * (RUN_MS - MEASURED_FROM_MS) as f64 / 1_000.0;
    Observed { used: measured as f64 / allowed, worst }
}

/// A few fixed boxes each send an even part of the limit.
struct FixedSenders {
    trackers: Vec<ColdTracker>,
    start: ColdStart,
    terms: ColdStartTolerance,
}

impl FixedSenders {
    fn new(boxes: usize, limit: f64) -> Self {
        let tracker = |own_box: usize| {
            let mut tracker = ColdTracker::default();
            tracker.set_boxes(own_box as u32, 0..boxes as u32);
            tracker
        };
        let start = ColdStart { per_s: limit, lasts: Duration::from_secs(3_600) };
        let terms = ColdStartTolerance { overage: 1.5, slack: 5.0 };
        FixedSenders { trackers: (0..boxes).map(tracker).collect(), start, terms }
    }
}

impl Strategy for FixedSenders {
    fn request_arrives(&mut self, index: usize, now_ms: u64) -> bool {
        let (tracker, now) = (&mut self.trackers[index], at(now_ms));
        let until = now + self.start.lasts;
        tracker.state(&server(), self.start, self.terms, until, now) == ColdState::Admitting
            && tracker.try_take(&server(), self.start, self.terms, now)
    }

    fn step(&mut self, _: u64) -> usize {
        0
    }
}

/// Boxes request permits from coordinators, as in production. Boxes of different groups do not reach each other.
struct Coordinators {
    gates: Vec<PermitGates>,
    issuers: Vec<PermitIssuer>,
    limit: f64,
    group: Vec<u32>,
    up: Vec<bool>,
    /// Whether boxes have noticed which others they reach.
    knows_groups: bool,
    /// Answers on their way, by arrival.
    answers: BTreeMap<u64, Vec<(usize, Option<PermitAnswer>, BoxId)>>,
    /// Permits that are not valid yet, by the start of their validity.
    due: BTreeMap<u64, usize>,
    max_wait: Duration,
    messages: u64,
}

impl Coordinators {
    fn new(boxes: usize, limit: f64) -> Self {
        Coordinators {
            gates: (0..boxes).map(|_| PermitGates::default()).collect(),
            issuers: (0..boxes).map(|_| PermitIssuer::default()).collect(),
            limit,
            group: vec![0; boxes],
            up: vec![true; boxes],
            knows_groups: false,
            answers: BTreeMap::new(),
            due: BTreeMap::new(),
            max_wait: Duration::ZERO,
            messages: 0,
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.up[from] && self.up[to] && self.group[from] == self.group[to]
    }

    /// Returns the boxes that `index` considers up.
    fn known_up(&self, index: usize) -> Vec<usize> {
        let all = 0..self.gates.len();
        all.filter(|other| !self.knows_groups || self.reaches(index, *other)).collect()
    }

    fn issue(&mut self, coordinator: usize, is_standby: bool, now: Moment) -> PermitAnswer {
        let (reached, all) = (self.known_up(coordinator).len(), self.gates.len());
        let per_s = coordinator_rate(self.limit, reached, all, is_standby);
        self.issuers[coordinator].request(SERVER_KEY, per_s, self.max_wait, now)
    }
}

impl Strategy for Coordinators {
    fn request_arrives(&mut self, index: usize, now_ms: u64) -> bool {
        let now = at(now_ms);
        if !self.up[index] || self.gates[index].closed_until(&server(), now).is_some() {
            return false;
        }
        let boxes = self.known_up(index).into_iter().map(|other| BoxId(other as u32));
        let Some(coordinator) = self.gates[index].coordinator(SERVER_KEY, boxes, now) else {
            self.gates[index].close_without_coordinator(&server(), now);
            return false;
        };
        let to = coordinator.id.0 as usize;
        let answer = self.reaches(index, to).then(|| self.issue(to, coordinator.is_standby, now));
        let (wait_ms, messages) = match (to == index, answer.is_some()) {
            (true, _) => (0, 0),
            (false, true) => (2 * STEP_MS, 2),
            (false, false) => (ANSWER_TIME_MS, 1),
        };
        self.messages += messages;
        let due = self.answers.entry(now_ms + wait_ms.max(STEP_MS)).or_default();
        due.push((index, answer, coordinator.id));
        false
    }

    fn step(&mut self, now_ms: u64) -> usize {
        let now = at(now_ms);
        let mut sent = 0;
        for (index, answer, coordinator) in self.answers.remove(&now_ms).unwrap_or_default() {
            match answer {
                Some(PermitAnswer::GrantedIn(wait)) => {
                    let wait_ms = wait.as_millis() as u64 / STEP_MS * STEP_MS;
                    *self.due.entry(now_ms + wait_ms).or_default() += 1;
                }
                Some(PermitAnswer::NotBefore(wait)) => {
                    self.gates[index].close(&server(), wait, now)
                }
                None => self.gates[index].mark_unresponsive(coordinator, now),
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

/// The most requests that may arrive in four seconds.
fn bound(limit: f64) -> f64 {
    limit * 4.0 * 1.5 + 5.0
}

/// The target for four seconds: the limit, and one request more for the phase of the window.
fn target(limit: f64) -> f64 {
    limit * (4.0 + 0.1) + 1.0
}

#[test]
fn any_box_may_use_the_whole_limit_unlike_fixed_senders() {
    for boxes in BOXES {
        for limit in LIMITS {
            for every_nth in [1, 3, boxes / 3] {
                let demand = Demand { every_nth, per_s: limit * 3.0 + 5.0 };
                let fixed = simulate(&mut FixedSenders::new(boxes, limit), boxes, limit, demand, 3);
                let mut strategy = Coordinators::new(boxes, limit);
                let coordinated = simulate(&mut strategy, boxes, limit, demand, 3);
                let per_s = strategy.messages as f64 / (RUN_MS as f64 / 1_000.0);
                println!(
                    "{boxes} boxes, one in {every_nth} asks, limit {limit}: fixed senders use {:.2}, \
                     worst {}; coordinators {:.2}, worst {} of {:.0}, {per_s:.0} messages a second",
                    fixed.used,
                    fixed.worst,
                    coordinated.used,
                    coordinated.worst,
                    bound(limit)
                );
                assert!(
                    coordinated.worst as f64 <= target(limit).ceil(),
                    "{} at {limit}",
                    coordinated.worst
                );
                assert!(coordinated.used >= 0.75, "{boxes} boxes, {limit}: {coordinated:?}");
            }
        }
    }
}

#[test]
fn partitioned_boxes_keep_the_limit_together() {
    for boxes in [6, 90] {
        for limit in LIMITS {
            for split in 1..=boxes.min(6) {
                let mut strategy = Coordinators::new(boxes, limit);
                // Some boxes are partitioned, which all boxes notice with a delay, as they do the end of the partition.
                let demand = Demand { every_nth: 1, per_s: limit * 3.0 + 5.0 };
                let mut observed = Vec::new();
                for (is_partitioned, known) in
                    [(false, false), (true, false), (true, true), (false, true)]
                {
                    for index in 0..boxes {
                        strategy.group[index] =
                            u32::from(is_partitioned && index < split * boxes / 7);
                    }
                    strategy.knows_groups = known;
                    strategy.answers.clear();
                    strategy.due.clear();
                    observed
                        .push(simulate(&mut strategy, boxes, limit, demand, split as u64).worst);
                }
                let worst = *observed.iter().max().expect("four spans");
                assert!(
                    worst as f64 <= bound(limit),
                    "{boxes} boxes, {limit}, {split}: {observed:?}"
                );
            }
        }
    }
}

/// The lowest limit must be divided among isolated boxes, not applied by each of them.
#[test]
fn isolated_boxes_keep_the_limit_together() {
    for limit in [0.0, 0.5, 20.0] {
        let mut strategy = Coordinators::new(984, limit);
        strategy.knows_groups = true;
        strategy.group = (0..984).collect();
        let demand = Demand { every_nth: 1, per_s: limit * 3.0 + 500.0 };
        let observed = simulate(&mut strategy, 984, limit.max(0.5), demand, 5);
        assert!(observed.worst as f64 <= bound(limit), "{limit}: {observed:?}");
    }
}

#[test]
fn standby_issues_a_fraction_after_loss_of_coordinator() {
    for limit in LIMITS {
        let mut strategy = Coordinators::new(6, limit);
        let demand = Demand { every_nth: 1, per_s: limit * 3.0 + 5.0 };
        let first = PermitGates::default()
            .coordinator(SERVER_KEY, (0..6).map(BoxId), at(0))
            .expect("some box");
        strategy.up[first.id.0 as usize] = false;
        let observed = simulate(&mut strategy, 6, limit, demand, 1);
        assert!(observed.used >= 0.1, "{limit}: {observed:?}");
        assert!(observed.worst as f64 <= target(limit).ceil(), "{limit}: {observed:?}");
    }
}

#[test]
fn request_waits_for_permit_within_max_wait() {
    let mut issuer = PermitIssuer::default();
    let max_wait = Duration::from_millis(700);
    let wait =
        |issuer: &mut PermitIssuer, max_wait, ms| issuer.request(SERVER_KEY, 2.0, max_wait, at(ms));
    // The first permit is half a second away, since requests in flight had none.
    assert_eq!(wait(&mut issuer, max_wait, 0), PermitAnswer::GrantedIn(Duration::from_millis(500)));
    assert_eq!(
        wait(&mut issuer, max_wait, 0),
        PermitAnswer::NotBefore(Duration::from_millis(1_000))
    );
    assert_eq!(
        wait(&mut issuer, max_wait, 400),
        PermitAnswer::GrantedIn(Duration::from_millis(600))
    );
    assert_eq!(
        wait(&mut issuer, Duration::ZERO, 1_400),
        PermitAnswer::NotBefore(Duration::from_millis(100))
    );
    // Of unused permits only those of the last tenth of a second are still issued.
    assert_eq!(wait(&mut issuer, Duration::ZERO, 9_000), PermitAnswer::GrantedIn(Duration::ZERO));
    assert_eq!(
        wait(&mut issuer, Duration::ZERO, 9_300),
        PermitAnswer::NotBefore(Duration::from_millis(100))
    );
}

/// A coordinator that was isolated, or had a low limit, must not issue nothing for long after that has ended.
#[test]
fn remaining_wait_scales_with_new_rate() {
    let mut issuer = PermitIssuer::default();
    let alone = coordinator_rate(0.5, 1, 984, false);
    assert!(matches!(
        issuer.request(SERVER_KEY, alone, Duration::MAX, at(0)),
        PermitAnswer::GrantedIn(_)
    ));
    // One permit is issued and one skipped: two intervals are left, of two seconds each once the partition has ended.
    let together = issuer.request(SERVER_KEY, 0.5, Duration::ZERO, at(0));
    assert_eq!(together, PermitAnswer::NotBefore(Duration::from_secs(4)));
    assert_eq!(
        issuer.request(SERVER_KEY, 4.0, Duration::ZERO, at(2_000)),
        PermitAnswer::NotBefore(Duration::from_millis(250))
    );
    assert_eq!(
        issuer.request(SERVER_KEY, 1.0, Duration::ZERO, at(2_000)),
        PermitAnswer::NotBefore(Duration::from_secs(1))
    );
}

#[test]
fn server_with_zero_limit_still_gets_a_request_now_and_then() {
    let mut issuer = PermitIssuer::default();
    let given = (0..60_000).step_by(100).filter(|ms| {
        let per_s = coordinator_rate(0.0, 6, 6, false);
        matches!(
            issuer.request(SERVER_KEY, per_s, Duration::ZERO, at(*ms)),
            PermitAnswer::GrantedIn(_)
        )
    });
    assert_eq!(given.count(), 11, "one each five seconds, in a minute");
}

/// After a partition a box must not keep a server's gate closed for the long wait that it got during the partition.
#[test]
fn gate_closes_for_at_most_the_interval_at_the_lowest_limit() {
    let mut gates = PermitGates::default();
    gates.close(&server(), Duration::from_secs(1_968), at(0));
    assert_eq!(gates.closed_until(&server(), at(100)), Some(at(5_000)));
    assert_eq!(gates.closed_until(&server(), at(5_000)), None);
    gates.close(&server(), Duration::ZERO, at(6_000));
    assert_eq!(
        gates.closed_until(&server(), at(6_001)),
        Some(at(6_020)),
        "meanwhile other servers are chosen"
    );
}

#[test]
fn coordinators_are_the_first_two_that_answer() {
    let mut gates = PermitGates::default();
    let boxes = || (0..6).map(BoxId);
    let first = gates.coordinator(SERVER_KEY, boxes(), at(0)).expect("some box");
    assert!(!first.is_standby);
    gates.mark_unresponsive(first.id, at(0));
    let second = gates.coordinator(SERVER_KEY, boxes(), at(10)).expect("some box");
    assert!(second.is_standby && second.id != first.id);
    gates.mark_unresponsive(second.id, at(10));
    assert_eq!(gates.coordinator(SERVER_KEY, boxes(), at(20)), None, "no third one");
    assert_eq!(
        gates.coordinator(SERVER_KEY, boxes(), at(3_000)).map(|coordinator| coordinator.id),
        Some(first.id)
    );
    let others = boxes().filter(|id| *id != first.id);
    let next = gates.coordinator(SERVER_KEY, others, at(4_000)).expect("some box");
    assert_eq!(
        (next.id, next.is_standby),
        (second.id, false),
        "it coordinates once the first is known to be gone"
    );
}
