//! What a round of planning costs.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use trackfront_core::demand::Demand;
use trackfront_core::ids::{BackendId, ItemKey};
use trackfront_core::ledger::EngineLedger;
use trackfront_core::order::Action;
use trackfront_core::placement::{Bundle, EngineState, PlanInput, PlanMoves, Planner, SizedItem};
use trackfront_core::units::{Mib, Moment};

use crate::cli::Plan;
use crate::figures::{Fit, Nanos, fit, print, resident_bytes};

/// The halls over which engines and models are split into shards.
const HALLS: usize = 9;

/// How many rounds are timed at each size.
const ROUNDS: usize = 40;

/// The memory of an accelerator.
const ACCELERATOR: Mib = Mib(81_920);

/// The accelerators of an engine.
const ACCELERATORS: usize = 4;

/// The adapters of a model.
const ADAPTERS: usize = 2;

#[derive(Debug, Serialize)]
struct SizeFigures {
    question: &'static str,
    engines: usize,
    models: usize,
    steady_p50_us: u64,
    steady_p99_us: u64,
    busy_p50_us: u64,
    busy_p99_us: u64,
    bytes: u64,
}

#[derive(Debug, Serialize)]
struct Slopes {
    question: &'static str,
    busy_us_by_engines: Fit,
    busy_us_by_models: Fit,
    goal_us: u64,
}

/// A shard with everything placed.
struct Shard {
    engines: BTreeMap<BackendId, EngineState>,
    bundles: Vec<Bundle>,
    demand: HashMap<ItemKey, Demand>,
}

/// Times rounds at growing sizes of a shard.
pub fn run(args: &Plan) -> anyhow::Result<()> {
    let (engines, models) = (args.engines.div_ceil(HALLS), args.models.div_ceil(HALLS));
    let (mut by_engines, mut by_models) = (Vec::new(), Vec::new());
    for part in 1..=4 {
        let size = engines * part / 4;
        by_engines.push((size as f64, measure(size.max(8), models)?));
    }
    for part in 1..=4 {
        let size = models * part / 4;
        by_models.push((size as f64, measure(engines, size.max(4))?));
    }
    print(&Slopes {
        question: "plan",
        busy_us_by_engines: fit(&by_engines),
        busy_us_by_models: fit(&by_models),
        goal_us: 50_000,
    });
    Ok(())
}

/// Times rounds at one size and returns the median of busy ones in microseconds.
fn measure(engines: usize, models: usize) -> anyhow::Result<f64> {
    let before = resident_bytes()?;
    let mut shard = place(engines, models);
    let bytes = resident_bytes()?.saturating_sub(before);
    let steady = time_rounds(&shard);
    make_hot(&mut shard);
    let busy = time_rounds(&shard);
    print(&SizeFigures {
        question: "plan",
        engines,
        models,
        steady_p50_us: steady.0 / 1_000,
        steady_p99_us: steady.1 / 1_000,
        busy_p50_us: busy.0 / 1_000,
        busy_p99_us: busy.1 / 1_000,
        bytes,
    });
    Ok(busy.0 as f64 / 1e3)
}

fn time_rounds(shard: &Shard) -> (u64, u64) {
    let mut times = Nanos::default();
    for _ in 0..ROUNDS {
        let mut planner = Planner::default();
        let input = input(shard);
        let start = Instant::now();
        let moves = planner.plan(&input);
        times.add(start.elapsed());
        std::hint::black_box(moves);
    }
    times.p50_p99()
}

fn input(shard: &Shard) -> PlanInput<'_> {
    PlanInput {
        engines: &shard.engines,
        bundles: &shard.bundles,
        demand: &shard.demand,
        move_cost: 50.0,
        max_loads: 16,
        now: Moment::default(),
    }
}

/// Makes a shard and carries out the plans for it until all is placed.
fn place(engines: usize, models: usize) -> Shard {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let engines = (0..engines)
        .map(|engine| {
            let state = EngineState {
                accelerators: ACCELERATORS,
                ledger: EngineLedger::new(vec![ACCELERATOR; ACCELERATORS], Mib(8_192)),
                usable: true,
                leaving: false,
                capacity: Some(32.0),
            };
            (format!("engine-{engine:04}").as_str().into(), state)
        })
        .collect();
    let bundles: Vec<Bundle> = (0..models).map(|model| bundle(model, &mut rng)).collect();
    let demand = bundles
        .iter()
        .map(|bundle| {
            let rate = rng.random_range(0.1..4.0);
            (bundle.model().clone(), Demand { rate, concurrency: rate })
        })
        .collect();
    let mut shard = Shard { engines, bundles, demand };
    let mut planner = Planner::default();
    loop {
        let moves = planner.plan(&PlanInput { max_loads: usize::MAX, ..input(&shard) });
        let loads: Vec<_> = moves.iter().filter(|m| m.action == Action::Load).collect();
        if loads.is_empty() {
            return shard;
        }
        for planned in loads {
            let ledger = &mut shard.engines.get_mut(&planned.engine).expect("known").ledger;
            let placed = ledger.reserve(planned.item.clone(), planned.per_accelerator);
            placed.expect("the planner keeps to the room");
            ledger.mark_ready(&planned.item);
        }
    }
}

fn bundle(model: usize, rng: &mut ChaCha8Rng) -> Bundle {
    let name = format!("model-{model}");
    let item = |adapter: Option<String>| ItemKey {
        model: name.as_str().into(),
        adapter: adapter.map(Into::into),
        version: "1".into(),
    };
    let own = SizedItem { item: item(None), total: Mib(rng.random_range(16_000..160_000)) };
    let adapters = (0..ADAPTERS).map(|adapter| SizedItem {
        item: item(Some(format!("{name}-{adapter}"))),
        total: Mib(512),
    });
    Bundle { items: std::iter::once(own).chain(adapters).collect() }
}

/// Makes every tenth model hot.
fn make_hot(shard: &mut Shard) {
    for bundle in shard.bundles.iter().step_by(10) {
        if let Some(demand) = shard.demand.get_mut(bundle.model()) {
            demand.rate *= 40.0;
            demand.concurrency *= 40.0;
        }
    }
}
