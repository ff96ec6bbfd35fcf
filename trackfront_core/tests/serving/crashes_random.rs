//! Random runs of boxes that tell each other which servers ended under which requests: words are lost, late, told twice
//! and out of order, and boxes start again. Whatever came of it, a request is held off only for runs that ended under
//! it, and boxes that have heard the same know the same.

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

/// The time of a step. All of it together is longer than anything is kept for.
const STEP_MS: u64 = 20;

/// How many words are on their way at most.
const MOST_ON_THEIR_WAY: usize = 50;

struct World {
    boxes: Vec<CrashTracker>,
    on_their_way: Vec<CrashReport>,
    ended_under: BTreeMap<Fingerprint, BTreeSet<IncarnationId>>,
    next_run: u32,
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
                self.on_their_way.extend(self.boxes[index].report(request).cloned());
                if self.on_their_way.len() > MOST_ON_THEIR_WAY {
                    self.on_their_way.remove(0);
                }
            }
            8..16 => {
                if let Some(report) = self.on_their_way.choose(rng) {
                    self.boxes[index].apply_report(report, at(ms));
                }
            }
            16 => _ = self.boxes[index].forget_old(at(ms)),
            17 => {
                let run = IncarnationId(self.next_run);
                self.next_run += 1;
                // A link breaks, and the server lives on.
                self.boxes[index].connection_broke(request, run, at(ms));
                self.boxes[index].mark_alive(run, at(ms));
            }
            _ => {}
        }
    }

    /// A server ends under a cause and what runs beside it, at whichever boxes.
    fn crash(&mut self, rng: &mut ChaCha8Rng, ms: u64) {
        let run = IncarnationId(self.next_run);
        self.next_run += 1;
        for request in 0..REQUESTS {
            let is_there = rng.random_bool(0.4);
            if !is_there {
                continue;
            }
            let request = Fingerprint(request);
            let index = rng.random_range(0..BOXES);
            self.boxes[index].connection_broke(request, run, at(ms));
            self.ended_under.entry(request).or_default().insert(run);
        }
        for book in &mut self.boxes {
            if rng.random_bool(0.8) {
                book.mark_ended(run, at(ms + 5));
            }
        }
    }

    fn check(&self) {
        for book in &self.boxes {
            for (report, _) in book.quarantined() {
                let ended = &self.ended_under[&report.fingerprint];
                assert!(report.crashes() >= MAX_CRASHES);
                assert!(report.crashed.is_subset(ended), "a run counts that did not end under it");
            }
        }
    }
}

#[test]
fn boxes_hold_off_only_what_servers_ended_under() {
    let mut rng = ChaCha8Rng::seed_from_u64(71);
    let boxes = (0..BOXES).map(|_| CrashTracker::default()).collect();
    let mut world =
        World { boxes, on_their_way: Vec::new(), ended_under: BTreeMap::new(), next_run: 0 };
    let mut held_off = 0;
    for step in 0..STEPS {
        world.step(&mut rng, step * STEP_MS);
        world.check();
        held_off += world.boxes.iter().filter(|book| book.quarantined().next().is_some()).count();
    }
    assert!(held_off > 1_000, "the run has to hold something off: {held_off}");
}

/// The same words in any order, some twice, lead to the same.
#[test]
fn words_in_any_order_lead_to_the_same() {
    let mut rng = ChaCha8Rng::seed_from_u64(72);
    for _ in 0..2_000 {
        let request = Fingerprint(1);
        let words: Vec<CrashReport> = (0..rng.random_range(1..6))
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
        words.iter().for_each(|word| _ = one.apply_report(word, at(1)));
        words.iter().rev().for_each(|word| _ = other.apply_report(word, at(1)));
        words.iter().for_each(|word| _ = other.apply_report(word, at(2)));
        let runs = |book: &CrashTracker| {
            book.report(request).map(|known| (known.crashed.clone(), known.excused.clone()))
        };
        assert_eq!(runs(&one), runs(&other));
        assert_eq!(one.is_quarantined(request), other.is_quarantined(request));
    }
}
