//! Random runs of several givers of orders, a lease row whose answers get lost, and engines that
//! carry orders out late and do not check fencing tokens.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use statig::blocking::{IntoStateMachineExt, StateMachine};
use trackfront_core::ids::{Fence, ModelName, NodeId};
use trackfront_core::lease::{
    LeaseAnnouncement, LeaseEvent, LeaseHolder, LeaseRow, LeaseTerms, ObservedLease,
    takeover_on_announcement, takeover_with_quiet_period,
};
use trackfront_core::serving::config::EngineSpec;
use trackfront_core::serving::directory::ResidentModel;
use trackfront_core::serving::orders::{
    EngineReport, LoadPacer, LoadRateTerms, Operation, check_order,
};
use trackfront_core::units::Moment;

use super::support::{at, item, spec};

const TERMS: LeaseTerms =
    LeaseTerms { ttl: Duration::from_millis(1_250), quiet_period: Duration::from_millis(3_400) };

/// The least time between orders of two givers to one engine.
const QUIET_MS: u64 = 3_000;

const STEP_MS: u64 = 20;
const GIVERS: usize = 4;
const ENGINES: usize = 3;
const MODELS: [&str; 6] = ["m0", "m1", "m2", "m3", "m4", "m5"];

/// The row of the lease, and a write that may still be applied.
#[derive(Default)]
struct Row {
    version: u64,
    row: Option<LeaseRow>,
    late: Vec<(u64, u64, LeaseRow)>,
}

impl Row {
    fn write(&mut self, expected: u64, row: LeaseRow) -> bool {
        let current = if self.row.is_some() { self.version } else { 0 };
        if current != expected {
            return false;
        }
        self.version += 1;
        self.row = Some(row);
        true
    }

    fn apply_late(&mut self, now: u64) {
        let due: Vec<_> = self.late.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, expected, row) in due {
            self.write(expected, row);
        }
    }
}

/// An order on its way to an engine.
#[derive(Clone)]
struct Sent {
    due: u64,
    expected: u64,
    operation: Operation,
    model: ModelName,
}

#[derive(Default)]
struct Engine {
    report: EngineReport,
    sent: Vec<Sent>,
    busy_until: u64,
    coming: Option<ModelName>,
    last_order: Option<(usize, u64, Fence)>,
    loads: Vec<u64>,
}

impl Engine {
    fn step(&mut self, now: u64, spec: &EngineSpec) {
        if self.report.busy && now >= self.busy_until {
            self.report.busy = false;
            self.coming = None;
        }
        let due: Vec<_> = self.sent.extract_if(.., |sent| sent.due <= now).collect();
        for sent in due {
            self.take(&sent, now, spec);
        }
    }

    fn take(&mut self, sent: &Sent, now: u64, spec: &EngineSpec) {
        if self.report.busy || sent.expected != self.report.sequence {
            return;
        }
        self.report.sequence += 1;
        self.report.busy = true;
        match sent.operation {
            Operation::Load => {
                let resident = ResidentModel { version: 1, adapters: BTreeSet::new() };
                self.report.models.insert(sent.model.clone(), resident);
                self.busy_until = now + 1_000;
                self.loads.push(now);
            }
            Operation::Unload => {
                self.report.models.remove(&sent.model);
                self.busy_until = now + 200;
            }
        }
        assert!(
            self.report.used_mb(spec) <= spec.memory_mb,
            "the engine is loaded beyond its memory"
        );
    }

    /// Notes that an order of `giver` arrives, and checks it against the one before.
    fn ordered(&mut self, giver: usize, fence: Fence, now: u64) {
        if let Some((before, then, seen)) = self.last_order {
            assert!(fence >= seen, "token {fence} after {seen}");
            if before != giver {
                assert!(fence > seen, "two givers share token {fence}");
                assert!(now - then >= QUIET_MS, "givers take turns within {} ms", now - then);
            }
        }
        self.last_order = Some((giver, now, fence));
    }
}

struct Giver {
    name: NodeId,
    machine: StateMachine<LeaseHolder>,
    seen: Option<ObservedLease>,
    pacer: LoadPacer,
    frozen_until: u64,
    holds: bool,
    /// What it says of its right, for others to hear.
    word: Option<LeaseAnnouncement>,
}

/// What was last heard of each giver's right.
type Words = BTreeMap<NodeId, LeaseAnnouncement>;

impl Giver {
    fn new(index: usize) -> Self {
        Self {
            name: NodeId::from(format!("10.0.0.{index}")),
            machine: LeaseHolder::new(TERMS.ttl).state_machine(),
            seen: None,
            pacer: LoadPacer::new(LoadRateTerms::default(), at(0)),
            frozen_until: 0,
            holds: false,
            word: None,
        }
    }

    fn usable(&self, now: u64) -> Option<Fence> {
        self.machine.state().usable(at(now))
    }

    /// Looks at the row and takes or renews the lease; answers get lost at times.
    fn lease(&mut self, row: &mut Row, words: &Words, now: u64, rng: &mut ChaCha8Rng) {
        self.machine.handle(&LeaseEvent::Tick(at(now)));
        let version = row.version;
        self.seen = row.row.clone().map(|value| {
            let same = self.seen.as_ref().filter(|seen| seen.version == version);
            let since = same.map_or(at(now), |seen| seen.since);
            ObservedLease { version, row: value, since }
        });
        let wanted = match (self.usable(now), self.seen.as_ref()) {
            (Some(_), Some(seen)) if seen.row.holder.as_ref() == Some(&self.name) => {
                seen.row.clone()
            }
            (Some(_), _) => {
                self.machine.handle(&LeaseEvent::Superseded);
                return;
            }
            (None, seen) => {
                let holder = seen.and_then(|seen| seen.row.holder.as_ref());
                let word = holder.and_then(|holder| words.get(holder)).copied();
                match takeover_on_announcement(seen, word, &self.name, TERMS, at(now)) {
                    Some(row) => row,
                    None => {
                        self.holds = false;
                        return;
                    }
                }
            }
        };
        let expected = if row.row.is_some() { version } else { 0 };
        let fence = wanted.fence;
        match rng.random_range(0..10) {
            // Nothing arrives now; it may be applied seconds later.
            0 => row.late.push((now + rng.random_range(1_000..6_000), expected, wanted)),
            // Applied, and the answer is lost.
            1 => _ = row.write(expected, wanted),
            _ => {
                if row.write(expected, wanted.clone()) {
                    let sent_at = at(now);
                    self.seen =
                        Some(ObservedLease { version: row.version, row: wanted, since: sent_at });
                    self.machine.handle(&LeaseEvent::Written { fence, sent_at });
                    self.word = Some(LeaseAnnouncement {
                        version: row.version,
                        ends_at: sent_at + TERMS.ttl,
                    });
                    if !self.holds {
                        self.pacer = LoadPacer::new(LoadRateTerms::default(), at(now));
                    }
                    self.holds = true;
                }
            }
        }
    }

    fn give(
        &mut self,
        index: usize,
        engine: &mut Engine,
        spec: &EngineSpec,
        now: u64,
        rng: &mut ChaCha8Rng,
    ) {
        let Some(fence) = self.usable(now) else {
            return;
        };
        let report = engine.report.clone();
        let model = MODELS[rng.random_range(0..MODELS.len())];
        let wanted = item(model, None);
        let operation = if rng.random_bool(0.6) { Operation::Load } else { Operation::Unload };
        if check_order(operation, &wanted, &report, spec).is_err() {
            return;
        }
        if operation == Operation::Load {
            if !self.pacer.may_load(spec.loads_per_s, at(now)) {
                return;
            }
            self.pacer.record_load();
        }
        engine.ordered(index, fence, now);
        let late = rng.random_bool(0.35);
        let due = if late { now + rng.random_range(2_000..12_000) } else { now };
        let (expected, model) = (report.sequence, ModelName::from(model));
        engine.sent.push(Sent { due, expected, operation, model });
    }
}

fn run(seed: u64, steps: u64) -> (u64, u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let spec = spec(&MODELS, 0, 0);
    let mut row = Row::default();
    let mut givers: Vec<_> = (0..GIVERS).map(Giver::new).collect();
    let mut engines: Vec<_> = (0..ENGINES).map(|_| Engine::default()).collect();
    let mut words = Words::new();
    for step in 0..steps {
        let now = step * STEP_MS;
        row.apply_late(now);
        engines.iter_mut().for_each(|engine| engine.step(now, &spec));
        for (index, giver) in givers.iter_mut().enumerate() {
            if now < giver.frozen_until {
                continue;
            }
            match rng.random_range(0..600) {
                // It stands still, wherever it is.
                0 => {
                    giver.frozen_until = now + rng.random_range(500..9_000);
                    continue;
                }
                // The process is killed and starts again on the same machine.
                1 => *giver = Giver { name: giver.name.clone(), ..Giver::new(index) },
                _ => {}
            }
            if let Some(word) = giver.word.filter(|_| rng.random_bool(0.2)) {
                words.insert(giver.name.clone(), word);
            }
            if rng.random_bool(0.1) {
                giver.lease(&mut row, &words, now, &mut rng);
            }
            if rng.random_bool(0.2) {
                let engine = &mut engines[rng.random_range(0..ENGINES)];
                giver.give(index, engine, &spec, now, &mut rng);
            }
        }
    }
    let mut loads: Vec<u64> = engines.iter().flat_map(|engine| engine.loads.clone()).collect();
    loads.sort_unstable();
    let orders = engines.iter().map(|engine| engine.report.sequence).sum();
    (orders, row.row.map_or(0, |row| row.fence.0))
}

#[test]
fn givers_never_overload_an_engine_nor_meet_there() {
    let mut totals = BTreeMap::new();
    for seed in 0..10 {
        let (orders, fence) = run(seed, 10_000);
        totals.insert(seed, (orders, fence));
    }
    // 100,000 steps in all; the invariants are asserted in them. The run has to be worth it.
    assert!(totals.values().all(|(orders, _)| *orders > 50), "{totals:?}");
    assert!(totals.values().any(|(_, fence)| *fence > 10), "{totals:?}");
}

/// Moments before a process's own start do not exist, so a takeover cannot be counted from them.
#[test]
fn a_new_process_watches_from_its_own_start() {
    let lease = LeaseRow { holder: Some(NodeId::from("other")), fence: Fence(3), ttl_ms: 1_250 };
    let seen = ObservedLease { version: 1, row: lease, since: Moment::default() };
    assert_eq!(
        takeover_with_quiet_period(Some(&seen), &NodeId::from("me"), TERMS, at(4_800)),
        None
    );
    assert!(
        takeover_with_quiet_period(Some(&seen), &NodeId::from("me"), TERMS, at(4_900)).is_some()
    );
}

#[test]
fn the_holders_word_counts_for_the_version_that_it_names() {
    let lease = LeaseRow { holder: Some(NodeId::from("other")), fence: Fence(3), ttl_ms: 1_250 };
    let seen = ObservedLease { version: 7, row: lease, since: at(10_000) };
    let me = NodeId::from("me");
    let take = |word, now| takeover_on_announcement(Some(&seen), word, &me, TERMS, at(now));
    let quiet = TERMS.quiet_period.as_millis() as u64;
    let word = |version| Some(LeaseAnnouncement { version, ends_at: at(9_000) });
    assert_eq!(take(word(7), 9_000 + quiet - 1), None);
    assert_eq!(take(word(7), 9_000 + quiet).map(|row| row.fence), Some(Fence(4)));
    // It wrote once more after that, or nothing was heard: the row has to be watched.
    assert_eq!(take(word(6), 9_000 + quiet), None);
    assert_eq!(take(None, 9_000 + quiet), None);
    // A row that was given up: its word says when the right was dropped.
    let given_up =
        ObservedLease { row: LeaseRow { holder: None, ..seen.row.clone() }, ..seen.clone() };
    let take_freed = |now| takeover_on_announcement(Some(&given_up), word(7), &me, TERMS, at(now));
    assert_eq!(take_freed(9_000 + quiet - 1), None);
    assert_eq!(take_freed(9_000 + quiet).map(|row| row.fence), Some(Fence(4)));
    let not_yet = Some(LeaseAnnouncement { version: 7, ends_at: at(20_000) });
    assert_eq!(take(not_yet, 12_000), None);
}
