//! Whether requests are admitted, simulated for boxes that compete for the servers of a plain service.
//!
//! Guards against beliefs that were learned under a load that is gone: a box that refuses for them gets no answers, and
//! without answers they stay.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use trackfront_core::serving::admission::AdmissionQuestion;
use trackfront_core::serving::affinity::PrefixIndex;
use trackfront_core::serving::choice::{Choice, Query, choose};
use trackfront_core::serving::directory::KnownServer;
use trackfront_core::serving::halls::{AllowedHalls, Evacuations};
use trackfront_core::serving::load::{
    AttemptOutcome, LoadTracker, ReportedLoad, TrackedRequest, Work,
};
use trackfront_core::serving::request::RequestInfo;
use trackfront_core::serving::sampling::sample_servers;
use trackfront_core::units::{Moment, millis_to_duration};

use super::choice::TestView;
use super::support::{at, entry, info, item, known};

/// The servers of the service, their slots, and the requests that each queues before it refuses more.
const SERVERS: usize = 5;
const SLOTS: usize = 6;
const MAX_QUEUED: usize = 30;

/// The time that a call takes at a server: between these bounds.
const WORK_MS: (u64, u64) = (30, 90);

/// The time from a box to a server, one way.
const NETWORK_MS: u64 = 1;

/// The time within which an answer is of use.
const TARGET: Duration = Duration::from_millis(300);

/// The requests that come at the same moment.
const CLUMP: u32 = 6;

/// The boxes among which requests are spread at first.
const BOXES: usize = 30;

/// A request at a server.
struct Call {
    from: usize,
    tracked: TrackedRequest,
    sent: u64,
    /// When the server will have answered; `None` while it waits there.
    ends: Option<u64>,
}

#[derive(Default)]
struct Server {
    running: Vec<Call>,
    waiting: VecDeque<Call>,
}

/// What became of the requests of one second.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    read: u32,
    in_time: u32,
    late: u32,
}

impl Second {
    /// Returns the share that was in time: all, if no request came.
    fn share_in_time(self) -> f64 {
        if self.read == 0 {
            return 1.0;
        }
        f64::from(self.in_time) / f64::from(self.read)
    }
}

/// Chooses a server by what a box knows.
fn choose_among<'a>(
    servers: impl IntoIterator<Item = &'a Arc<KnownServer>>,
    request: &RequestInfo,
    loads: &mut LoadTracker,
    now: Moment,
) -> Choice {
    let evacuations = Evacuations::default();
    let regions = BTreeMap::new();
    let query = Query {
        info: request,
        prefixes: &[],
        rank: 1,
        tried: &[],
        software: None,
        hall: &"a".into(),
        allowed_halls: AllowedHalls {
            evacuations: &evacuations,
            regions: &regions,
            bounds: [None, None],
        },
        drain_grace: Duration::ZERO,
        drain_end: Duration::ZERO,
        now,
    };
    let (prefixes, view) = (PrefixIndex::default(), TestView::default());
    choose(&query, servers, loads, &prefixes, &view).expect("a server")
}

/// Boxes before the servers of a service, by one clock.
struct Simulation {
    rng: ChaCha8Rng,
    known: Vec<Arc<KnownServer>>,
    servers: Vec<Server>,
    boxes: Vec<LoadTracker>,
    /// The factor on the time that calls take.
    slowness: u64,
    seconds: Vec<Second>,
    now: u64,
}

impl Simulation {
    fn new(boxes: usize, seed: u64) -> Self {
        let entries = (0..SERVERS).map(|index| {
            let mut server = entry(&format!("s{index}"), &[]);
            server.slots = SLOTS as u32;
            server
        });
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            known: known(entries.collect()),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            boxes: (0..boxes).map(|_| LoadTracker::default()).collect(),
            slowness: 1,
            seconds: Vec::new(),
            now: 0,
        }
    }

    /// Plays some seconds with so many requests a second, spread over the first `boxes` boxes.
    fn play(&mut self, seconds: u64, per_s: f64, boxes: usize) {
        for _ in 0..seconds {
            self.seconds.push(Second::default());
            for _ in 0..1_000 {
                self.now += 1;
                self.end_calls();
                if self.rng.random_bool(per_s / 1_000.0 / f64::from(CLUMP)) {
                    for _ in 0..CLUMP {
                        let from = self.rng.random_range(0..boxes);
                        self.request(from);
                    }
                }
            }
        }
    }

    /// Lets all calls end.
    fn finish(&mut self) {
        for _ in 0..10_000 {
            self.now += 1;
            self.end_calls();
        }
    }

    /// Returns the share that was in time over some seconds, and the share in each of others.
    fn shares(&self, before: Range<usize>, then: Range<usize>) -> (f64, Vec<f64>) {
        let before = &self.seconds[before];
        let sum = |of: fn(&Second) -> u32| f64::from(before.iter().map(of).sum::<u32>());
        let share = sum(|second| second.in_time) / sum(|second| second.read);
        (share, self.seconds[then].iter().map(|second| second.share_in_time()).collect())
    }

    fn time(&self) -> Moment {
        at(self.now)
    }

    fn request(&mut self, from: usize) {
        let now = self.time();
        self.seconds.last_mut().expect("a second").read += 1;
        let choice = self.choose(from);
        let question = AdmissionQuestion {
            server: &choice.server.entry.id,
            boxes: self.boxes.len(),
            may_be_trial: true,
            of_model: false,
            has_slot: choice.requests < choice.server.entry.slots,
            estimate: choice.estimate,
            wait: Duration::ZERO,
            limit: TARGET,
        };
        let loads = &mut self.boxes[from];
        let admission = loads.admit(&question, now);
        if !admission.is_admitted {
            return;
        }
        let id = &choice.server.entry.id;
        let mut tracked = loads.begin(id, SLOTS as u32, None, Work::default(), now);
        tracked.set_estimate(choice.estimate, admission.answer_weight);
        let index = self.known.iter().position(|known| known.entry.id == *id).expect("the server");
        let call = Call { from, tracked, sent: self.now, ends: None };
        if self.servers[index].waiting.len() >= MAX_QUEUED {
            self.boxes[from].end(call.tracked, AttemptOutcome::Refused, now);
            return;
        }
        self.servers[index].waiting.push_back(call);
        self.start_calls(index);
    }

    /// Chooses as a box of a large fleet does: the better of two random servers.
    fn choose(&mut self, from: usize) -> Choice {
        let hall = "a".into();
        let some = sample_servers(self.known.iter(), &hall, |_| true, &mut self.rng);
        choose_among(some, &info(None, 0), &mut self.boxes[from], at(self.now))
    }

    fn start_calls(&mut self, index: usize) {
        let server = &mut self.servers[index];
        while server.running.len() < SLOTS
            && let Some(mut call) = server.waiting.pop_front()
        {
            let work = self.rng.random_range(WORK_MS.0..=WORK_MS.1) * self.slowness;
            call.ends = Some(self.now + work + 2 * NETWORK_MS);
            server.running.push(call);
        }
    }

    fn end_calls(&mut self) {
        for index in 0..SERVERS {
            let now = self.now;
            let is_ended = |call: &mut Call| call.ends.is_some_and(|at| at <= now);
            let ended: Vec<Call> = self.servers[index].running.extract_if(.., is_ended).collect();
            self.start_calls(index);
            let server = &self.servers[index];
            let reported = ReportedLoad {
                running: server.running.len() as u32,
                waiting: server.waiting.len() as u32,
                slots: SLOTS as u32,
                pace: None,
            };
            for call in ended {
                let took = self.now - call.sent;
                // The answer counts for the second in which its request was read.
                let second = &mut self.seconds[(call.sent.saturating_sub(1) / 1_000) as usize];
                match took <= TARGET.as_millis() as u64 {
                    true => second.in_time += 1,
                    false => second.late += 1,
                }
                let loads = &mut self.boxes[call.from];
                loads.apply_report(&self.known[index].entry.id, reported, at(self.now));
                loads.end(call.tracked, AttemptOutcome::Answered, at(self.now));
            }
        }
    }
}

/// The incident: 30 boxes know little of each other and learn that their estimates are far too short. Then one of them gets
/// all connections, and refuses by that while the servers have nothing to do.
#[test]
fn box_that_gets_the_requests_of_all_others_serves_what_they_served() {
    for seed in 0..12 {
        for per_s in [300.0, 550.0, 700.0] {
            let mut simulation = Simulation::new(BOXES, seed);
            simulation.play(5, per_s, BOXES);
            simulation.play(6, per_s, 1);
            simulation.finish();
            let (before, shares) = simulation.shares(1..5, 5..11);
            println!("seed {seed}, {per_s} a second: {before:.2} before, {shares:.2?}");
            assert!(shares.iter().all(|share| *share >= before * 0.75), "{seed}, {per_s}");
        }
    }
}

/// Servers that were slow for a while are used again, although all that is known of them says that they take too long.
#[test]
fn servers_that_are_no_longer_slow_are_used_again() {
    for seed in 0..12 {
        for per_s in [20.0, 300.0] {
            let mut simulation = Simulation::new(1, seed);
            simulation.play(5, per_s, 1);
            simulation.slowness = 8;
            simulation.play(5, per_s, 1);
            simulation.slowness = 1;
            simulation.play(6, per_s, 1);
            simulation.finish();
            // The calls that run when the servers are fast again are slow ones, so one second does not count.
            let (before, shares) = simulation.shares(1..5, 11..16);
            println!("seed {seed}, {per_s} a second: {before:.2} before, {shares:.2?}");
            assert!(shares.iter().all(|share| *share >= before * 0.75), "{seed}, {per_s}");
        }
    }
}

/// The prompt of a request to an engine, and the time for it at the usual speed of a model that was not measured.
const PROMPT_TOKENS: u32 = 2_000;
const PREFILL_MS: u64 = 200;

/// The time to the first event that is of use.
const FIRST_EVENT_TARGET: Duration = Duration::from_millis(800);

/// The requests that the engine runs at once.
const ENGINE_SLOTS: u32 = 64;

/// The interval of requests to the engine.
const REQUEST_INTERVAL_MS: u64 = 250;

/// Sends requests to an engine that reads prompts one after the other, for some seconds. Returns the share of them that
/// got their first events in time.
fn play_engine(loads: &mut LoadTracker, from: u64, seconds: u64, slowness: u64) -> f64 {
    let (request, model) = (info(Some(item("m", None)), PROMPT_TOKENS), "m".into());
    let servers = known(vec![entry("x", &["m"])]);
    let work = Work { prompt_tokens: PROMPT_TOKENS, output_tokens: 10, rank: 1 };
    let mut reading: VecDeque<(TrackedRequest, u64, u64)> = VecDeque::new();
    let (mut sent, mut in_time, mut read_until) = (0, 0, from);
    let end = from + seconds * 1_000;
    for now in from..end + 10_000 {
        if now < end && now % REQUEST_INTERVAL_MS == 0 {
            sent += 1;
            let choice = choose_among(&servers, &request, loads, at(now));
            let own_ms = loads.prefill_ms_per_token(&model) * f64::from(PROMPT_TOKENS);
            let own_prefill = millis_to_duration(own_ms);
            let question = AdmissionQuestion {
                server: &choice.server.entry.id,
                boxes: 1,
                may_be_trial: true,
                of_model: true,
                has_slot: true,
                estimate: choice.estimate,
                wait: choice.estimate.saturating_sub(own_prefill),
                limit: FIRST_EVENT_TARGET,
            };
            let admission = loads.admit(&question, at(now));
            if admission.is_admitted {
                let id = &servers[0].entry.id;
                let mut tracked = loads.begin(id, ENGINE_SLOTS, Some(&model), work, at(now));
                tracked.set_estimate(choice.estimate, admission.answer_weight);
                read_until = read_until.max(now) + PREFILL_MS * slowness;
                reading.push_back((tracked, now, read_until));
            }
        }
        while reading.front().is_some_and(|(_, _, ends)| *ends <= now) {
            let (mut tracked, sent_at, _) = reading.pop_front().expect("there is one");
            loads.first_event(&mut tracked, at(now));
            loads.end(tracked, AttemptOutcome::Answered, at(now));
            in_time += u32::from(now - sent_at <= FIRST_EVENT_TARGET.as_millis() as u64);
        }
    }
    f64::from(in_time) / f64::from(sent)
}

/// The same for the speed at which an engine reads prompts, which is learned from first events alone.
#[test]
fn engine_that_is_no_longer_slow_is_used_again() {
    let mut loads = LoadTracker::default();
    let before = play_engine(&mut loads, 0, 10, 1);
    let slow = play_engine(&mut loads, 20_000, 20, 8);
    // A box that gets four requests a second has tried the engine again within so long.
    play_engine(&mut loads, 50_000, 4, 1);
    let after = play_engine(&mut loads, 64_000, 10, 1);
    println!("{before:.2} before, {slow:.2} while the engine is slow, {after:.2} after");
    assert!(after >= before * 0.75, "{before:.2} before, {after:.2} after");
}
