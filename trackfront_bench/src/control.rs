//! What a box spends on control while nobody calls: processor time, bytes to peers, table use.
//!
//! The boxes run in memory on a paused clock, so the processor time is that of the decisions and
//! the encoding, without the sockets.

use std::time::Duration;

use serde::Serialize;
use trackfront_standin::memory::{MemoryDeployment, MemorySpec};
use trackfront_standin::small::Spec;

use crate::cli::Control;
use crate::figures::{Fit, fit, print, processor_time, resident_bytes};
use crate::paused;

/// How long each size is watched.
const WATCH: Duration = Duration::from_secs(300);

/// The figures of one size, for each box.
#[derive(Clone, Copy, Debug, Serialize)]
struct Cost {
    question: &'static str,
    boxes: usize,
    engines: usize,
    core_percent: f64,
    bytes_per_s: f64,
    memory_kib: f64,
    table_writes_per_s_in_all: f64,
    table_reads_per_s: f64,
}

#[derive(Debug, Serialize)]
struct Slopes {
    question: &'static str,
    core_percent_by_boxes: Fit,
    bytes_per_s_by_boxes: Fit,
    core_percent_by_engines: Fit,
    bytes_per_s_by_engines: Fit,
}

/// Measures growing numbers of boxes and of engines, and prints the slopes.
pub fn run(args: &Control) -> anyhow::Result<()> {
    let (mut by_boxes, mut by_engines) = (Vec::new(), Vec::new());
    for boxes in [3, 6, 9, 18, args.boxes] {
        by_boxes.push(measure(boxes, 6)?);
    }
    for engines in [6, 12, 24, args.engines] {
        by_engines.push(measure(9, engines)?);
    }
    let points = |costs: &[Cost], x: fn(&Cost) -> usize, y: fn(&Cost) -> f64| {
        let points: Vec<(f64, f64)> = costs.iter().map(|cost| (x(cost) as f64, y(cost))).collect();
        fit(&points)
    };
    print(&Slopes {
        question: "control",
        core_percent_by_boxes: points(&by_boxes, |c| c.boxes, |c| c.core_percent),
        bytes_per_s_by_boxes: points(&by_boxes, |c| c.boxes, |c| c.bytes_per_s),
        core_percent_by_engines: points(&by_engines, |c| c.engines, |c| c.core_percent),
        bytes_per_s_by_engines: points(&by_engines, |c| c.engines, |c| c.bytes_per_s),
    });
    Ok(())
}

fn measure(boxes: usize, engines: usize) -> anyhow::Result<Cost> {
    let memory_before = resident_bytes()?;
    let cost = paused::run(watch(boxes, engines, memory_before))?;
    print(&cost);
    Ok(cost)
}

async fn watch(boxes: usize, engines: usize, memory_before: u64) -> anyhow::Result<Cost> {
    let spec = Spec {
        halls: ["a", "b", "c"].iter().map(ToString::to_string).collect(),
        engines,
        models: (0..engines * 2).map(|model| (format!("m{model}"), vec![])).collect(),
        weights_mib: 12_000,
        ..Spec::default()
    };
    let deployment =
        MemoryDeployment::start_ready(MemorySpec::new(spec.memory_files(), boxes / 3)).await?;
    let (cpu, bytes, counts) =
        (processor_time()?, deployment.net.sent_bytes(), deployment.table.counts());
    tokio::time::sleep(WATCH).await;
    let seconds = WATCH.as_secs_f64();
    let each = seconds * boxes as f64;
    let after = deployment.table.counts();
    Ok(Cost {
        question: "control",
        boxes,
        engines,
        core_percent: (processor_time()? - cpu).as_secs_f64() / each * 100.0,
        bytes_per_s: (deployment.net.sent_bytes() - bytes) as f64 / each,
        memory_kib: resident_bytes()?.saturating_sub(memory_before) as f64 / 1024.0 / boxes as f64,
        table_writes_per_s_in_all: (after.writes - counts.writes) as f64 / seconds,
        table_reads_per_s: (after.reads - counts.reads) as f64 / each,
    })
}
