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
    boxes, cold, config_freshness, crashes, engine_loads, follow, listeners, missing_items,
    notices, overload, permits, quota, reach, restoration, room, stream_origins, suspension,
};

/// The timeout of a call to the platform's store, in addition to the time that the call asks the
/// store to wait.
pub const STORE_CALL_MARGIN: Duration = Duration::from_millis(900);

/// The interval at which the settings file is read, since it may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_millis(2_000);

/// The longest time that a stopping node still accepts connections. The load balancer checks its
/// readiness every second and removes it after two failed checks.
const LAME_DUCK_TIME: Duration = Duration::from_millis(2_600);

/// The time before the end of its grace period at which a stopping node exits, even with requests
/// in progress.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// The time in which the last messages of a stopping node are sent.
const HAND_OVER_TIME: Duration = Duration::from_millis(20);

/// The interval at which old data is dropped and idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);

/// The delay of a sweep that counts as a standstill of the process, which was frozen or far too
/// slow.
const STANDSTILL_DELAY: Duration = Duration::from_millis(500);

/// The time after which an idle connection to a server is closed.
const MAX_IDLE: Duration = Duration::from_secs(20);

/// Runs a node until it receives a signal to stop and has answered every request in progress, or
/// its grace period ends.
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
    let order_lease = Arc::new(HoldsOrderLease::default());
    let mut tasks = JoinSet::new();
    tasks.spawn(follow::follow_config(node.clone(), socket.clone()));
    tasks.spawn(follow::follow_servers(node.clone(), socket.clone()));
    tasks.spawn(gossip::send_digests(node.clone(), socket.clone(), order_lease.clone()));
    tasks.spawn(boxes::maintain_box_list(node.clone(), socket.clone()));
    tasks.spawn(missing_items::notify_requesters(node.clone(), socket.clone()));
    tasks.spawn(config_freshness::track_config_freshness(node.clone(), socket.clone()));
    tasks.spawn(cold::maintain_senders(node.clone()));
    tasks.spawn(quota::maintain_quotas(node.clone(), socket.clone()));
    tasks.spawn(crashes::broadcast(node.clone(), socket.clone()));
    tasks.spawn(crashes::maintain_rows(node.clone()));
    tasks.spawn(crashes::hand_on::hand_on(node.clone(), socket.clone()));
    tasks.spawn(restoration::rewrite_lost_rows(node.clone()));
    tasks.spawn(notices::fetch_from_peers(node.clone()));
    tasks.spawn(notices::broadcast(node.clone(), socket.clone()));
    tasks.spawn(permits::send_requests(node.clone(), socket.clone()));
    tasks.spawn(room::run(node.clone(), socket.clone()));
    tasks.spawn(engine_loads::send_messages(node.clone(), socket.clone()));
    tasks.spawn(stream_origins::lookup::send_messages(node.clone(), socket.clone()));
    tasks.spawn(stream_origins::maintain(node.clone()));
    tasks.spawn(gossip::receive_messages(node.clone(), socket));
    tasks.spawn(sweep(node.clone()));
    tasks.spawn(suspension::watch(node.clone()));
    tasks.spawn(reach::watch(node.clone()));
    tasks.spawn(overload::measure_lag(node.clone()));
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
            // Clients can be served without metrics, and without snapshots for other boxes.
            Err(error) => {
                log::error!(error:% = error, port; "cannot serve metrics and snapshots; free the port")
            }
        }
    }
    let placement = tokio::spawn(Placement::new(node.clone(), order_lease).run());
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
    let (name, hall) = (&settings.node.name, &settings.node.hall);
    let version = env!("CARGO_PKG_VERSION");
    log::info!(name, zone:% = hall, version, clients:% = settings.listen.clients; "started");
}

/// Stops the node: reports it as not ready, gives up the order lease, accepts connections until the
/// load balancer has noticed, and then answers the requests in progress.
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
    node.exit.set(node.now() + grace.saturating_sub(EXIT_MARGIN));
    node.digest_requested.notify_one();
    node.missing_item_added.notify_one();
    stream_origins::keepers::hand_over(node);
    crashes::hand_over(node);
    let lame_duck = LAME_DUCK_TIME.min(grace / 3);
    sleep(lame_duck).await;
    stop_clients.send_replace(true);
    let rest = grace.saturating_sub(lame_duck + EXIT_MARGIN);
    let ended = async {
        let _ = serving.await;
        node.carried.all_ended().await;
    };
    if timeout(rest, ended).await.is_err() {
        let in_flight = node.metrics.in_flight.get();
        log::warn!(in_flight; "grace period over with requests in progress");
    }
    stream_origins::keepers::hand_over(node);
    sleep(HAND_OVER_TIME).await;
    placement.abort();
}

/// Drops old data periodically, and detects when the process stood still and its data became as
/// old.
async fn sweep(node: Arc<ServingNode>) {
    let mut last_sweep = Instant::now();
    loop {
        sleep(SWEEP_INTERVAL).await;
        let delay = last_sweep.elapsed().saturating_sub(SWEEP_INTERVAL);
        if delay >= STANDSTILL_DELAY {
            count_standstill(&node, "stood_still");
            log::warn!(ms = delay.as_millis() as u64; "process stood still");
        }
        last_sweep = Instant::now();
        let now = node.now();
        node.pool.close_idle(MAX_IDLE);
        follow::drop_expired_rows(&node);
        node.loads.lock().forget_old(now);
        node.overlay.lock().forget_old(now);
        notices::sweep(&node, now);
        permits::sweep(&node, now);
        node.room.sweep(now);
        node.engine_loads.sweep(now);
    }
}

/// Counts a time in which nothing ran, by its kind.
pub fn count_standstill(node: &ServingNode, kind: &'static str) {
    node.metrics.standstills.get_or_create(&KindLabel { kind }).inc();
}

/// Reloads settings that have changed, on a signal or periodically.
async fn reload(node: Arc<ServingNode>, path: PathBuf, mut hangup: Signal) {
    loop {
        let signalled = timeout(SETTINGS_INTERVAL, hangup.recv()).await.is_ok();
        let settings = match ServingSettings::read(&path) {
            Ok(settings) => settings,
            Err(error) => {
                log::error!(error:% = error; "settings refused; the previous ones stay in force");
                continue;
            }
        };
        let previous = node.settings.load_full();
        let changed = *previous != settings;
        if changed && (previous.listen != settings.listen || previous.store != settings.store) {
            log::warn!("changed addresses in the settings take effect at the next start");
        }
        if changed {
            node.retry_budgets.lock().set_terms(settings.promises.budget());
            node.memory.set_limit(settings.resources.held_bytes());
            node.settings.store(Arc::new(settings));
        }
        if changed || signalled {
            log::info!(signalled, changed; "settings reloaded");
        }
    }
}
