//! Attainment under demand that shifts tenfold, beside baselines in the same run.
//!
//! The real boxes run over stand-ins in memory on a paused clock. The demand is drawn once for
//! a seed and is the same for every chooser. A request attains if its answer is whole within
//! the time that its policy promises: the first token, and the time between tokens for each
//! further one.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;

use serde::Serialize;
use tokio::time::Instant;
use trackfront_core::tree::{TreeFiles, build};
use trackfront_standin::memory::{MemoryDeployment, MemorySpec, TextResult, text};
use trackfrontd::outside::{MakeChooser, make_router};

use crate::baselines;
use crate::cli::Burst;
use crate::demand::{Arrival, Day, DemandPlan};
use crate::figures::print;
use crate::paused;

/// One way to choose engines.
struct Chooser {
    name: &'static str,
    make: MakeChooser,
    is_baseline: bool,
}

/// Returns all choosers, ours first.
fn choosers() -> [Chooser; 5] {
    [
        Chooser { name: "ours", make: make_router, is_baseline: false },
        Chooser {
            name: "ours without admission",
            make: baselines::no_admission,
            is_baseline: false,
        },
        Chooser { name: "ours without prefix", make: baselines::no_prefix, is_baseline: false },
        Chooser { name: "round robin", make: baselines::round_robin, is_baseline: true },
        Chooser { name: "least in flight", make: baselines::least_in_flight, is_baseline: true },
    ]
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests by service and priority: sent, and attained.
    pub classes: BTreeMap<String, (u64, u64)>,
    /// Requests that were refused at once.
    pub refused: u64,
    /// Requests that broke off or came late.
    pub late: u64,
    /// The sum of the time to the first token, in seconds, and how many there were.
    pub first: (f64, u64),
}

impl Tally {
    /// Adds a request.
    pub fn add(&mut self, arrival: &Arrival, result: &TextResult) {
        let class = self.classes.entry(arrival.class.clone()).or_default();
        class.0 += 1;
        let whole = result.error.is_none() && result.tokens == arrival.tokens;
        if whole && result.whole <= arrival.promise {
            class.1 += 1;
        } else if result.error.as_ref().is_some_and(|error| error.retry_after().is_some()) {
            self.refused += 1;
        } else {
            self.late += 1;
        }
        if let Some(first) = result.first {
            self.first = (self.first.0 + first.as_secs_f64(), self.first.1 + 1);
        }
    }

    /// Returns the share of requests that attained.
    pub fn attainment(&self) -> f64 {
        let (sent, attained) =
            self.classes.values().fold((0, 0), |sum, class| (sum.0 + class.0, sum.1 + class.1));
        attained as f64 / (sent as f64).max(1.0)
    }
}

#[derive(Debug, Serialize)]
struct Figures {
    question: &'static str,
    tree: String,
    load: f64,
    chooser: &'static str,
    requests: u64,
    attainment: f64,
    attainment_per_accelerator: f64,
    refused: u64,
    late: u64,
    mean_first_token_ms: f64,
    by_class: BTreeMap<String, f64>,
}

#[derive(Debug, Serialize)]
struct Verdict {
    question: &'static str,
    tree: String,
    load: f64,
    ours: f64,
    best_baseline: f64,
    ratio: f64,
    no_class_worse: bool,
}

/// Runs every chooser at growing loads.
pub fn run(args: &Burst) -> anyhow::Result<()> {
    let files = TreeFiles::read(Path::new(&args.tree))?;
    let tree = build(&files)?;
    let accelerators: usize = tree.backends().map(|(_, backend)| backend.accelerators.len()).sum();
    for load in args.loads() {
        let day = Day { seconds: args.seconds, load, shifts: true, seed: args.seed };
        let plan = Arc::new(DemandPlan::draw(&tree, &day));
        let mut results: Vec<(Chooser, Tally)> = Vec::new();
        for chooser in choosers() {
            let spec =
                MemorySpec { make_chooser: chooser.make, ..MemorySpec::new(files.clone(), 1) };
            let tally = paused::run(drive(spec, plan.clone()))?;
            print_figures(args, load, accelerators, &chooser, &tally);
            results.push((chooser, tally));
        }
        print_verdict(args, load, &results);
    }
    Ok(())
}

/// Sends a demand to the boxes in turn and waits for all answers.
pub async fn drive(spec: MemorySpec, plan: Arc<DemandPlan>) -> anyhow::Result<Tally> {
    let deployment = MemoryDeployment::start_ready(spec).await?;
    Ok(send(&deployment, &plan).await)
}

/// Sends a demand to the boxes of a deployment in turn and waits for all answers.
pub async fn send(deployment: &MemoryDeployment, plan: &Arc<DemandPlan>) -> Tally {
    let boxes: Vec<_> = deployment
        .box_addresses()
        .iter()
        .map(|address| deployment.nodes[address].shared.clone())
        .collect();
    let start = Instant::now();
    let mut jobs = Vec::new();
    for (index, arrival) in plan.arrivals.iter().enumerate() {
        tokio::time::sleep_until(start + arrival.at).await;
        let shared = boxes[index % boxes.len()].clone();
        let plan = plan.clone();
        jobs.push(tokio::spawn(async move {
            let arrival = &plan.arrivals[index];
            text(&shared, &arrival.caller, arrival.body.clone(), Some(arrival.promise)).await
        }));
    }
    let mut tally = Tally::default();
    for (arrival, job) in plan.arrivals.iter().zip(jobs) {
        if let Ok(result) = job.await {
            tally.add(arrival, &result);
        }
    }
    tally
}

fn shares(tally: &Tally) -> BTreeMap<String, f64> {
    tally
        .classes
        .iter()
        .map(|(class, (sent, attained))| (class.clone(), *attained as f64 / *sent as f64))
        .collect()
}

fn print_figures(args: &Burst, load: f64, accelerators: usize, chooser: &Chooser, tally: &Tally) {
    let attainment = tally.attainment();
    print(&Figures {
        question: "burst",
        tree: args.tree.clone(),
        load,
        chooser: chooser.name,
        requests: tally.classes.values().map(|class| class.0).sum(),
        attainment,
        attainment_per_accelerator: attainment / accelerators as f64,
        refused: tally.refused,
        late: tally.late,
        mean_first_token_ms: tally.first.0 / tally.first.1.max(1) as f64 * 1e3,
        by_class: shares(tally),
    });
}

fn print_verdict(args: &Burst, load: f64, results: &[(Chooser, Tally)]) {
    let (_, ours) = &results[0];
    let best = results
        .iter()
        .filter(|(chooser, _)| chooser.is_baseline)
        .max_by(|a, b| a.1.attainment().total_cmp(&b.1.attainment()));
    let Some((_, best)) = best else {
        return;
    };
    let (own, other) = (shares(ours), shares(best));
    print(&Verdict {
        question: "burst",
        tree: args.tree.clone(),
        load,
        ours: ours.attainment(),
        best_baseline: best.attainment(),
        ratio: ours.attainment() / best.attainment().max(1e-9),
        no_class_worse: own.iter().all(|(class, share)| *share >= other[class] - 0.005),
    });
}
