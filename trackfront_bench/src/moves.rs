//! Moves and attainment over a stretch of demand with shifts, a lost engine and new versions,
//! beside other planners in the same run.

use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use trackfront_core::demand::Demand;
use trackfront_core::ids::{BackendId, ItemKey, Revision};
use trackfront_core::ledger::Holding;
use trackfront_core::order::Action;
use trackfront_core::placement::{Bundle, Move, PlanInput, PlanMoves, Planner};
use trackfront_core::tree::{TreeFiles, build};
use trackfront_standin::engine::EngineFaults;
use trackfront_standin::memory::{MemoryDeployment, MemorySpec};
use trackfrontd::outside::{MakePlanner, make_planner};

use crate::burst::{Tally, send};
use crate::cli::Moves;
use crate::demand::{Day, DemandPlan};
use crate::figures::print;
use crate::paused;

/// How long an engine is lost.
const LOST_FOR: Duration = Duration::from_secs(60);

/// How often reachability is looked at.
const LOOK_EVERY: Duration = Duration::from_secs(1);

#[derive(Debug, Serialize)]
struct Figures {
    question: &'static str,
    tree: String,
    planner: &'static str,
    shifts: bool,
    requests: u64,
    attainment: f64,
    moves: u64,
    unreachable_item_seconds: u64,
    overcommits: u64,
}

/// What came of a run.
struct Outcome {
    tally: Tally,
    moves: u64,
    unreachable: u64,
    overcommits: u64,
}

/// Runs every planner over the same demand, and ours over a steady one.
pub fn run(args: &Moves) -> anyhow::Result<()> {
    let files = TreeFiles::read(Path::new(&args.tree))?;
    let planners: [(&'static str, MakePlanner); 3] = [
        ("ours", make_planner()),
        ("static packing", Arc::new(|| Box::new(StaticPacking::default()))),
        ("load on demand", Arc::new(|| Box::new(OnDemand))),
    ];
    for (name, make) in &planners {
        one(args, &files, name, make.clone(), true)?;
    }
    one(args, &files, "ours", make_planner(), false)
}

fn one(
    args: &Moves,
    files: &TreeFiles,
    planner: &'static str,
    make_planner: MakePlanner,
    shifts: bool,
) -> anyhow::Result<()> {
    let tree = build(files)?;
    let day = Day { seconds: args.seconds, load: args.load, shifts, seed: args.seed };
    let plan = Arc::new(DemandPlan::draw(&tree, &day));
    let spec = MemorySpec { make_planner, ..MemorySpec::new(files.clone(), 1) };
    let outcome = paused::run(drive(spec, plan, shifts))?;
    print(&Figures {
        question: "moves",
        tree: args.tree.clone(),
        planner,
        shifts,
        requests: outcome.tally.classes.values().map(|class| class.0).sum(),
        attainment: outcome.tally.attainment(),
        moves: outcome.moves,
        unreachable_item_seconds: outcome.unreachable,
        overcommits: outcome.overcommits,
    });
    Ok(())
}

async fn drive(
    spec: MemorySpec,
    plan: Arc<DemandPlan>,
    with_faults: bool,
) -> anyhow::Result<Outcome> {
    let mut deployment = MemoryDeployment::start(spec)?;
    deployment.apply("first", Revision(0), deployment.files.clone()).await?;
    // Everything has the time to be placed; what is loaded on demand comes with the demand.
    tokio::time::sleep(Duration::from_secs(20)).await;
    let before = moves(&deployment);
    let length = plan.arrivals.last().map_or(Duration::ZERO, |last| last.at);
    let unreachable = {
        let sending = send(&deployment, &plan);
        let watching = watch(&deployment, length, with_faults);
        let (tally, unreachable) = tokio::join!(sending, watching);
        (tally, unreachable?)
    };
    let moves = moves(&deployment) - before;
    let overcommits = deployment.overcommits();
    deployment.nodes.clear();
    Ok(Outcome { tally: unreachable.0, moves, unreachable: unreachable.1, overcommits })
}

/// Counts the seconds for which items are unreachable, and brings the faults about: an engine is
/// lost after a third of the time, and two models get new versions after two thirds.
async fn watch(
    deployment: &MemoryDeployment,
    length: Duration,
    with_faults: bool,
) -> anyhow::Result<u64> {
    let start = tokio::time::Instant::now();
    let mut unreachable = 0;
    let (mut lost, mut changed) = (false, false);
    while start.elapsed() < length {
        tokio::time::sleep(LOOK_EVERY).await;
        unreachable += deployment.unreachable_items() as u64;
        if !with_faults {
            continue;
        }
        if !lost && start.elapsed() >= length / 3 {
            lost = true;
            set_first_engine(deployment, true);
        }
        if lost && start.elapsed() >= length / 3 + LOST_FOR {
            set_first_engine(deployment, false);
        }
        if !changed && start.elapsed() >= length * 2 / 3 {
            changed = true;
            deployment.apply("versions", Revision(1), new_versions(&deployment.files)).await?;
        }
    }
    Ok(unreachable)
}

fn set_first_engine(deployment: &MemoryDeployment, down: bool) {
    let first: Option<&BackendId> = deployment.engines.keys().min();
    if let Some(engine) = first.and_then(|id| deployment.engines.get(id)) {
        engine.set_faults(EngineFaults { down, ..EngineFaults::default() });
    }
}

/// Gives the first two models another version.
fn new_versions(files: &TreeFiles) -> TreeFiles {
    let mut files = files.clone();
    let models = files.0.iter_mut().filter(|(path, _)| path.ends_with("/model.toml"));
    for (_, text) in models.take(2) {
        *text = text.replace("version = \"1\"", "version = \"2\"");
    }
    files
}

fn moves(deployment: &MemoryDeployment) -> u64 {
    deployment.engines.values().map(|engine| engine.counts().moves).sum()
}

/// Places everything once and repairs what is lost, whatever is asked for.
#[derive(Default)]
struct StaticPacking(Planner);

impl PlanMoves for StaticPacking {
    fn plan(&mut self, input: &PlanInput<'_>) -> Vec<Move> {
        let demand = HashMap::new();
        self.0.plan(&PlanInput { demand: &demand, ..*input })
    }
}

/// Loads what is asked for and not there; what is asked for least lately makes room.
struct OnDemand;

/// The rate from which an item counts as asked for, in requests a second.
const ASKED: f64 = 0.05;

impl PlanMoves for OnDemand {
    fn plan(&mut self, input: &PlanInput<'_>) -> Vec<Move> {
        let rate = |bundle: &Bundle| -> f64 {
            let all = bundle.items.iter().filter_map(|sized| input.demand.get(&sized.item));
            all.map(|demand: &Demand| demand.rate).sum()
        };
        let mut wanted: Vec<&Bundle> =
            input.bundles.iter().filter(|b| rate(b) > ASKED && !held(input, b)).collect();
        wanted.sort_by(|a, b| rate(b).total_cmp(&rate(a)));
        let Some(bundle) = wanted.first() else {
            return Vec::new();
        };
        load_where_it_fits(input, bundle).unwrap_or_else(|| evict_least(input, &rate))
    }
}

fn held(input: &PlanInput<'_>, bundle: &Bundle) -> bool {
    input.engines.values().any(|engine| {
        engine.usable && bundle.items.iter().all(|s| engine.ledger.holding(&s.item).is_some())
    })
}

fn load_where_it_fits(input: &PlanInput<'_>, bundle: &Bundle) -> Option<Vec<Move>> {
    let (id, engine) = input.engines.iter().find(|(_, engine)| {
        engine.usable && bundle.per_accelerator(engine.accelerators) <= engine.ledger.free()
    })?;
    let loads = bundle.items.iter().filter(|s| engine.ledger.holding(&s.item).is_none());
    let loads = loads.map(|sized| Move {
        engine: id.clone(),
        action: Action::Load,
        item: sized.item.clone(),
        per_accelerator: sized.total.split(engine.accelerators),
        cause: "asked for".into(),
    });
    Some(loads.collect())
}

/// Unloads the bundle that is asked for least of all that answer.
fn evict_least(input: &PlanInput<'_>, rate: &dyn Fn(&Bundle) -> f64) -> Vec<Move> {
    let going = |engine: &trackfront_core::placement::EngineState| {
        engine.ledger.items().any(|(_, holding)| holding == Holding::Unloading)
    };
    if input.engines.values().any(going) {
        return Vec::new();
    }
    let places = input.bundles.iter().flat_map(|bundle| {
        let ready = input.engines.iter().filter(|(_, engine)| {
            engine.usable && engine.ledger.holding(bundle.model()) == Some(Holding::Ready)
        });
        ready.map(move |(id, engine)| (bundle, id, engine))
    });
    let Some((bundle, id, engine)) = places.min_by(|a, b| rate(a.0).total_cmp(&rate(b.0))) else {
        return Vec::new();
    };
    let items = bundle.items.iter().rev().map(|sized| &sized.item);
    let there = items.filter(|item: &&ItemKey| engine.ledger.holding(item).is_some());
    there
        .map(|item| Move {
            engine: id.clone(),
            action: Action::Unload,
            item: item.clone(),
            per_accelerator: engine.ledger.size_of(item).unwrap_or_default(),
            cause: "asked for least".into(),
        })
        .collect()
}
