//! Simulates boxes that learn of servers from the platform and from each other. Messages are lost,
//! late and out of order, boxes restart, and any box may send an update; servers restart under
//! their keys, and rows of earlier incarnations arrive late. A box at a version must have exactly
//! the servers of that version: one with more would send requests to removed servers.

use std::collections::{BTreeMap, BTreeSet};

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use trackfront_core::ids::ServerKey;
use trackfront_core::serving::directory::{
    ChangeOrigin, Directory, ReceivedChanges, ServerChange, ServerEntry,
};
use trackfront_core::store_version::StoreVersion;

use super::support::{HEARTBEAT, at, entry};

const STEPS: u64 = 100_000;
const BOXES: usize = 5;
const SERVERS: usize = 8;

/// The number of changes per message, small so that most listings need several messages.
const MAX_CHANGES: usize = 3;

/// The maximum number of messages in transit; beyond it, the oldest are lost.
const MAX_IN_TRANSIT: usize = 60;

/// The duration of a step. Some steps are long, so that old removals are forgotten.
const STEP_MS: u64 = 50;
const LONG_STEP_MS: u64 = 70_000;

/// The platform's table: its rows at each version.
struct Table {
    at_version: Vec<BTreeMap<ServerKey, (u64, ServerEntry)>>,
    changes: Vec<ServerChange>,
    /// The number of the last server that was added.
    last_server: u64,
    /// The keys under which a row of an earlier incarnation was written after that of a later one.
    reordered: BTreeSet<ServerKey>,
}

impl Table {
    fn version(&self) -> u64 {
        self.at_version.len() as u64 - 1
    }

    fn rows(&self, version: u64) -> &BTreeMap<ServerKey, (u64, ServerEntry)> {
        &self.at_version[version as usize]
    }

    fn newest(&self) -> &BTreeMap<ServerKey, (u64, ServerEntry)> {
        self.rows(self.version())
    }

    fn write(&mut self, change: ServerChange, rows: BTreeMap<ServerKey, (u64, ServerEntry)>) {
        self.at_version.push(rows);
        self.changes.push(change);
    }

    /// Adds, updates or removes a server.
    fn change(&mut self, rng: &mut ChaCha8Rng) {
        let version = self.version() + 1;
        let mut rows = self.newest().clone();
        let ids: Vec<ServerKey> = rows.keys().cloned().collect();
        let known = ids.choose(rng).cloned();
        let joins = known.is_none() || (rows.len() < SERVERS && rng.random_bool(0.5));
        match known {
            Some(id) if !joins && rng.random_bool(0.7) => {
                rows.remove(&id);
                self.write(ServerChange::Removed { version: version.into(), key: id }, rows);
            }
            Some(id) if !joins && rng.random_bool(0.4) => {
                // The server restarts under its key, or a row of its first incarnation arrives
                // late.
                let was_first = rows[&id].1.started == Some(0);
                let is_late = !was_first && rng.random_bool(0.3);
                if is_late {
                    self.reordered.insert(id.clone());
                }
                let started = if is_late { 0 } else { version };
                let entry = ServerEntry {
                    id: format!("{id}@{started}").into(),
                    started: Some(started),
                    ..rows[&id].1.clone()
                };
                rows.insert(id, (version, entry.clone()));
                self.write(ServerChange::Set { version: version.into(), entry }, rows);
            }
            Some(id) if !joins => {
                let entry = ServerEntry { sequence: version, ..rows[&id].1.clone() };
                rows.insert(id, (version, entry.clone()));
                self.write(ServerChange::Set { version: version.into(), entry }, rows);
            }
            _ => {
                self.last_server += 1;
                let mut entry = entry(&format!("s{}", self.last_server), &[]);
                (entry.id, entry.started) = (format!("{}@0", entry.key).into(), Some(0));
                rows.insert(entry.key.clone(), (version, entry.clone()));
                self.write(ServerChange::Set { version: version.into(), entry }, rows);
            }
        }
    }

    /// Returns the last change of each row after a version, in order.
    fn feed(&self, after: u64) -> Vec<ServerChange> {
        let mut seen = BTreeSet::new();
        let newer = self.changes.iter().rev().take_while(|change| change.version() > after.into());
        let mut last: Vec<_> =
            newer.filter(|change| seen.insert(change.key().clone())).cloned().collect();
        last.reverse();
        last
    }
}

struct Simulation {
    table: Table,
    boxes: Vec<Directory>,
    in_transit: Vec<(usize, ReceivedChanges)>,
    /// Answers of the platform that have not arrived yet.
    answers: Vec<(usize, ReceivedChanges)>,
    /// The latest incarnation of each key that each box learned of, by start time.
    latest_starts: Vec<BTreeMap<ServerKey, u64>>,
    now: u64,
}

impl Simulation {
    /// Sends changes to the other boxes; some messages are lost.
    fn broadcast(&mut self, from_box: usize, batch: ReceivedChanges, rng: &mut ChaCha8Rng) {
        for message in batch.into_messages(MAX_CHANGES) {
            for other in (0..BOXES).filter(|other| *other != from_box) {
                if rng.random_bool(0.8) {
                    self.in_transit.push((other, message.clone()));
                }
                if self.in_transit.len() > MAX_IN_TRANSIT {
                    self.in_transit.remove(0);
                }
            }
        }
    }

    fn list(&mut self, index: usize, rng: &mut ChaCha8Rng) {
        // The platform's replicas may lag behind.
        let version = self.table.version() - rng.random_range(0..=2.min(self.table.version() - 1));
        let rows = self.table.rows(version).values();
        let rows = rows.map(|(version, entry)| ((*version).into(), entry.clone())).collect();
        let from = self.boxes[index].newest_version();
        let Some(events) = self.boxes[index].replace(rows, version.into(), at(self.now)) else {
            return;
        };
        let changes = self.boxes[index].changes_for(&events, version.into());
        let batch = ReceivedChanges::from_listing(from, version.into(), changes, MAX_CHANGES);
        self.broadcast(index, batch, rng);
    }

    /// Requests the changes from the feed; the answer arrives later.
    fn follow(&mut self, index: usize, rng: &mut ChaCha8Rng) {
        let (from, to) = (self.boxes[index].newest_version(), self.table.version());
        if from == StoreVersion::ZERO {
            return self.list(index, rng);
        }
        let changes = self.table.feed(from.number());
        self.answers.push((
            index,
            ReceivedChanges { origin: ChangeOrigin::Feed, from, to: to.into(), changes },
        ));
    }

    fn deliver_answer(&mut self, rng: &mut ChaCha8Rng) {
        if self.answers.is_empty() {
            return;
        }
        let answer = rng.random_range(0..self.answers.len());
        let (index, batch) = self.answers.swap_remove(answer);
        self.boxes[index].apply(batch.changes.clone(), batch.to, at(self.now));
        self.broadcast(index, batch, rng);
    }

    fn restart(&mut self, index: usize) {
        self.boxes[index] = Directory::new(HEARTBEAT);
        self.latest_starts[index].clear();
        self.answers.retain(|(asker, _)| *asker != index);
    }

    fn fetch_update(&mut self, index: usize, rng: &mut ChaCha8Rng) {
        let other = rng.random_range(0..BOXES);
        let (known, version) =
            (self.boxes[index].newest_version(), self.boxes[other].newest_version());
        if version > known {
            let update = self.boxes[other].update_since(known);
            self.boxes[index].apply_update(update, version, at(self.now));
        }
    }

    fn step(&mut self, rng: &mut ChaCha8Rng) {
        self.now += if rng.random_bool(0.001) { LONG_STEP_MS } else { STEP_MS };
        let index = rng.random_range(0..BOXES);
        match rng.random_range(0..100) {
            0..40 => self.table.change(rng),
            40..48 => self.follow(index, rng),
            48..56 => self.deliver_answer(rng),
            56..58 => self.list(index, rng),
            58..64 => self.fetch_update(index, rng),
            64..66 => self.restart(index),
            _ if self.in_transit.is_empty() => {}
            _ => {
                let message = rng.random_range(0..self.in_transit.len());
                let (to, batch) = self.in_transit.swap_remove(message);
                // A box that has not listed the servers yet applies no messages.
                if self.boxes[to].newest_version() > StoreVersion::ZERO {
                    self.boxes[to].apply_received(batch, at(self.now));
                }
            }
        }
    }

    fn check(&mut self) {
        for index in 0..BOXES {
            self.check_incarnations(index);
            self.check_servers(index);
        }
    }

    /// Checks that no box uses an earlier incarnation after it learned of a later one.
    fn check_incarnations(&mut self, index: usize) {
        let latest_starts = &mut self.latest_starts[index];
        for server in self.boxes[index].all() {
            let started = server.entry.started.expect("every server reports its start here");
            let latest = latest_starts.entry(server.entry.key.clone()).or_default();
            assert!(started >= *latest, "box {index}: {server:?} after an incarnation of {latest}");
            *latest = started;
        }
    }

    fn check_servers(&self, index: usize) {
        let known = &self.boxes[index];
        let version = known.newest_version().number();
        if version == 0 {
            assert_eq!(known.all().count(), 0, "box {index} has listed nothing");
            return;
        }
        // The feed has only the last change of each row, so a row that changes again later may be
        // outdated.
        let later = self.table.feed(version);
        let later: BTreeSet<&ServerKey> = later.iter().map(ServerChange::key).collect();
        let rows = self.table.rows(version);
        let actual = known.all().map(|server| (server.entry.key.clone(), server.version.number()));
        let actual: BTreeMap<_, _> = actual.filter(|(key, _)| !later.contains(key)).collect();
        let is_subset = actual.keys().all(|key| rows.contains_key(key));
        assert!(is_subset, "box {index} at version {version} has more than {rows:?}: {actual:?}");
        let is_compared =
            |key: &ServerKey| !later.contains(key) && !self.table.reordered.contains(key);
        let actual: BTreeMap<_, _> =
            actual.into_iter().filter(|(key, _)| is_compared(key)).collect();
        let expected = rows.iter().map(|(key, row)| (key.clone(), row.0));
        let expected: BTreeMap<_, _> = expected.filter(|(key, _)| is_compared(key)).collect();
        assert_eq!(actual, expected, "box {index} at version {version}");
    }
}

#[test]
fn box_at_a_version_has_exactly_its_servers() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let table = Table {
        at_version: vec![BTreeMap::new()],
        changes: Vec::new(),
        last_server: 0,
        reordered: BTreeSet::new(),
    };
    let boxes = (0..BOXES).map(|_| Directory::new(HEARTBEAT)).collect();
    let mut simulation = Simulation {
        table,
        boxes,
        in_transit: Vec::new(),
        answers: Vec::new(),
        latest_starts: vec![BTreeMap::new(); BOXES],
        now: 1_000,
    };
    simulation.table.change(&mut rng);
    for _ in 0..STEPS {
        simulation.step(&mut rng);
        simulation.check();
    }
}
