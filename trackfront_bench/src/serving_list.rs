//! What it costs a box to take in a message with changes of servers, which each box gets for each change.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::Serialize;
use trackfront_core::serving::directory::{Directory, ServerChange, ServerEntry, ServerState};
use trackfront_core::units::Moment;

use crate::figures::{Quantiles, Times, print};

/// Servers: the sizes of today's deployments, the size that decides, ten servers a box at 300 and 1,000 boxes, and twice
/// that.
const SIZES: [usize; 6] = [60, 240, 1_300, 3_000, 10_000, 20_000];

/// How many messages are timed at each size.
const ROUNDS: usize = 500;

/// How often a server writes its row.
const HEARTBEAT: Duration = Duration::from_secs(2);

#[derive(Debug, Serialize)]
struct Figures {
    question: &'static str,
    servers: usize,
    /// What the message says of one server: that it `changed`, or that one `went` and another came.
    change: &'static str,
    times: Quantiles,
}

/// Times messages with one change at growing sizes.
pub fn run() -> anyhow::Result<()> {
    for servers in SIZES {
        print(&measure(servers, "changed"));
        print(&measure(servers, "went"));
    }
    Ok(())
}

fn measure(servers: usize, kind: &'static str) -> Figures {
    let mut directory = Directory::new(HEARTBEAT);
    let all = (0..servers).map(|number| change(number, number as u64 + 1)).collect();
    directory.apply(all, (servers as u64).into(), Moment::default());
    let mut times = Times::default();
    for round in 0..ROUNDS {
        let version = (servers + round) as u64 + 1;
        let number = round * 7 % servers;
        let changes = match kind {
            "changed" => vec![change(number, version)],
            _ => vec![gone(number, version), change(servers + round, version)],
        };
        let start = Instant::now();
        directory.apply(changes, version.into(), Moment::default());
        times.add(start.elapsed());
    }
    Figures { question: "serving-list", servers, change: kind, times: times.quantiles() }
}

fn gone(number: usize, version: u64) -> ServerChange {
    ServerChange::Removed {
        version: version.into(),
        key: format!("server-{number:05}").as_str().into(),
    }
}

fn change(number: usize, version: u64) -> ServerChange {
    let entry = ServerEntry {
        id: format!("server-{number:05}").into(),
        key: format!("server-{number:05}").as_str().into(),
        started: Some(1),
        service: "text".into(),
        address: format!("10.{}.{}.1:8000", number / 250, number % 250),
        hall: "hall".into(),
        slots: 16,
        state: ServerState::Ready,
        cold_remaining: Duration::ZERO,
        models: BTreeMap::new(),
        sequence: version,
        in_memory: BTreeSet::new(),
        on_disk: BTreeSet::new(),
        software: "v1".into(),
    };
    ServerChange::Set { version: version.into(), entry }
}
