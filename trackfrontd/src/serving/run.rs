//! Starts, reloads and stops a serving node.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use trackfront_adapters::serving_metrics::KindLabel;

use super::gossip::{self, HoldsOrderLease};
use super::log_queue::LogQueue;
use super::node::{ServingNode, ServingPorts};
use super::peer_socket::PeerSocket;
use super::placement::Placement;
use super::settings::ServingSettings;
use super::{
    boxes, cold, config_freshness, crashes, follow, listeners, missing_items, notices, permits,
    quota, suspension,
};

/// How long a call to the platform's store may take beyond the time that it asks the store to wait.
pub const STORE_CALL_MARGIN: Duration = Duration::from_millis(900);

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

/// Runs a node until it is told to stop and every request in progress is answered.
pub async fn run(
    path: PathBuf,
    settings: ServingSettings,
    ports: ServingPorts,
    lines: LogQueue,
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
    let link_mbps = node.settings.load().resources.link_mbps;
    let socket = PeerSocket::bind(ip, listen.peers, link_mbps)
        .await
        .with_context(|| format!("cannot bind UDP port {}; free it", listen.peers))?;
    let socket = Arc::new(socket);
    let (stop_clients, clients_stopped) = watch::channel(false);
    let (_stop_rest, rest_stopped) = watch::channel(false);
    let giving = Arc::new(HoldsOrderLease::default());
    let mut tasks = JoinSet::new();
    tasks.spawn(follow::follow_config(node.clone(), socket.clone()));
    tasks.spawn(follow::follow_servers(node.clone(), socket.clone()));
    tasks.spawn(gossip::send_digests(node.clone(), socket.clone(), giving.clone()));
    tasks.spawn(boxes::maintain_box_list(node.clone(), socket.clone()));
    tasks.spawn(missing_items::notify_requesters(node.clone(), socket.clone()));
    tasks.spawn(config_freshness::track_config_freshness(node.clone(), socket.clone()));
    tasks.spawn(cold::maintain_senders(node.clone()));
    tasks.spawn(quota::maintain_quotas(node.clone(), socket.clone()));
    tasks.spawn(crashes::broadcast(node.clone(), socket.clone()));
    tasks.spawn(crashes::maintain_rows(node.clone()));
    tasks.spawn(notices::fetch_from_peers(node.clone()));
    tasks.spawn(notices::broadcast(node.clone(), socket.clone()));
    tasks.spawn(permits::send_requests(node.clone(), socket.clone()));
    tasks.spawn(gossip::receive_messages(node.clone(), socket));
    tasks.spawn(sweep(node.clone()));
    tasks.spawn(suspension::watch(node.clone()));
    tasks.spawn(reload(node.clone(), path, hangup));
    tasks.spawn(listeners::serve_readiness(node.clone(), readiness, rest_stopped.clone()));
    let ports = BTreeSet::from([listen.peers, listen.metrics]);
    for port in ports {
        match listeners::bind(SocketAddr::from((ip, port))) {
            Ok(listener) => {
                let (node, lines) = (node.clone(), lines.clone());
                let serving = listeners::serve_boxes(node, lines, listener, rest_stopped.clone());
                tasks.spawn(serving);
            }
            // Serving clients matters more than figures, and than copies for other boxes.
            Err(error) => log::error!(error:% = error, port; "metrics and copies not served"),
        }
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
    let (name, zone) = (&settings.node.name, &settings.node.hall);
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
    node.digest_requested.notify_one();
    node.missing_item_added.notify_one();
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
    let mut before = Instant::now();
    loop {
        sleep(SWEEP_EVERY).await;
        let late = before.elapsed().saturating_sub(SWEEP_EVERY);
        if late >= STOOD_STILL {
            count_standstill(&node, "stood_still");
            log::warn!(ms = late.as_millis() as u64; "process stood still");
        }
        before = Instant::now();
        let now = node.now();
        node.pool.close_idle(MAX_IDLE);
        follow::drop_expired_rows(&node);
        node.loads.lock().forget_old(now);
        node.overlay.lock().forget_old(now);
        notices::sweep(&node, now);
        permits::sweep(&node, now);
    }
}

/// Counts that nothing ran for a while, and why.
pub fn count_standstill(node: &ServingNode, kind: &'static str) {
    node.metrics.standstills.get_or_create(&KindLabel { kind }).inc();
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
            node.retry_budgets.lock().set_terms(settings.promises.budget());
            node.settings.store(Arc::new(settings));
        }
        if changed || signalled {
            log::info!(signalled, changed; "settings reloaded");
        }
    }
}
