//! What a routing decision costs, and what an engine costs in memory.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use trackfront_core::engine_load::{RequestProfile, RequestResult};
use trackfront_core::fleet::{EngineDigest, Fleet};
use trackfront_core::ids::{BackendId, HallName, ItemKey};
use trackfront_core::prefix::block_hashes;
use trackfront_core::routing::{ChooseEngine, RouteQuery, Router, RouterOptions};
use trackfront_core::units::Moment;

use crate::cli::Route;
use crate::figures::{Nanos, print, resident_bytes, slope};

/// How many decisions are timed at each size.
const DECISIONS: usize = 200_000;

/// How many engines have each model.
const REPLICAS: usize = 3;

/// The length of a prompt, in bytes.
const PROMPT_BYTES: usize = 2_048;

/// The figures at one size.
#[derive(Debug, Serialize)]
struct SizeFigures {
    question: &'static str,
    engines: usize,
    models: usize,
    decision_p50_ns: u64,
    decision_p99_ns: u64,
    bytes_per_engine: u64,
}

/// How the cost grows.
#[derive(Debug, Serialize)]
struct Slopes {
    question: &'static str,
    p99_ns_per_1000_engines: f64,
    p99_ns_per_1000_models: f64,
    nodes: usize,
    goal_p99_ns: u64,
}

/// Times decisions at growing numbers of engines and of models.
pub fn run(args: &Route) -> anyhow::Result<()> {
    let (mut by_engines, mut by_models) = (Vec::new(), Vec::new());
    for part in 1..=4 {
        let engines = args.engines * part / 4;
        by_engines.push((engines as f64 / 1_000.0, measure(engines, args.models)? as f64));
    }
    for part in 1..=4 {
        let models = args.models * part / 4;
        by_models.push((models as f64 / 1_000.0, measure(args.engines, models)? as f64));
    }
    print(&Slopes {
        question: "route",
        p99_ns_per_1000_engines: slope(&by_engines),
        p99_ns_per_1000_models: slope(&by_models),
        nodes: args.nodes,
        goal_p99_ns: 20_000,
    });
    Ok(())
}

/// Times decisions at one size, prints the figures, and returns the 99th percentile.
fn measure(engines: usize, models: usize) -> anyhow::Result<u64> {
    let before = resident_bytes()?;
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let fleet = Arc::new(Fleet::default());
    let items = fill(&fleet, engines, models, &mut rng);
    let used = resident_bytes()?.saturating_sub(before);
    let router = Router::new(fleet, "hall-0".into(), RouterOptions::default());
    let prompts: Vec<Vec<u64>> = (0..256u32)
        .map(|seed| {
            let prompt: Vec<u8> =
                (0..PROMPT_BYTES).map(|byte| (byte as u32 * seed) as u8).collect();
            block_hashes(&prompt)
        })
        .collect();
    let mut times = Nanos::default();
    for decision in 0..DECISIONS {
        let item = &items[rng.random_range(0..items.len())];
        let blocks = &prompts[decision % prompts.len()];
        let query = query(item, blocks, decision);
        let start = Instant::now();
        let pick = router.choose(&query);
        if let Ok(pick) = &pick {
            router.record_send(&query, pick);
            pick.entry.begin(&pick.sent, query.now);
        }
        times.add(start.elapsed());
        if let Ok(pick) = &pick {
            pick.entry.end(&pick.sent, &ended(), query.now);
        }
    }
    let (p50, p99) = times.p50_p99();
    print(&SizeFigures {
        question: "route",
        engines,
        models,
        decision_p50_ns: p50,
        decision_p99_ns: p99,
        bytes_per_engine: used / engines as u64,
    });
    Ok(p99)
}

/// Fills a fleet with engines that have reported and been measured.
fn fill(fleet: &Fleet, engines: usize, models: usize, rng: &mut ChaCha8Rng) -> Vec<ItemKey> {
    let items: Vec<ItemKey> = (0..models)
        .map(|model| ItemKey {
            model: format!("model-{model}").as_str().into(),
            adapter: None,
            version: "1".into(),
        })
        .collect();
    let mut ready: Vec<Vec<ItemKey>> = vec![Vec::new(); engines];
    for item in &items {
        for _ in 0..REPLICAS {
            ready[rng.random_range(0..engines)].push(item.clone());
        }
    }
    let ids: Vec<(BackendId, HallName)> = (0..engines)
        .map(|engine| {
            let hall = format!("hall-{}", engine % 9);
            (format!("engine-{engine}").as_str().into(), hall.as_str().into())
        })
        .collect();
    fleet.set_engines(&ids);
    for ((id, _), mut ready) in ids.into_iter().zip(ready) {
        ready.sort();
        ready.dedup();
        let digest = EngineDigest {
            engine: id.clone(),
            incarnation: 1,
            sequence: 1,
            age_ms: 0,
            ready: Some(ready),
            running: rng.random_range(0..16),
            queued: 0,
        };
        fleet.apply_digest(&digest, Moment::default());
        let entry = fleet.engine(&id).expect("it was just added");
        let sent = RequestProfile { prompt_tokens: 512.0, output_tokens: 64.0, priority: 5 };
        entry.begin(&sent, Moment::default());
        entry.end(&sent, &ended(), Moment::default());
    }
    items
}

fn query<'a>(item: &'a ItemKey, blocks: &'a [u64], decision: usize) -> RouteQuery<'a> {
    RouteQuery {
        item,
        prompt_tokens: (PROMPT_BYTES / 4) as f64,
        output_tokens: 64.0,
        blocks,
        priority: 5,
        time_left: Duration::from_secs(30),
        tried: &[],
        now: Moment(Duration::from_micros(decision as u64)),
    }
}

fn ended() -> RequestResult {
    RequestResult {
        retry_after: None,
        failed: false,
        first: Some(Duration::from_millis(80)),
        gap: Some(Duration::from_millis(20)),
        whole: Some(Duration::from_millis(1_300)),
    }
}
