//! Failures while requests are processed. Each case is a TOML file with steps, run by real boxes with
//! in-memory stand-ins and a paused clock.
//!
//! Guards against calls that run twice, answers that are lost although they could be recovered, and errors
//! that state a wrong outcome.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use tokio::task::JoinHandle;
use trackfront_core::ids::{BackendId, HallName, ShardId};
use trackfront_core::outcome::RequestError;
use trackfront_core::ports::{Engine, ListedState};
use trackfront_standin::control::PlatformFaults;
use trackfront_standin::engine::EngineFaults;
use trackfront_standin::memory::{MemoryDeployment, MemorySpec, call, text};
use trackfront_standin::plain::PlainFaults;
use trackfront_standin::small::{PLAIN, REGION, Spec};
use trackfrontd::shared::Shared;

/// The deadline of calls to a plain service.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

type Failure = Box<dyn std::error::Error>;

/// A case.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    /// The description of the case.
    about: String,
    /// The policy in the tree.
    #[serde(default)]
    policy: String,
    steps: Vec<Step>,
}

/// A step of a case.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
enum Step {
    /// Sets the faults of one engine, or of all.
    Engine { engine: Option<usize>, faults: EngineFaults },
    /// Sets the faults of one server of the plain service, or of all.
    Plain { server: Option<usize>, faults: PlainFaults },
    /// Sets the faults of the table.
    Table { faults: PlatformFaults },
    /// Drops the next replies of peers.
    LoseAnswers { count: u32 },
    /// Partitions a hall from the others.
    Cut { hall: String },
    /// Ends all partitions.
    Heal,
    /// Kills the box that owns the claims of the plain service.
    KillKeeper,
    /// Loads the first model on a second engine.
    CopyModel,
    /// Stops the engine on which a request runs.
    DownBusyEngine,
    /// Waits.
    Sleep { ms: u64 },
    /// Suspends all machines for a time, which timers do not count.
    Suspend { ms: u64 },
    /// Sends a text request.
    Text {
        from: usize,
        tokens: u64,
        #[serde(default)]
        deadline_ms: Option<u64>,
        #[serde(default)]
        background: bool,
        expect: Expected,
    },
    /// Calls the plain service.
    Call {
        from: usize,
        #[serde(default)]
        path: Option<String>,
        #[serde(default)]
        key: Option<String>,
        #[serde(default)]
        background: bool,
        expect: Expected,
    },
    /// Waits for all requests in the background.
    Join,
    /// Checks how many times the call with a key ran.
    Runs { key: String, count: u32 },
    /// Checks the maximum number of times the call with a key ran.
    RunsAtMost { key: String, count: u32 },
    /// Checks that the batches of all engines are empty.
    Idle,
}

/// The expected result of a request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Expected {
    /// `answered`, `replayed`, or one of the kinds of error.
    one_of: Vec<String>,
    /// The outcome of the error.
    outcome: Option<String>,
    /// The number of received tokens.
    tokens: Option<u64>,
}

impl Expected {
    fn check(
        &self,
        word: &str,
        error: Option<&RequestError>,
        tokens: Option<u64>,
    ) -> Result<(), Failure> {
        let outcome = error.map(|error| error.outcome().to_string());
        let fits = self.one_of.iter().any(|expected| expected == word)
            && (self.outcome.is_none() || self.outcome == outcome)
            && (self.tokens.is_none() || self.tokens == tokens);
        match fits {
            true => Ok(()),
            false => Err(format!("{word} {outcome:?} {tokens:?} {error:?}, not {self:?}").into()),
        }
    }
}

/// A deployment with the requests in progress.
struct Run {
    deployment: MemoryDeployment,
    background: Vec<JoinHandle<Result<(), String>>>,
}

impl Run {
    /// Returns the box with this index among those that run.
    fn entry(&self, index: usize) -> Arc<Shared> {
        let addresses = self.deployment.box_addresses();
        self.deployment.nodes[&addresses[index % addresses.len()]].shared.clone()
    }

    async fn step(&mut self, step: Step) -> Result<(), Failure> {
        match step {
            Step::Engine { engine, faults } => {
                for (id, standin) in &self.deployment.engines {
                    let name = engine.map(|index| BackendId::from(format!("engine-{index}")));
                    if name.is_none_or(|name| name == *id) {
                        standin.set_faults(faults.clone());
                    }
                }
            }
            Step::Plain { server, faults } => {
                for (id, standin) in &self.deployment.plain {
                    let name = server.map(|index| BackendId::from(format!("plain-{index}")));
                    if name.is_none_or(|name| name == *id) {
                        standin.set_faults(faults.clone());
                    }
                }
            }
            Step::Table { faults } => self.deployment.table.faults.set(faults),
            Step::LoseAnswers { count } => self.deployment.net.lose_answers(count),
            Step::Cut { hall } => self.deployment.net.cut(&HallName::from(hall)),
            Step::Heal => self.deployment.net.heal(),
            Step::KillKeeper => self.kill_claims_owner()?,
            Step::CopyModel => self.copy_model().await?,
            Step::DownBusyEngine => {
                let engines = self.deployment.engines.values();
                let busy = engines.filter(|engine| engine.running() > 0);
                let faults = EngineFaults { down: true, ..EngineFaults::default() };
                busy.for_each(|engine| engine.set_faults(faults.clone()));
            }
            Step::Suspend { ms } => self.deployment.clock.suspend(Duration::from_millis(ms)),
            Step::Sleep { ms } => tokio::time::sleep(Duration::from_millis(ms)).await,
            Step::Text { from, tokens, deadline_ms, background, expect } => {
                let entry = self.entry(from);
                let job = send_text(entry, tokens, deadline_ms, expect);
                self.run_or_spawn(job, background).await?;
            }
            Step::Call { from, path, key, background, expect } => {
                let entry = self.entry(from);
                let job = send_call(entry, path, key, expect);
                self.run_or_spawn(job, background).await?;
            }
            Step::Join => {
                for job in std::mem::take(&mut self.background) {
                    job.await??;
                }
            }
            Step::Runs { key, count } => {
                let runs = self.runs(&key);
                if runs != count {
                    return Err(format!("{key} was run {runs} times").into());
                }
            }
            Step::RunsAtMost { key, count } => {
                let runs = self.runs(&key);
                if runs > count {
                    return Err(format!("{key} was run {runs} times").into());
                }
            }
            Step::Idle => {
                let running: usize =
                    self.deployment.engines.values().map(|engine| engine.running()).sum();
                if running > 0 {
                    return Err(format!("{running} requests still run").into());
                }
            }
        }
        Ok(())
    }

    async fn run_or_spawn(
        &mut self,
        job: impl Future<Output = Result<(), String>> + Send + 'static,
        background: bool,
    ) -> Result<(), Failure> {
        if background {
            self.background.push(tokio::spawn(job));
            // The request is under way before the next step.
            tokio::time::sleep(Duration::from_millis(1)).await;
            return Ok(());
        }
        Ok(job.await?)
    }

    async fn copy_model(&self) -> Result<(), Failure> {
        for (id, engine) in &self.deployment.engines {
            let report = engine.report().await?;
            if report.items.iter().any(|held| held.item.model.as_str() == "letter") {
                self.deployment.list_backend(id, ListedState::Leaving);
                tokio::time::sleep(Duration::from_secs(10)).await;
                self.deployment.list_backend(id, ListedState::Live);
                tokio::time::sleep(Duration::from_secs(5)).await;
                return Ok(());
            }
        }
        Err("no engine has the model".into())
    }

    fn kill_claims_owner(&mut self) -> Result<(), Failure> {
        let shard = ShardId { region: REGION.into(), service: PLAIN.into() };
        let owner = self
            .deployment
            .nodes
            .iter()
            .find(|(_, node)| node.shared.claims.fence(&shard).is_some())
            .map(|(address, _)| address.clone())
            .ok_or("no box keeps the claims")?;
        self.deployment.kill_box(&owner);
        Ok(())
    }

    fn runs(&self, key: &str) -> u32 {
        let runs = self.deployment.plain.values().next().map(|server| server.runs());
        runs.and_then(|runs| runs.get(key).copied()).unwrap_or(0)
    }
}

async fn send_text(
    entry: Arc<Shared>,
    tokens: u64,
    deadline_ms: Option<u64>,
    expect: Expected,
) -> Result<(), String> {
    let body = format!(
        "{{\"model\": \"letter\", \"prompt\": \"x\", \"stream\": true, \"max_tokens\": {tokens}}}"
    );
    let result = text(&entry, "desk", body, deadline_ms.map(Duration::from_millis)).await;
    let word = result.error.as_ref().map_or("answered", RequestError::kind);
    let checked = expect.check(word, result.error.as_ref(), Some(result.tokens));
    checked.map_err(|error| error.to_string())
}

async fn send_call(
    entry: Arc<Shared>,
    path: Option<String>,
    key: Option<String>,
    expect: Expected,
) -> Result<(), String> {
    let path = path.as_deref().unwrap_or("/bookings");
    let result = call(&entry, PLAIN, path, key.as_deref(), CALL_TIMEOUT).await;
    let word = match &result.error {
        Some(error) => error.kind(),
        None if result.replayed => "replayed",
        None => "answered",
    };
    expect.check(word, result.error.as_ref(), None).map_err(|error| error.to_string())
}

async fn run_case(case: Case) -> Result<(), Failure> {
    let two = vec!["letter-lima".to_string()];
    let spec = Spec {
        // Every model is on two engines or more as soon as there are three of each.
        models: vec![("letter".into(), two)],
        policy: case.policy,
        ..Spec::default()
    };
    let deployment = MemoryDeployment::start_ready(MemorySpec::new(spec.memory_files(), 2)).await?;
    let mut run = Run { deployment, background: Vec::new() };
    for (number, step) in case.steps.into_iter().enumerate() {
        let text = format!("{step:?}");
        run.step(step)
            .await
            .map_err(|error| format!("{}: step {}: {text}: {error}", case.about, number + 1))?;
    }
    Ok(())
}

fn run(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = toml::from_str(&std::fs::read_to_string(path)?)?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build()?;
    runtime.block_on(run_case(case)).map_err(|error| error.to_string().into())
}

datatest_stable::harness! {
    { test = run, root = "tests/failures", pattern = r"\.toml$" },
}
