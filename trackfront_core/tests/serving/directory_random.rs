//! Random runs of boxes that learn of servers from the platform and from each other: messages are lost, late and
//! out of order, boxes start again, copies come from whoever is asked. A box that says that it knows a version has
//! the servers of that version; one that had more sent requests to servers that were gone. Servers start again under
//! their keys, and words of earlier runs come late.

use std::collections::{BTreeMap, BTreeSet};

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use trackfront_core::ids::ServerKey;
use trackfront_core::serving::directory::{
    ChangeOrigin, Directory, ReceivedChanges, ServerChange, ServerEntry,
};

use super::support::{HEARTBEAT, at, entry};

const STEPS: u64 = 100_000;
const BOXES: usize = 5;
const SERVERS: usize = 8;

/// Few, so that most listings need several messages.
const CHANGES_AT_ONCE: usize = 3;

/// How many messages are on their way at most; the oldest are lost beyond.
const MOST_ON_THEIR_WAY: usize = 60;

/// The time of a step; some are long, so that what left long ago is forgotten.
const STEP_MS: u64 = 50;
const LONG_STEP_MS: u64 = 70_000;

/// The platform's table: its rows at each version.
struct Table {
    at_version: Vec<BTreeMap<ServerKey, (u64, ServerEntry)>>,
    changes: Vec<ServerChange>,
    incarnation: u64,
    /// The keys under which an earlier run's word came after a later one's.
    mixed: BTreeSet<ServerKey>,
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

    /// A server joins, changes or goes.
    fn change(&mut self, rng: &mut ChaCha8Rng) {
        let version = self.version() + 1;
        let mut rows = self.newest().clone();
        let ids: Vec<ServerKey> = rows.keys().cloned().collect();
        let known = ids.choose(rng).cloned();
        let joins = known.is_none() || (rows.len() < SERVERS && rng.random_bool(0.5));
        match known {
            Some(id) if !joins && rng.random_bool(0.7) => {
                rows.remove(&id);
                self.write(ServerChange::Removed { version, key: id }, rows);
            }
            Some(id) if !joins && rng.random_bool(0.4) => {
                // It starts again under its key, or what its first run wrote comes late.
                let was_first = rows[&id].1.started == Some(0);
                let comes_late = !was_first && rng.random_bool(0.3);
                if comes_late {
                    self.mixed.insert(id.clone());
                }
                let started = if comes_late { 0 } else { version };
                let entry = ServerEntry {
                    id: format!("{id}@{started}").into(),
                    started: Some(started),
                    ..rows[&id].1.clone()
                };
                rows.insert(id, (version, entry.clone()));
                self.write(ServerChange::Set { version, entry }, rows);
            }
            Some(id) if !joins => {
                let entry = ServerEntry { sequence: version, ..rows[&id].1.clone() };
                rows.insert(id, (version, entry.clone()));
                self.write(ServerChange::Set { version, entry }, rows);
            }
            _ => {
                self.incarnation += 1;
                let mut entry = entry(&format!("s{}", self.incarnation), &[]);
                (entry.id, entry.started) = (format!("{}@0", entry.key).into(), Some(0));
                rows.insert(entry.key.clone(), (version, entry.clone()));
                self.write(ServerChange::Set { version, entry }, rows);
            }
        }
    }

    /// The last change of each row after a version, in order.
    fn feed(&self, after: u64) -> Vec<ServerChange> {
        let mut seen = BTreeSet::new();
        let newer = self.changes.iter().rev().take_while(|change| change.version() > after);
        let mut last: Vec<_> =
            newer.filter(|change| seen.insert(change.key().clone())).cloned().collect();
        last.reverse();
        last
    }
}

struct World {
    table: Table,
    boxes: Vec<Directory>,
    on_their_way: Vec<(usize, ReceivedChanges)>,
    /// Answers of the platform that have not come yet.
    answers: Vec<(usize, ReceivedChanges)>,
    /// The latest start under each key that each box heard of.
    heard: Vec<BTreeMap<ServerKey, u64>>,
    now: u64,
}

impl World {
    /// Tells the others; some messages are lost.
    fn tell(&mut self, from_box: usize, told: ReceivedChanges, rng: &mut ChaCha8Rng) {
        for message in told.into_messages(CHANGES_AT_ONCE) {
            for other in (0..BOXES).filter(|other| *other != from_box) {
                if rng.random_bool(0.8) {
                    self.on_their_way.push((other, message.clone()));
                }
                if self.on_their_way.len() > MOST_ON_THEIR_WAY {
                    self.on_their_way.remove(0);
                }
            }
        }
    }

    fn list(&mut self, index: usize, rng: &mut ChaCha8Rng) {
        // What is read from one of the platform's machines may be a little old.
        let version = self.table.version() - rng.random_range(0..=2.min(self.table.version() - 1));
        let rows: Vec<_> = self.table.rows(version).values().cloned().collect();
        let from = self.boxes[index].newest_version();
        let Some(events) = self.boxes[index].replace(rows, version, at(self.now)) else {
            return;
        };
        let changes = self.boxes[index].changes_for(&events, version);
        let told = ReceivedChanges::from_listing(from, version, changes, CHANGES_AT_ONCE);
        self.tell(index, told, rng);
    }

    /// Asks for what has changed; the answer comes later.
    fn follow(&mut self, index: usize, rng: &mut ChaCha8Rng) {
        let (from, to) = (self.boxes[index].newest_version(), self.table.version());
        if from == 0 {
            return self.list(index, rng);
        }
        let changes = self.table.feed(from);
        self.answers
            .push((index, ReceivedChanges { origin: ChangeOrigin::Feed, from, to, changes }));
    }

    fn take_answer(&mut self, rng: &mut ChaCha8Rng) {
        if self.answers.is_empty() {
            return;
        }
        let answer = rng.random_range(0..self.answers.len());
        let (index, told) = self.answers.swap_remove(answer);
        self.boxes[index].apply(told.changes.clone(), told.to, at(self.now));
        self.tell(index, told, rng);
    }

    fn restart(&mut self, index: usize) {
        self.boxes[index] = Directory::new(HEARTBEAT);
        self.heard[index].clear();
        self.answers.retain(|(asker, _)| *asker != index);
    }

    fn copy(&mut self, index: usize, rng: &mut ChaCha8Rng) {
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
            48..56 => self.take_answer(rng),
            56..58 => self.list(index, rng),
            58..64 => self.copy(index, rng),
            64..66 => self.restart(index),
            _ if self.on_their_way.is_empty() => {}
            _ => {
                let message = rng.random_range(0..self.on_their_way.len());
                let (to, told) = self.on_their_way.swap_remove(message);
                // A box that has not listed the servers takes in nothing.
                if self.boxes[to].newest_version() > 0 {
                    self.boxes[to].apply_received(told, at(self.now));
                }
            }
        }
    }

    fn check(&mut self) {
        for index in 0..BOXES {
            self.check_runs(index);
            self.check_servers(index);
        }
    }

    /// No box acts on an earlier run after it heard of a later one.
    fn check_runs(&mut self, index: usize) {
        let heard = &mut self.heard[index];
        for server in self.boxes[index].all() {
            let started = server.entry.started.expect("every server says it here");
            let latest = heard.entry(server.entry.key.clone()).or_default();
            assert!(started >= *latest, "box {index}: {server:?} after a run of {latest}");
            *latest = started;
        }
    }

    fn check_servers(&self, index: usize) {
        let known = &self.boxes[index];
        let version = known.newest_version();
        if version == 0 {
            assert_eq!(known.all().count(), 0, "box {index} has listed nothing");
            return;
        }
        // The feed tells the last change of a row only, so what changes again later may be as it was before.
        let later = self.table.feed(version);
        let later: BTreeSet<&ServerKey> = later.iter().map(ServerChange::key).collect();
        let rows = self.table.rows(version);
        let has = known.all().map(|server| (server.entry.key.clone(), server.version));
        let has: BTreeMap<_, _> = has.filter(|(key, _)| !later.contains(key)).collect();
        let is_there = has.keys().all(|key| rows.contains_key(key));
        assert!(is_there, "box {index} at version {version} has more than {rows:?}: {has:?}");
        let is_compared = |key: &ServerKey| !later.contains(key) && !self.table.mixed.contains(key);
        let has: BTreeMap<_, _> = has.into_iter().filter(|(key, _)| is_compared(key)).collect();
        let right = rows.iter().map(|(key, row)| (key.clone(), row.0));
        let right: BTreeMap<_, _> = right.filter(|(key, _)| is_compared(key)).collect();
        assert_eq!(has, right, "box {index} at version {version}");
    }
}

#[test]
fn a_box_that_knows_a_version_has_the_servers_of_that_version() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let table = Table {
        at_version: vec![BTreeMap::new()],
        changes: Vec::new(),
        incarnation: 0,
        mixed: BTreeSet::new(),
    };
    let boxes = (0..BOXES).map(|_| Directory::new(HEARTBEAT)).collect();
    let mut world = World {
        table,
        boxes,
        on_their_way: Vec::new(),
        answers: Vec::new(),
        heard: vec![BTreeMap::new(); BOXES],
        now: 1_000,
    };
    world.table.change(&mut rng);
    for _ in 0..STEPS {
        world.step(&mut rng);
        world.check();
    }
}
