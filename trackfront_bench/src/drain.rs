//! Planned stops of boxes and engines under load: nothing is cut off, and nothing new comes.

use std::time::Duration;

use serde::Serialize;
use tokio::task::JoinHandle;
use trackfront_core::ids::BackendId;
use trackfront_core::outcome::Outcome;
use trackfront_core::ports::ListedState;
use trackfront_core::ports::peers::PeerState;
use trackfront_standin::memory::{MemoryDeployment, MemorySpec, TextResult, text};
use trackfront_standin::small::Spec;

use crate::cli::Drain;
use crate::figures::print;
use crate::paused;

/// How long after the news a leaving box or engine may get new work.
const NEWS_TIME: Duration = Duration::from_secs(3);

/// How far the platform's list and its readers lag.
const LIST_LAG: Duration = Duration::from_secs(2);

/// How often the balancer asks the boxes.
const BALANCER_EVERY: Duration = Duration::from_secs(1);

/// How long a stopped one is watched after that.
const WATCH_TIME: Duration = Duration::from_secs(3);

/// How often a request is sent while something stops.
const SEND_EVERY: Duration = Duration::from_millis(40);

/// The tokens of each answer: about two seconds.
const TOKENS: u64 = 200;

#[derive(Debug, Default, Serialize)]
struct Figures {
    question: &'static str,
    box_stops: usize,
    engine_stops: usize,
    requests: usize,
    refused_at_once: usize,
    cut: usize,
    new_work_after_3_s: u64,
}

/// Stops boxes and engines in turn and prints what was cut off.
pub fn run(args: &Drain) -> anyhow::Result<()> {
    paused::run(drive(args.stops))
}

async fn drive(stops: usize) -> anyhow::Result<()> {
    let spec = Spec { weights_mib: 4_096, ..Spec::default() };
    let mut deployment =
        MemoryDeployment::start_ready(MemorySpec::new(spec.memory_files(), 2)).await?;
    let mut figures = Figures { question: "drain", ..Figures::default() };
    for stop in 0..stops {
        if stop % 2 == 0 {
            stop_box(&mut deployment, stop, &mut figures).await?;
        } else {
            stop_engine(&deployment, stop, &mut figures).await?;
        }
    }
    print(&figures);
    Ok(())
}

/// What was sent during some time.
#[derive(Default)]
struct Sends {
    jobs: Vec<JoinHandle<TextResult>>,
    /// How many requests went to the box that is watched.
    to_watched: u64,
}

/// Sends requests for `time` to the boxes that said a second ago that they serve, as a balancer
/// does.
async fn send_for(deployment: &MemoryDeployment, time: Duration, watched: &str) -> Sends {
    let mut sends = Sends::default();
    let count = (time.as_millis() / SEND_EVERY.as_millis()) as usize;
    let checks = (BALANCER_EVERY.as_millis() / SEND_EVERY.as_millis()) as usize;
    let mut serving = Vec::new();
    for index in 0..count {
        if index % checks == 0 {
            serving = serving_boxes(deployment);
        }
        tokio::time::sleep(SEND_EVERY).await;
        let address: &String = &serving[index % serving.len()];
        sends.to_watched += u64::from(address == watched);
        let shared = deployment.nodes[address].shared.clone();
        let body = format!(
            "{{\"model\":\"letter\",\"prompt\":\"x\",\"stream\":true,\"max_tokens\":{TOKENS}}}"
        );
        sends.jobs.push(tokio::spawn(async move { text(&shared, "desk", body, None).await }));
    }
    sends
}

fn serving_boxes(deployment: &MemoryDeployment) -> Vec<String> {
    let mut addresses = deployment.box_addresses();
    addresses.retain(|address| deployment.nodes[address].shared.state() == PeerState::Serving);
    addresses
}

async fn count(jobs: Vec<JoinHandle<TextResult>>, figures: &mut Figures) -> anyhow::Result<()> {
    for job in jobs {
        let result = job.await?;
        figures.requests += 1;
        let refused = result.error.as_ref().is_some_and(|e| e.outcome() == Outcome::NotRun);
        figures.refused_at_once += usize::from(refused);
        let whole = result.error.is_none() && result.tokens == TOKENS;
        if !whole && !refused {
            log_cut(&result);
            figures.cut += 1;
        }
    }
    Ok(())
}

fn log_cut(result: &TextResult) {
    eprintln!("cut off after {} tokens: {:?}", result.tokens, result.error);
}

/// Stops one box with requests in progress, and starts another.
async fn stop_box(
    deployment: &mut MemoryDeployment,
    stop: usize,
    figures: &mut Figures,
) -> anyhow::Result<()> {
    let addresses = deployment.box_addresses();
    let address = addresses[stop % addresses.len()].clone();
    let hall = deployment.nodes[&address].shared.place.hall.clone();
    deployment.start_box(&hall)?;
    let mut jobs = send_for(deployment, Duration::from_secs(1), &address).await.jobs;
    deployment.nodes[&address].leave().await;
    jobs.extend(send_for(deployment, NEWS_TIME, &address).await.jobs);
    let watched = send_for(deployment, WATCH_TIME, &address).await;
    figures.new_work_after_3_s += watched.to_watched;
    jobs.extend(watched.jobs);
    figures.box_stops += 1;
    count(jobs, figures).await?;
    deployment.finish_box(&address).await;
    Ok(())
}

/// Lets the platform announce that an engine is leaving, and takes that back later.
async fn stop_engine(
    deployment: &MemoryDeployment,
    stop: usize,
    figures: &mut Figures,
) -> anyhow::Result<()> {
    let ids: Vec<BackendId> = {
        let mut ids: Vec<BackendId> = deployment.engines.keys().cloned().collect();
        ids.sort();
        ids
    };
    let id = ids[stop / 2 % ids.len()].clone();
    let mut jobs = send_for(deployment, Duration::from_secs(1), "").await.jobs;
    deployment.list_backend(&id, ListedState::Leaving);
    // The news counts from when the list shows it.
    jobs.extend(send_for(deployment, LIST_LAG + NEWS_TIME, "").await.jobs);
    let before = deployment.engines[&id].counts().started;
    jobs.extend(send_for(deployment, WATCH_TIME, "").await.jobs);
    figures.new_work_after_3_s += deployment.engines[&id].counts().started - before;
    figures.engine_stops += 1;
    count(jobs, figures).await?;
    deployment.list_backend(&id, ListedState::Live);
    tokio::time::sleep(Duration::from_secs(5)).await;
    Ok(())
}
