//! How long an accepted tree takes to be in force on every box.

use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;
use trackfront_core::ids::Revision;
use trackfront_core::tree::TreeFiles;
use trackfront_standin::memory::{MemoryDeployment, MemorySpec};
use trackfront_standin::small::Spec;

use crate::cli::Spread;
use crate::figures::{Quantiles, Times, print};
use crate::paused;

/// How often the boxes are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// How long a change may take before the run gives up.
const PATIENCE: Duration = Duration::from_secs(60);

/// What fails while a tree spreads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Fault {
    None,
    StoreLostAfterCommit,
    HallCutOff,
}

#[derive(Debug, Serialize)]
struct Figures {
    question: &'static str,
    boxes: usize,
    fault: Fault,
    changes: usize,
    in_force: Quantiles,
    goal_p99_us: u64,
    limit_us: u64,
}

/// Spreads changes without faults, with the store lost right after each commit, and with a hall
/// cut off; there the boxes that can be reached count.
pub fn run(args: &Spread) -> anyhow::Result<()> {
    for fault in [Fault::None, Fault::StoreLostAfterCommit, Fault::HallCutOff] {
        let times = paused::run(drive(args, fault))?;
        print(&Figures {
            question: "spread",
            boxes: args.boxes,
            fault,
            changes: args.changes,
            in_force: times.quantiles(),
            goal_p99_us: 1_500_000,
            limit_us: 4_000_000,
        });
    }
    Ok(())
}

async fn drive(args: &Spread, fault: Fault) -> anyhow::Result<Times> {
    let halls: Vec<String> = ["a", "b", "c"].iter().map(ToString::to_string).collect();
    let spec = Spec { halls: halls.clone(), ..Spec::default() };
    let per_hall = args.boxes.div_ceil(halls.len());
    let deployment =
        MemoryDeployment::start_ready(MemorySpec::new(spec.memory_files(), per_hall)).await?;
    let mut files = deployment.files.clone();
    let mut times = Times::default();
    for change in 1..=args.changes {
        change_deadline(&mut files, change);
        if fault == Fault::HallCutOff {
            deployment.net.cut(&halls[2].as_str().into());
        }
        let base = Revision(change as u64);
        let revision = deployment.apply(&format!("change-{change}"), base, files.clone()).await?;
        let start = Instant::now();
        if fault == Fault::StoreLostAfterCommit {
            set_store(&deployment, true);
        }
        let cut = (fault == Fault::HallCutOff).then(|| halls[2].clone());
        wait_in_force(&deployment, revision, cut.as_deref()).await?;
        times.add(start.elapsed());
        set_store(&deployment, false);
        deployment.net.heal();
        wait_in_force(&deployment, revision, None).await?;
        tokio::time::sleep(Duration::from_millis(3_137)).await;
    }
    Ok(times)
}

fn set_store(deployment: &MemoryDeployment, down: bool) {
    deployment.table.faults.change(|faults| faults.down = down);
    deployment.objects.faults.change(|faults| faults.down = down);
}

/// Changes one value of the tree.
fn change_deadline(files: &mut TreeFiles, change: usize) {
    if let Some(root) = files.0.get_mut("root.toml") {
        let rest: Vec<&str> =
            root.lines().filter(|line| !line.starts_with("deadline_ms")).collect();
        let value = format!("[policy]\ndeadline_ms = {}", 20_000 + change);
        *root = rest.join("\n").replace("[policy]", &value) + "\n";
    }
}

async fn wait_in_force(
    deployment: &MemoryDeployment,
    revision: Revision,
    without: Option<&str>,
) -> anyhow::Result<()> {
    let start = Instant::now();
    loop {
        let behind = deployment
            .nodes
            .values()
            .filter(|node| without.is_none_or(|hall| node.shared.place.hall.as_str() != hall))
            .any(|node| node.shared.in_force.revision() < revision);
        if !behind {
            return Ok(());
        }
        anyhow::ensure!(start.elapsed() < PATIENCE, "revision {revision} does not spread");
        tokio::time::sleep(LOOK_EVERY).await;
    }
}
