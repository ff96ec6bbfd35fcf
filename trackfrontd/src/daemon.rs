//! Starts and stops the parts of one box.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use trackfront_adapters::audit::AuditWriter;
use trackfront_adapters::http_server::serve;
use trackfront_adapters::metrics::Metrics;
use trackfront_adapters::peers::serve_peers;
use trackfront_core::ids::BoxId;

use crate::outside::Outside;
use crate::owner::ShardTasks;
use crate::settings::{Listen, Settings};
use crate::shared::Shared;
use crate::{follower, gateway, operators, owner, peering, reader};

/// How long a leaving box still takes new connections, while the balancer learns of it.
const LEAVE_GRACE: Duration = Duration::from_secs(2);

/// How long operators and peers are given to read their last answers.
const LAST_ANSWERS: Duration = Duration::from_secs(2);

/// A running box.
pub struct Daemon {
    /// The addresses that the box listens on.
    pub listen: Listen,
    /// The state of the box.
    pub shared: Arc<Shared>,
    audit: Arc<AuditWriter>,
    shards: Arc<ShardTasks>,
    tasks: Vec<JoinHandle<()>>,
    callers: Listener,
    operators: Listener,
    peers: Listener,
}

/// A running listener.
struct Listener {
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Listener {
    /// Takes no new connection and waits until every request in progress is answered.
    async fn finish(self) {
        self.stop.send_replace(true);
        if self.task.await.is_err() {
            log::error!("a listener has failed");
        }
    }
}

impl Daemon {
    /// Starts a box that reaches everything over the network.
    pub async fn start(settings: Settings) -> anyhow::Result<Daemon> {
        let metrics = Arc::new(Metrics::default());
        let outside = Outside::network(&settings, metrics.clone());
        Daemon::start_with(settings, outside, metrics).await
    }

    /// Starts a box with the ports in `outside`.
    pub async fn start_with(
        settings: Settings,
        outside: Outside,
        metrics: Arc<Metrics>,
    ) -> anyhow::Result<Daemon> {
        let callers = bind(settings.listen.callers).await?;
        let operators = bind(settings.listen.operators).await?;
        let peers = bind(settings.listen.peers).await?;
        let listen = Listen {
            callers: callers.local_addr()?,
            operators: operators.local_addr()?,
            peers: peers.local_addr()?,
        };
        let seed = getrandom::u64().context("the system gives no random numbers")?;
        let me = BoxId::from(format!("{}-{seed:016x}", settings.place.name));
        let audit =
            Arc::new(AuditWriter::new(me.clone(), outside.clock.clone(), outside.objects.clone()));
        let shared = Arc::new(Shared::new(
            me,
            settings.place.clone(),
            listen.peers.to_string(),
            outside,
            metrics,
            audit.clone(),
            seed,
        ));
        let shards = Arc::new(ShardTasks::default());
        let tasks = start_tasks(&shared, &audit, &shards);
        log::info!("box {} serves callers on {}", shared.me, listen.callers);
        Ok(Daemon {
            callers: serve_callers(callers, shared.clone()),
            operators: serve_operators(operators, shared.clone(), &settings),
            peers: serve_other_boxes(peers, shared.clone(), &settings),
            listen,
            shared,
            audit,
            shards,
            tasks,
        })
    }

    /// Leaves as planned: tells the balancer and the peers, hands the leases over, and finishes
    /// every request in progress.
    pub async fn stop(self) {
        log::info!("box {} is leaving", self.shared.me);
        self.shared.leave();
        peering::beat(&self.shared).await;
        self.shards.release().await;
        tokio::time::sleep(LEAVE_GRACE).await;
        self.callers.finish().await;
        for task in &self.tasks {
            task.abort();
        }
        self.audit.flush().await;
        // Operators and peers may keep idle connections open; they are not waited for.
        let rest = async { tokio::join!(self.operators.finish(), self.peers.finish()) };
        if tokio::time::timeout(LAST_ANSWERS, rest).await.is_err() {
            log::warn!("operators or peers still had requests open");
        }
        log::info!("box {} has left", self.shared.me);
    }

    /// Stops as a process does that is killed.
    pub fn kill(self) {
        for task in &self.tasks {
            task.abort();
        }
        for listener in [&self.callers, &self.operators, &self.peers] {
            listener.task.abort();
        }
        self.shards.abort();
    }
}

async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen on {address}; free it or change `listen`"))
}

/// Starts everything that runs by itself.
fn start_tasks(
    shared: &Arc<Shared>,
    audit: &Arc<AuditWriter>,
    shards: &Arc<ShardTasks>,
) -> Vec<JoinHandle<()>> {
    let audit = audit.clone();
    vec![
        tokio::spawn(follower::run(shared.clone())),
        tokio::spawn(peering::run_list(shared.clone())),
        tokio::spawn(peering::run_heartbeats(shared.clone())),
        tokio::spawn(reader::run(shared.clone())),
        tokio::spawn(owner::run(shared.clone(), shards.clone())),
        tokio::spawn(async move { audit.run().await }),
    ]
}

fn serve_callers(listener: TcpListener, shared: Arc<Shared>) -> Listener {
    let (stop, stopped) = watch::channel(false);
    let handler = move |request| gateway::handle(shared.clone(), request);
    Listener { stop, task: tokio::spawn(serve(listener, handler, stopped)) }
}

fn serve_operators(listener: TcpListener, shared: Arc<Shared>, settings: &Settings) -> Listener {
    let (stop, stopped) = watch::channel(false);
    let key = settings.key.clone();
    let handler = move |request| operators::handle(shared.clone(), key.clone(), request);
    Listener { stop, task: tokio::spawn(serve(listener, handler, stopped)) }
}

fn serve_other_boxes(listener: TcpListener, shared: Arc<Shared>, settings: &Settings) -> Listener {
    let (stop, stopped) = watch::channel(false);
    let handler = move |message| peering::answer(shared.clone(), message);
    let serving = serve_peers(listener, settings.key.clone(), handler, stopped);
    Listener { stop, task: tokio::spawn(serving) }
}
