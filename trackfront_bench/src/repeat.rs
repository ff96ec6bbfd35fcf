//! Calls that may run once, with duplicates, dying boxes and store outages.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::time::Instant;
use trackfront_standin::memory::{CallResult, MemoryDeployment, MemorySpec, call};
use trackfront_standin::small::{PLAIN, Spec};

use crate::cli::Repeat;
use crate::figures::{Quantiles, Times, print};
use crate::paused;
use trackfront_core::units::secs_to_duration;

/// Calls a second.
const RATE: f64 = 250.0;

/// The share of calls that are sent again under the same key.
const DUPLICATES: f64 = 0.2;

/// How often a box dies and another starts.
const DEATH_EVERY: Duration = Duration::from_secs(20);

/// How often the table goes away, and for how long.
const OUTAGE_EVERY: Duration = Duration::from_secs(90);
const OUTAGE: Duration = Duration::from_secs(8);

/// How long a caller waits.
const ALLOWED: Duration = Duration::from_secs(5);

#[derive(Debug, Serialize)]
struct Figures {
    question: &'static str,
    calls: usize,
    keys: usize,
    box_deaths: u32,
    outages: u32,
    most_runs_of_a_key: u32,
    refused_as_not_run_but_run: usize,
    share_answered: f64,
    share_answered_while_store_is_up: f64,
    took: Quantiles,
    table_writes_per_s: f64,
}

/// One call as sent.
struct Sent {
    key: String,
    in_outage: bool,
    result: CallResult,
}

/// Sends all calls and prints what came of them.
pub fn run(args: &Repeat) -> anyhow::Result<()> {
    paused::run(drive(args.calls))
}

async fn drive(calls: usize) -> anyhow::Result<()> {
    let spec = Spec::default();
    let mut deployment =
        MemoryDeployment::start_ready(MemorySpec::new(spec.memory_files(), 3)).await?;
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let writes_before = deployment.table.counts().writes;
    let start = Instant::now();
    let (mut deaths, mut outages) = (0, 0);
    let (mut next_death, mut next_outage) = (DEATH_EVERY, OUTAGE_EVERY);
    let mut outage_until = Duration::ZERO;
    let mut jobs = Vec::new();
    for number in 0..calls {
        tokio::time::sleep(secs_to_duration(1.0 / RATE)).await;
        let now = start.elapsed();
        if now >= next_death {
            replace_one(&mut deployment, &mut rng)?;
            deaths += 1;
            next_death += DEATH_EVERY;
        }
        if now >= next_outage {
            deployment.table.faults.change(|faults| faults.down = true);
            outages += 1;
            outage_until = now + OUTAGE;
            next_outage += OUTAGE_EVERY;
        }
        if now >= outage_until {
            deployment.table.faults.change(|faults| faults.down = false);
        }
        let duplicate = number > 0 && rng.random::<f64>() < DUPLICATES;
        let key = match duplicate {
            true => format!("k{}", rng.random_range(number.saturating_sub(500)..number)),
            false => format!("k{number}"),
        };
        let addresses = deployment.box_addresses();
        let address = &addresses[rng.random_range(0..addresses.len())];
        let shared = deployment.nodes[address].shared.clone();
        let in_outage = now < outage_until + Duration::from_secs(2);
        jobs.push(tokio::spawn(async move {
            let result = call(&shared, PLAIN, "/bookings", Some(&key), ALLOWED).await;
            Sent { key, in_outage, result }
        }));
    }
    let mut sent = Vec::new();
    for job in jobs {
        sent.push(job.await?);
    }
    let seconds = start.elapsed().as_secs_f64();
    let writes = deployment.table.counts().writes - writes_before;
    print_figures(&deployment, &sent, deaths, outages, writes as f64 / seconds);
    Ok(())
}

/// Kills a box and starts another in its hall.
fn replace_one(deployment: &mut MemoryDeployment, rng: &mut ChaCha8Rng) -> anyhow::Result<()> {
    let addresses = deployment.box_addresses();
    let address = addresses[rng.random_range(0..addresses.len())].clone();
    let hall = deployment.nodes[&address].shared.place.hall.clone();
    deployment.kill_box(&address);
    deployment.start_box(&hall)?;
    Ok(())
}

fn print_figures(
    deployment: &MemoryDeployment,
    sent: &[Sent],
    box_deaths: u32,
    outages: u32,
    table_writes_per_s: f64,
) {
    let runs: HashMap<String, u32> =
        deployment.plain.values().next().map(|server| server.runs()).unwrap_or_default();
    let keys: HashSet<&String> = sent.iter().map(|call| &call.key).collect();
    let mut maybe_run: HashSet<&String> = HashSet::new();
    let mut times = Times::default();
    for call in sent {
        let not_run = call
            .result
            .error
            .as_ref()
            .is_some_and(|error| error.outcome() == trackfront_core::outcome::Outcome::NotRun);
        if !not_run {
            maybe_run.insert(&call.key);
        }
        if call.result.error.is_none() {
            times.add(call.result.took);
        }
    }
    let wrongly = keys.iter().filter(|key| !maybe_run.contains(*key) && runs.contains_key(**key));
    let answered = |calls: &[&Sent]| {
        let done = calls.iter().filter(|call| call.result.error.is_none()).count();
        done as f64 / calls.len().max(1) as f64
    };
    let all: Vec<&Sent> = sent.iter().collect();
    let up: Vec<&Sent> = sent.iter().filter(|call| !call.in_outage).collect();
    print(&Figures {
        question: "repeat",
        calls: sent.len(),
        keys: keys.len(),
        box_deaths,
        outages,
        most_runs_of_a_key: runs.values().copied().max().unwrap_or(0),
        refused_as_not_run_but_run: wrongly.count(),
        share_answered: answered(&all),
        share_answered_while_store_is_up: answered(&up),
        took: times.quantiles(),
        table_writes_per_s,
    });
}
