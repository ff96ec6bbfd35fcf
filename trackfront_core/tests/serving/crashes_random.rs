//! Boxes exchange crash reports that are lost, late, duplicated and out of order, and boxes restart. A request must be
//! quarantined only for incarnations that ended under it, and boxes that got the same reports must reach the same state.

use std::collections::{BTreeMap, BTreeSet};

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use trackfront_core::serving::crashes::{CrashReport, CrashTracker, IncarnationId, MAX_CRASHES};
use trackfront_core::serving::fingerprint::Fingerprint;

use super::support::at;

const STEPS: u64 = 100_000;
const BOXES: usize = 5;
const REQUESTS: u64 = 6;

/// Requests up to this one crash servers; the others run beside them and are answered at times.
const CAUSES: u64 = 2;

/// The simulated time of a step. All steps together take longer than any record is kept.
const STEP_MS: u64 = 20;

/// The most reports in transit.
const MAX_IN_TRANSIT: usize = 50;

struct World {
    boxes: Vec<CrashTracker>,
    in_transit: Vec<CrashReport>,
    ended_under: BTreeMap<Fingerprint, BTreeSet<IncarnationId>>,
    next_incarnation: u32,
}

impl World {
    fn step(&mut self, rng: &mut ChaCha8Rng, ms: u64) {
        let index = rng.random_range(0..BOXES);
        let request = Fingerprint(rng.random_range(0..REQUESTS));
        match rng.random_range(0..20) {
            0 => self.crash(rng, ms),
            1 => self.boxes[index] = CrashTracker::default(),
            2 | 3 if request.0 >= CAUSES => {
                self.boxes[index].mark_answered(request, at(ms));
            }
            4..8 => {
                self.in_transit.extend(self.boxes[index].report(request).cloned());
                if self.in_transit.len() > MAX_IN_TRANSIT {
                    self.in_transit.remove(0);
                }
            }
            8..16 => {
                if let Some(report) = self.in_transit.choose(rng) {
                    self.boxes[index].apply_report(report, at(ms));
                }
            }
            16 => _ = self.boxes[index].forget_old(at(ms)),
            17 => {
                let incarnation = IncarnationId(self.next_incarnation);
                self.next_incarnation += 1;
                // A link breaks; the server keeps running.
                self.boxes[index].connection_broke(request, incarnation, at(ms));
                self.boxes[index].mark_alive(incarnation, at(ms));
            }
            _ => {}
        }
    }

    /// Ends a server that runs a cause and other requests, sent by any of the boxes.
    fn crash(&mut self, rng: &mut ChaCha8Rng, ms: u64) {
        let incarnation = IncarnationId(self.next_incarnation);
        self.next_incarnation += 1;
        for request in 0..REQUESTS {
            let ran_there = rng.random_bool(0.4);
            if !ran_there {
                continue;
            }
            let request = Fingerprint(request);
            let index = rng.random_range(0..BOXES);
            self.boxes[index].connection_broke(request, incarnation, at(ms));
            self.ended_under.entry(request).or_default().insert(incarnation);
        }
        for tracker in &mut self.boxes {
            if rng.random_bool(0.8) {
                tracker.mark_ended(incarnation, at(ms + 5));
            }
        }
    }

    fn check(&self) {
        for tracker in &self.boxes {
            for (report, _) in tracker.quarantined() {
                let ended = &self.ended_under[&report.fingerprint];
                assert!(report.crashes() >= MAX_CRASHES);
                assert!(
                    report.crashed.is_subset(ended),
                    "an incarnation counts that did not end under the request"
                );
            }
        }
    }
}

#[test]
fn boxes_quarantine_only_requests_under_which_servers_ended() {
    let mut rng = ChaCha8Rng::seed_from_u64(71);
    let boxes = (0..BOXES).map(|_| CrashTracker::default()).collect();
    let mut world =
        World { boxes, in_transit: Vec::new(), ended_under: BTreeMap::new(), next_incarnation: 0 };
    let mut quarantined = 0;
    for step in 0..STEPS {
        world.step(&mut rng, step * STEP_MS);
        world.check();
        quarantined +=
            world.boxes.iter().filter(|tracker| tracker.quarantined().next().is_some()).count();
    }
    assert!(quarantined > 1_000, "the simulation must quarantine something: {quarantined}");
}

/// The same reports, in any order and some twice, lead to the same state.
#[test]
fn reports_in_any_order_lead_to_the_same_state() {
    let mut rng = ChaCha8Rng::seed_from_u64(72);
    for _ in 0..2_000 {
        let request = Fingerprint(1);
        let reports: Vec<CrashReport> = (0..rng.random_range(1..6))
            .map(|_| {
                let crashed: BTreeSet<IncarnationId> = (0..rng.random_range(1..4))
                    .map(|_| IncarnationId(rng.random_range(0..6)))
                    .collect();
                let excused = crashed.iter().copied().filter(|_| rng.random_bool(0.2)).collect();
                CrashReport {
                    fingerprint: request,
                    crashed,
                    excused,
                    stored: false,
                    together: false,
                }
            })
            .collect();
        let mut one = CrashTracker::default();
        let mut other = CrashTracker::default();
        reports.iter().for_each(|report| _ = one.apply_report(report, at(1)));
        reports.iter().rev().for_each(|report| _ = other.apply_report(report, at(1)));
        reports.iter().for_each(|report| _ = other.apply_report(report, at(2)));
        let incarnations = |tracker: &CrashTracker| {
            tracker.report(request).map(|known| (known.crashed.clone(), known.excused.clone()))
        };
        assert_eq!(incarnations(&one), incarnations(&other));
        assert_eq!(one.is_quarantined(request), other.is_quarantined(request));
    }
}
