//! Simulates several boxes that compete for the order lease, with lost answers about its row, and
//! engines that execute orders late and don't check fencing tokens.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use statig::blocking::{IntoStateMachineExt, StateMachine};
use trackfront_core::ids::{Fence, ModelName, NodeId};
use trackfront_core::lease::{
    LeaseAnnouncement, LeaseEvent, LeaseMachine, LeaseRow, LeaseTerms, ObservedLease,
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

/// The minimum time between orders of two holders to one engine.
const QUIET_MS: u64 = 3_000;

const STEP_MS: u64 = 20;
const CANDIDATES: usize = 4;
const ENGINES: usize = 3;
const MODELS: [&str; 6] = ["m0", "m1", "m2", "m3", "m4", "m5"];

/// The row of the lease, and the writes that may still be applied.
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

/// An order in transit to an engine.
#[derive(Clone)]
struct SentOrder {
    due: u64,
    expected: u64,
    operation: Operation,
    model: ModelName,
}

#[derive(Default)]
struct Engine {
    report: EngineReport,
    sent: Vec<SentOrder>,
    busy_until: u64,
    loading: Option<ModelName>,
    last_order: Option<(usize, u64, Fence)>,
    loads: Vec<u64>,
}

impl Engine {
    fn step(&mut self, now: u64, spec: &EngineSpec) {
        if self.report.busy && now >= self.busy_until {
            self.report.busy = false;
            self.loading = None;
        }
        let due: Vec<_> = self.sent.extract_if(.., |sent| sent.due <= now).collect();
        for sent in due {
            self.execute(&sent, now, spec);
        }
    }

    fn execute(&mut self, sent: &SentOrder, now: u64, spec: &EngineSpec) {
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

    /// Records an order of `holder`, and checks it against the previous one.
    fn record_order(&mut self, holder: usize, fence: Fence, now: u64) {
        if let Some((before, then, seen)) = self.last_order {
            assert!(fence >= seen, "token {fence} after {seen}");
            if before != holder {
                assert!(fence > seen, "two holders share token {fence}");
                assert!(now - then >= QUIET_MS, "orders of two holders within {} ms", now - then);
            }
        }
        self.last_order = Some((holder, now, fence));
    }
}

struct Candidate {
    name: NodeId,
    machine: StateMachine<LeaseMachine>,
    seen: Option<ObservedLease>,
    pacer: LoadPacer,
    frozen_until: u64,
    holds: bool,
    /// Its last announcement, which other candidates may receive.
    announcement: Option<LeaseAnnouncement>,
}

/// The last received announcement of each candidate.
type Announcements = BTreeMap<NodeId, LeaseAnnouncement>;

impl Candidate {
    fn new(index: usize) -> Self {
        Self {
            name: NodeId::from(format!("10.0.0.{index}")),
            machine: LeaseMachine::new(TERMS.ttl).state_machine(),
            seen: None,
            pacer: LoadPacer::new(LoadRateTerms::default(), at(0)),
            frozen_until: 0,
            holds: false,
            announcement: None,
        }
    }

    fn usable(&self, now: u64) -> Option<Fence> {
        self.machine.state().usable(at(now))
    }

    /// Reads the row and takes or renews the lease; some answers are lost.
    fn lease(
        &mut self,
        row: &mut Row,
        announcements: &Announcements,
        now: u64,
        rng: &mut ChaCha8Rng,
    ) {
        self.machine.handle(&LeaseEvent::Tick(at(now)));
        let version = row.version;
        self.seen = row.row.clone().map(|value| {
            let same = self.seen.as_ref().filter(|seen| seen.version == version.into());
            let since = same.map_or(at(now), |seen| seen.since);
            ObservedLease { version: version.into(), row: value, since }
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
                let announcement = holder.and_then(|holder| announcements.get(holder)).copied();
                match takeover_on_announcement(seen, announcement, &self.name, TERMS, at(now)) {
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
            // The write doesn't arrive now but may be applied seconds later.
            0 => row.late.push((now + rng.random_range(1_000..6_000), expected, wanted)),
            // The write is applied, but the answer is lost.
            1 => _ = row.write(expected, wanted),
            _ => {
                if row.write(expected, wanted.clone()) {
                    let sent_at = at(now);
                    self.seen = Some(ObservedLease {
                        version: row.version.into(),
                        row: wanted,
                        since: sent_at,
                    });
                    self.machine.handle(&LeaseEvent::Written { fence, sent_at });
                    self.announcement = Some(LeaseAnnouncement {
                        version: row.version.into(),
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

    fn send_order(
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
        engine.record_order(index, fence, now);
        let late = rng.random_bool(0.35);
        let due = if late { now + rng.random_range(2_000..12_000) } else { now };
        let (expected, model) = (report.sequence, ModelName::from(model));
        engine.sent.push(SentOrder { due, expected, operation, model });
    }
}

fn run(seed: u64, steps: u64) -> (u64, u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let spec = spec(&MODELS, 0, 0);
    let mut row = Row::default();
    let mut candidates: Vec<_> = (0..CANDIDATES).map(Candidate::new).collect();
    let mut engines: Vec<_> = (0..ENGINES).map(|_| Engine::default()).collect();
    let mut announcements = Announcements::new();
    for step in 0..steps {
        let now = step * STEP_MS;
        row.apply_late(now);
        engines.iter_mut().for_each(|engine| engine.step(now, &spec));
        for (index, candidate) in candidates.iter_mut().enumerate() {
            if now < candidate.frozen_until {
                continue;
            }
            match rng.random_range(0..600) {
                // The process is paused, in whatever state it is.
                0 => {
                    candidate.frozen_until = now + rng.random_range(500..9_000);
                    continue;
                }
                // The process is killed and restarts on the same machine.
                1 => {
                    *candidate = Candidate { name: candidate.name.clone(), ..Candidate::new(index) }
                }
                _ => {}
            }
            if let Some(announcement) = candidate.announcement.filter(|_| rng.random_bool(0.2)) {
                announcements.insert(candidate.name.clone(), announcement);
            }
            if rng.random_bool(0.1) {
                candidate.lease(&mut row, &announcements, now, &mut rng);
            }
            if rng.random_bool(0.2) {
                let engine = &mut engines[rng.random_range(0..ENGINES)];
                candidate.send_order(index, engine, &spec, now, &mut rng);
            }
        }
    }
    let mut loads: Vec<u64> = engines.iter().flat_map(|engine| engine.loads.clone()).collect();
    loads.sort_unstable();
    let orders = engines.iter().map(|engine| engine.report.sequence).sum();
    (orders, row.row.map_or(0, |row| row.fence.0))
}

#[test]
fn holders_never_overload_an_engine_or_overlap() {
    let mut totals = BTreeMap::new();
    for seed in 0..10 {
        let (orders, fence) = run(seed, 10_000);
        totals.insert(seed, (orders, fence));
    }
    // 100,000 steps in all, which assert the invariants. The rest checks that they had enough to
    // check.
    assert!(totals.values().all(|(orders, _)| *orders > 50), "{totals:?}");
    assert!(totals.values().any(|(_, fence)| *fence > 10), "{totals:?}");
}

/// A process cannot observe a row before its own start, so the delay of a takeover starts there.
#[test]
fn new_process_observes_row_from_its_start() {
    let lease = LeaseRow { holder: Some(NodeId::from("other")), fence: Fence(3), ttl_ms: 1_250 };
    let seen = ObservedLease { version: 1.into(), row: lease, since: Moment::default() };
    assert_eq!(
        takeover_with_quiet_period(Some(&seen), &NodeId::from("me"), TERMS, at(4_800)),
        None
    );
    assert!(
        takeover_with_quiet_period(Some(&seen), &NodeId::from("me"), TERMS, at(4_900)).is_some()
    );
}

#[test]
fn announcement_counts_only_for_its_version() {
    let lease = LeaseRow { holder: Some(NodeId::from("other")), fence: Fence(3), ttl_ms: 1_250 };
    let seen = ObservedLease { version: 7.into(), row: lease, since: at(10_000) };
    let me = NodeId::from("me");
    let take = |announcement, now| {
        takeover_on_announcement(Some(&seen), announcement, &me, TERMS, at(now))
    };
    let quiet = TERMS.quiet_period.as_millis() as u64;
    let announced =
        |version: u64| Some(LeaseAnnouncement { version: version.into(), ends_at: at(9_000) });
    assert_eq!(take(announced(7), 9_000 + quiet - 1), None);
    assert_eq!(take(announced(7), 9_000 + quiet).map(|row| row.fence), Some(Fence(4)));
    // The holder wrote the row again, or no announcement arrived: the row has to be observed.
    assert_eq!(take(announced(6), 9_000 + quiet), None);
    assert_eq!(take(None, 9_000 + quiet), None);
    // A released lease: the announcement says when it was released.
    let released =
        ObservedLease { row: LeaseRow { holder: None, ..seen.row.clone() }, ..seen.clone() };
    let take_released =
        |now| takeover_on_announcement(Some(&released), announced(7), &me, TERMS, at(now));
    assert_eq!(take_released(9_000 + quiet - 1), None);
    assert_eq!(take_released(9_000 + quiet).map(|row| row.fence), Some(Fence(4)));
    let still_valid = Some(LeaseAnnouncement { version: 7.into(), ends_at: at(20_000) });
    assert_eq!(take(still_valid, 12_000), None);
}
