//! Entry boxes of a small deployment, in this process.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use tokio::time::Instant;
use trackfront_adapters::key::DeploymentKey;
use trackfront_core::ids::{HallName, RegionName};
use trackfront_core::ports::{ListedBox, ListedRole, ListedState};
use trackfront_core::tree::Tree;
use trackfrontd::daemon::Daemon;
use trackfrontd::settings::{Listen, LogSettings, Place, PlatformSettings, Settings};

use crate::deployment::Platform;

/// The key of a small deployment. It guards nothing outside this process.
const KEY: &str = "small-deployment-key";

/// The workers of each box; all boxes share one runtime, so the figure has no effect.
const WORKERS: usize = 1;

/// Returns the key of a small deployment.
pub fn key() -> DeploymentKey {
    DeploymentKey::new(KEY).expect("the key is long enough")
}

/// Returns the settings of a box on free ports.
pub fn settings(
    platform: &Platform,
    region: &RegionName,
    hall: &HallName,
) -> anyhow::Result<Settings> {
    let any: SocketAddr = "127.0.0.1:0".parse().context("the address is valid")?;
    Ok(Settings {
        place: Place { name: hall.to_string(), region: region.clone(), hall: hall.clone() },
        listen: Listen { callers: any, operators: any, peers: any },
        platform: PlatformSettings {
            table: platform.table_address.parse()?,
            objects: platform.objects_address.parse()?,
            boxes: platform.boxes_address.parse()?,
        },
        key: key(),
        log: LogSettings::default(),
        workers: WORKERS,
    })
}

/// Starts a box in each of the first region's halls, `count` in all, and lists them.
pub async fn start(platform: &Platform, tree: &Tree, count: usize) -> anyhow::Result<Vec<Daemon>> {
    let (region_name, region) = tree.regions.iter().next().context("the tree has no region")?;
    let mut boxes = Vec::new();
    for hall in region.halls.iter().cycle().take(count) {
        boxes.push(Daemon::start(settings(platform, region_name, hall)?).await?);
    }
    platform.boxes.set(listed(&boxes, tree));
    Ok(boxes)
}

/// Returns the platform's list with these boxes and all backend servers live.
pub fn listed(boxes: &[Daemon], tree: &Tree) -> Vec<ListedBox> {
    let entries = boxes.iter().map(|daemon| ListedBox {
        address: daemon.listen.peers.to_string(),
        role: ListedRole::Entry,
        hall: daemon.shared.place.hall.clone(),
        state: ListedState::Live,
    });
    let backends = tree.backends().map(|(_, backend)| ListedBox {
        address: backend.address.clone(),
        role: ListedRole::Backend,
        hall: backend.hall.clone(),
        state: ListedState::Live,
    });
    entries.chain(backends).collect()
}

/// Waits until every model and adapter answers on every box, or fails after `time`.
pub async fn wait_reachable(boxes: &[Daemon], time: Duration) -> anyhow::Result<Duration> {
    let start = Instant::now();
    loop {
        let missing: usize = boxes.iter().map(missing_items).sum();
        if missing == 0 {
            return Ok(start.elapsed());
        }
        anyhow::ensure!(
            start.elapsed() < time,
            "{missing} models and adapters do not answer after {} ms",
            time.as_millis()
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns how many models and adapters do not answer, as one box sees it.
fn missing_items(daemon: &Daemon) -> usize {
    match daemon.shared.in_force.current() {
        None => usize::MAX / 1_000,
        Some(current) => current
            .targets
            .values()
            .filter(|target| daemon.shared.fleet.ready_count(&target.item) == 0)
            .count(),
    }
}
