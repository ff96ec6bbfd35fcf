//! A box with its listeners, from start to stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use trackfront_adapters::http_server::serve;
use trackfront_adapters::metrics::Metrics;
use trackfront_adapters::peers::serve_peers;

use crate::node::Node;
use crate::outside::Outside;
use crate::settings::{Listen, Settings};
use crate::shared::Shared;
use crate::{gateway, operators, peering};

/// How long a leaving box still accepts connections, until the balancer has noticed.
const LEAVE_GRACE: Duration = Duration::from_secs(2);

/// The maximum time to answer the last requests of operators and peers.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(2);

/// A running box.
pub struct Daemon {
    /// The addresses that the box listens on.
    pub listen: Listen,
    /// The state of the box.
    pub shared: Arc<Shared>,
    node: Node,
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
    /// Stops accepting connections and waits until every request in progress is answered.
    async fn finish(self) {
        self.stop.send_replace(true);
        if self.task.await.is_err() {
            log::error!("a listener has failed");
        }
    }
}

impl Daemon {
    /// Starts a box with ports that use the network.
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
        let peer_address = listen.peers.to_string();
        let node = Node::start(settings.place.clone(), peer_address, outside, metrics, seed);
        let shared = node.shared.clone();
        log::info!("box {} serves callers on {}", shared.me, listen.callers);
        Ok(Daemon {
            callers: serve_callers(callers, shared.clone()),
            operators: serve_operators(operators, shared.clone(), &settings),
            peers: serve_other_boxes(peers, shared.clone(), &settings),
            listen,
            shared,
            node,
        })
    }

    /// Shuts down gracefully: notifies the balancer and the peers, releases the leases, and finishes
    /// every request in progress.
    pub async fn stop(self) {
        self.node.leave().await;
        tokio::time::sleep(LEAVE_GRACE).await;
        self.callers.finish().await;
        self.node.finish().await;
        // Operators and peers may keep idle connections open, which must not delay the stop.
        let rest = async { tokio::join!(self.operators.finish(), self.peers.finish()) };
        if tokio::time::timeout(LAST_ANSWERS_TIMEOUT, rest).await.is_err() {
            log::warn!("operators or peers still had requests open");
        }
    }

    /// Stops at once, like a killed process.
    pub fn kill(self) {
        for listener in [&self.callers, &self.operators, &self.peers] {
            listener.task.abort();
        }
        self.node.kill();
    }
}

async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen on {address}; free it or change `listen`"))
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
