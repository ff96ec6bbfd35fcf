//! Starts, reloads and stops a serving node.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use trackfront_core::ids::{TxnId, draw_id};
use trackfront_core::ports::{CommitOutcome, Expect, RowKey, Transaction, Write};

use super::gossip::{self, Giving};
use super::log_queue::DroppedLines;
use super::node::{ServingNode, ServingPorts};
use super::placement::Placement;
use super::settings::ServingSettings;
use super::{follow, listeners};

/// How long a call to the platform's store may take beyond the time that it asks the store to wait.
pub const STORE_CALL_TIME: Duration = Duration::from_millis(900);

/// How often the settings file is looked at: it may change without a signal.
const SETTINGS_EVERY: Duration = Duration::from_millis(2_000);

/// How long a stopping node still takes connections, while the balancer learns of it: it asks
/// every second and wants two misses.
const LEAVE_TIME: Duration = Duration::from_millis(2_600);

/// How long before the end of its grace a stopping node ends, answered or not.
const LAST_MARGIN: Duration = Duration::from_millis(400);

/// How often old figures are dropped and idle connections closed.
const SWEEP_EVERY: Duration = Duration::from_millis(1_000);

/// How late the sweep has to be for the process to have stood still: frozen, or far too slow.
const STOOD_STILL: Duration = Duration::from_millis(500);

/// How long a connection to a server stays open unused.
const MAX_IDLE: Duration = Duration::from_secs(20);

/// The start of the keys of nodes' rows.
const NODE_PREFIX: &str = "node/";

/// How long after its own row was written a node lists the others: those that start with it have
/// written theirs by then. Of two nodes at least one finds the other, and tells it.
const FIRST_LIST: Duration = Duration::from_millis(500);

/// How long after a failed call the row is written or the nodes are listed again.
const LIST_AGAIN: Duration = Duration::from_millis(700);

/// How often the nodes are listed after that.
const LIST_EVERY: Duration = Duration::from_secs(60);

/// Runs a node until it is told to stop and every request in progress is answered.
pub async fn run(
    path: PathBuf,
    settings: ServingSettings,
    ports: ServingPorts,
    dropped: DroppedLines,
) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let listen = settings.listen.clone();
    let ip = settings.node.ip;
    let node = ServingNode::new(settings, ports);
    log_start(&node);
    let clients = listeners::bind(SocketAddr::V4(listen.clients))?;
    let readiness = listeners::bind(SocketAddr::V4(listen.readiness))?;
    let socket = UdpSocket::bind(SocketAddr::from((ip, listen.peers)))
        .await
        .with_context(|| format!("cannot bind UDP port {}; free it", listen.peers))?;
    let socket = Arc::new(socket);
    let (stop_clients, clients_stopped) = watch::channel(false);
    let (_stop_rest, rest_stopped) = watch::channel(false);
    let giving = Arc::new(Giving::default());
    let mut tasks = JoinSet::new();
    tasks.spawn(follow::follow_config(node.clone(), socket.clone()));
    tasks.spawn(follow::follow_servers(node.clone(), socket.clone()));
    tasks.spawn(gossip::tell(node.clone(), socket.clone(), giving.clone()));
    tasks.spawn(gossip::hear(node.clone(), socket));
    tasks.spawn(list_nodes(node.clone()));
    tasks.spawn(sweep(node.clone()));
    tasks.spawn(reload(node.clone(), path, hangup));
    tasks.spawn(listeners::serve_readiness(node.clone(), readiness, rest_stopped.clone()));
    match listeners::bind(SocketAddr::from((ip, listen.metrics))) {
        Ok(listener) => {
            tasks.spawn(listeners::serve_metrics(node.clone(), dropped, listener, rest_stopped));
        }
        // Serving matters more than its figures.
        Err(error) => log::error!(error:% = error; "metrics not served"),
    }
    let placement = tokio::spawn(Placement::new(node.clone(), giving).run());
    let serving = listeners::serve_clients(node.clone(), clients, clients_stopped);
    let mut serving = tokio::spawn(serving);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        ended = &mut serving => {
            ended.context("the listener for clients has failed")?;
        }
    }
    stop(&node, placement, serving, stop_clients).await;
    log::info!("stopped");
    Ok(())
}

fn log_start(node: &ServingNode) {
    let settings = node.settings.load();
    let (name, zone) = (&settings.node.name, &settings.node.zone);
    let version = env!("CARGO_PKG_VERSION");
    log::info!(name, zone:%, version, clients:% = settings.listen.clients; "started");
}

/// Leaves: calls itself not ready, gives the lease up, goes on taking connections until the
/// balancer has noticed, then answers what is in progress.
async fn stop(
    node: &Arc<ServingNode>,
    placement: tokio::task::JoinHandle<()>,
    serving: tokio::task::JoinHandle<()>,
    stop_clients: watch::Sender<bool>,
) {
    let grace = node.settings.load().promises.grace();
    let in_flight = node.metrics.in_flight.get();
    log::info!(in_flight, grace_ms = grace.as_millis() as u64; "stopping");
    node.set_stopping();
    node.tell_peers.notify_one();
    node.lacking.notify_one();
    let leave = LEAVE_TIME.min(grace / 3);
    sleep(leave).await;
    stop_clients.send_replace(true);
    let rest = grace.saturating_sub(leave + LAST_MARGIN);
    if timeout(rest, serving).await.is_err() {
        let in_flight = node.metrics.in_flight.get();
        log::warn!(in_flight; "grace over with requests in progress");
    }
    placement.abort();
}

/// Drops what is old, and notes when the process stood still: whatever it believed is that old.
async fn sweep(node: Arc<ServingNode>) {
    let mut before = node.now();
    loop {
        sleep(SWEEP_EVERY).await;
        let now = node.now();
        let late = now.since(before).saturating_sub(SWEEP_EVERY);
        if late >= STOOD_STILL {
            log::warn!(ms = late.as_millis() as u64; "process stood still");
        }
        before = now;
        node.pool.close_idle(MAX_IDLE);
        follow::end_lapses(&node);
        node.loads.lock().forget_old(now);
        node.overlay.lock().forget_old(now);
    }
}

/// Takes over settings that have changed, by signal or without.
async fn reload(node: Arc<ServingNode>, path: PathBuf, mut hangup: Signal) {
    loop {
        let signalled = timeout(SETTINGS_EVERY, hangup.recv()).await.is_ok();
        let settings = match ServingSettings::read(&path) {
            Ok(settings) => settings,
            Err(error) => {
                log::error!(error:% = error; "settings refused, the old ones stay in force");
                continue;
            }
        };
        let before = node.settings.load_full();
        let changed = *before != settings;
        if changed && (before.listen != settings.listen || before.store != settings.store) {
            log::warn!("addresses changed in the settings; they count from the next start");
        }
        if changed {
            node.budgets.lock().set_terms(settings.promises.budget());
            node.settings.store(Arc::new(settings));
        }
        if changed || signalled {
            log::info!(signalled, changed; "settings reloaded");
        }
    }
}

/// Writes this node's row and learns of the others, again and again but seldom.
async fn list_nodes(node: Arc<ServingNode>) {
    while !write_row(&node).await {
        sleep(LIST_AGAIN).await;
    }
    sleep(FIRST_LIST).await;
    loop {
        let pause = match node.ports.table.scan(NODE_PREFIX).await {
            Ok(rows) => {
                let now = node.now();
                let me = node.settings.load().node.ip;
                let mut peers = node.peers.lock();
                let ips = rows.iter().filter_map(|row| {
                    row.key.0.strip_prefix(NODE_PREFIX)?.parse::<Ipv4Addr>().ok()
                });
                let others: Vec<_> = ips.filter(|ip| *ip != me).collect();
                for ip in &others {
                    peers.list(*ip, now);
                }
                drop(peers);
                log::info!(nodes = others.len(); "nodes listed");
                node.set_knows_nodes();
                node.tell_peers.notify_one();
                LIST_EVERY
            }
            Err(error) => {
                log::info!(error:% = error; "nodes not listed");
                LIST_AGAIN
            }
        };
        sleep(pause).await;
    }
}

async fn write_row(node: &ServingNode) -> bool {
    let settings = node.settings.load();
    let key = RowKey(format!("{NODE_PREFIX}{}", settings.node.ip));
    // If the row is there already, an earlier process of this machine wrote it.
    let expect = Expect::Absent;
    let id = TxnId::from(draw_id("node", &mut rand::rng()));
    let value = Some(Bytes::from(settings.node.name.clone()));
    let transaction = Transaction { id, writes: vec![Write { key, expect, value }] };
    matches!(
        node.ports.table.commit(&transaction).await,
        CommitOutcome::Applied | CommitOutcome::Conflict { .. }
    )
}
