//! Random sequences of requests, faults and restarts with real boxes and a paused clock.
//!
//! Guards against combinations of faults that break a promise, such as calls that run twice. The promises are
//! asserted in the program and checked here. The seed is fixed; `TRACKFRONT_CASES` sets the number of runs.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio::task::JoinHandle;
use trackfront_core::ids::HallName;
use trackfront_core::outcome::Outcome;
use trackfront_standin::engine::EngineFaults;
use trackfront_standin::memory::{CallResult, MemoryDeployment, MemorySpec, call, text};
use trackfront_standin::plain::PlainFaults;
use trackfront_standin::small::{PLAIN, Spec};

/// The default number of runs.
const CASES: u32 = 12;

/// The maximum number of steps in a run.
const STEPS: usize = 120;

/// The maximum time of the recovery after a run.
const RECOVERY_TIME: Duration = Duration::from_secs(40);

/// A step of a run.
#[derive(Clone, Debug)]
enum Step {
    /// Calls the plain service through a box with one of a few keys.
    Call { entry: usize, key: u8 },
    /// Sends a text request.
    Text { entry: usize, tokens: u64 },
    /// Advances the clock.
    Sleep { ms: u64 },
    /// Kills a box and starts another in its hall.
    Replace { entry: usize },
    /// Makes the table unavailable or available.
    Table { down: bool },
    /// Drops replies of the table to writes that it applied.
    LoseCommits { count: u32 },
    /// Drops replies of peers.
    LoseAnswers { count: u32 },
    /// Partitions a hall from the others.
    Cut { hall: usize },
    /// Ends all partitions.
    Heal,
    /// Sets faults of the plain service.
    Plain { drop_before: u32, lose_replies: u32, wrong_ids: u32, latency_ms: u64 },
    /// Sets faults of an engine.
    Engine { engine: usize, faults: u8 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (0..6usize, 0..40u8).prop_map(|(entry, key)| Step::Call { entry, key }),
        6 => (0..6usize, 1..60u64).prop_map(|(entry, tokens)| Step::Text { entry, tokens }),
        6 => prop_oneof![1..50u64, 50..3_000u64, 3_000..15_000u64]
            .prop_map(|ms| Step::Sleep { ms }),
        1 => (0..6usize).prop_map(|entry| Step::Replace { entry }),
        1 => any::<bool>().prop_map(|down| Step::Table { down }),
        1 => (1..4u32).prop_map(|count| Step::LoseCommits { count }),
        1 => (1..6u32).prop_map(|count| Step::LoseAnswers { count }),
        1 => (0..2usize).prop_map(|hall| Step::Cut { hall }),
        2 => Just(Step::Heal),
        1 => (0..2u32, 0..2u32, 0..2u32, 0..400u64).prop_map(
            |(drop_before, lose_replies, wrong_ids, latency_ms)| Step::Plain {
                drop_before, lose_replies, wrong_ids, latency_ms,
            }
        ),
        1 => (0..3usize, 0..4u8).prop_map(|(engine, faults)| Step::Engine { engine, faults }),
    ]
}

/// A run and its results.
struct Run {
    deployment: MemoryDeployment,
    halls: Vec<HallName>,
    calls: Vec<(String, JoinHandle<CallResult>)>,
    texts: Vec<JoinHandle<()>>,
}

impl Run {
    async fn start(seed: u64) -> Run {
        let spec = Spec::default();
        let halls = spec.halls.iter().map(|hall| hall.as_str().into()).collect();
        let memory = MemorySpec { seed, ..MemorySpec::new(spec.memory_files(), 2) };
        let deployment = MemoryDeployment::start_ready(memory).await.expect("it starts");
        Run { deployment, halls, calls: Vec::new(), texts: Vec::new() }
    }

    fn entry(&self, index: usize) -> Arc<trackfrontd::shared::Shared> {
        let addresses = self.deployment.box_addresses();
        self.deployment.nodes[&addresses[index % addresses.len()]].shared.clone()
    }

    async fn step(&mut self, step: &Step) {
        match step {
            Step::Call { entry, key } => {
                let (entry, key) = (self.entry(*entry), format!("k{key}"));
                let sent = key.clone();
                let job = tokio::spawn(async move {
                    call(&entry, PLAIN, "/bookings", Some(&sent), Duration::from_secs(4)).await
                });
                self.calls.push((key, job));
            }
            Step::Text { entry, tokens } => {
                let entry = self.entry(*entry);
                let body = format!(
                    "{{\"model\": \"report\", \"prompt\": \"x\", \"stream\": true, \
                     \"max_tokens\": {tokens}}}"
                );
                let tokens = *tokens;
                self.texts.push(tokio::spawn(async move {
                    // The tokens themselves are checked where they are read.
                    let result = text(&entry, "desk", body, None).await;
                    match result.error {
                        None => assert_eq!(result.tokens, tokens, "an answer is whole"),
                        Some(error) => {
                            let says_not_run = error.outcome() == Outcome::NotRun;
                            assert!(!says_not_run || result.tokens == 0, "{error}");
                        }
                    }
                }));
            }
            Step::Sleep { ms } => tokio::time::sleep(Duration::from_millis(*ms)).await,
            Step::Replace { entry } => {
                let addresses = self.deployment.box_addresses();
                let address = addresses[entry % addresses.len()].clone();
                let hall = self.deployment.nodes[&address].shared.place.hall.clone();
                self.deployment.kill_box(&address);
                self.deployment.start_box(&hall).expect("a box starts");
            }
            Step::Table { down } => self.deployment.table.faults.change(|f| f.down = *down),
            Step::LoseCommits { count } => {
                self.deployment.table.faults.change(|faults| faults.lose_replies = *count);
            }
            Step::LoseAnswers { count } => self.deployment.net.lose_answers(*count),
            Step::Cut { hall } => self.deployment.net.cut(&self.halls[*hall]),
            Step::Heal => self.deployment.net.heal(),
            Step::Plain { drop_before, lose_replies, wrong_ids, latency_ms } => {
                for server in self.deployment.plain.values() {
                    server.set_faults(PlainFaults {
                        drop_before: *drop_before,
                        lose_replies: *lose_replies,
                        wrong_ids: *wrong_ids,
                        latency_ms: *latency_ms,
                        down: false,
                    });
                }
            }
            Step::Engine { engine, faults } => {
                let id = format!("engine-{engine}").as_str().into();
                self.deployment.engines[&id].set_faults(engine_faults(*faults));
            }
        }
    }

    /// Ends all faults and checks that everything recovers.
    async fn clear_faults(&mut self) {
        self.deployment.net.heal();
        self.deployment.net.lose_answers(0);
        self.deployment.table.faults.set(Default::default());
        for engine in self.deployment.engines.values() {
            engine.set_faults(EngineFaults::default());
        }
        for server in self.deployment.plain.values() {
            server.set_faults(PlainFaults::default());
        }
        tokio::time::sleep(RECOVERY_TIME).await;
        assert_eq!(self.deployment.missing_items(), 0, "every model is reachable again");
    }

    /// Checks that the call with each key ran at most once, and not if it was refused as not run.
    async fn check_calls(&mut self) {
        let mut all_not_run: HashMap<String, bool> = HashMap::new();
        for (key, job) in std::mem::take(&mut self.calls) {
            // A call on a box that was killed goes on here; its process would have ended.
            let result = job.await.expect("a call does not panic");
            let not_run = result.error.is_some_and(|error| error.outcome() == Outcome::NotRun);
            *all_not_run.entry(key).or_insert(true) &= not_run;
        }
        let runs = self.deployment.plain.values().next().expect("a server").runs();
        for (key, count) in &runs {
            assert!(*count <= 1, "{key} was run {count} times");
        }
        for (key, _) in all_not_run.iter().filter(|(_, not_run)| **not_run) {
            assert_eq!(runs.get(key), None, "{key} was refused as not run");
        }
    }
}

fn engine_faults(kind: u8) -> EngineFaults {
    match kind {
        0 => EngineFaults { down: true, ..EngineFaults::default() },
        1 => EngineFaults { break_streams: 2, break_after: 3, ..EngineFaults::default() },
        2 => EngineFaults {
            wrong_ids: 2,
            repeat_frames: 3,
            drop_requests: 1,
            lose_order_replies: 2,
            ..EngineFaults::default()
        },
        _ => EngineFaults::default(),
    }
}

async fn run(seed: u64, steps: Vec<Step>) {
    let mut run = Run::start(seed).await;
    for step in &steps {
        run.step(step).await;
    }
    run.clear_faults().await;
    run.check_calls().await;
    for job in std::mem::take(&mut run.texts) {
        job.await.expect("a text request does not panic");
    }
    assert_eq!(run.deployment.overcommits(), 0, "memory is never overcommitted");
}

#[test]
fn promises_hold_under_random_faults() {
    let cases = std::env::var("TRACKFRONT_CASES").ok().and_then(|text| text.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), STEPS / 2..STEPS);
    let outcome = runner.run(&(any::<u64>(), steps), |(seed, steps)| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("a runtime starts");
        runtime.block_on(run(seed, steps));
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}
