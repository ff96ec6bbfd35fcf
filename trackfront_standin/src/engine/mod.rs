//! A stand-in for a model engine: batching, memory, reports with a lag, orders and faults.

mod batch;
mod cache;
mod generation;
mod memory;
mod port;

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::time::Instant;
use trackfront_adapters::http_server::{Abort, response};
use trackfront_adapters::wire::engine::{
    CACHE_EVENTS_PATH, CANCEL_PATH, KV_PATH, ORDERS_PATH, OrderAnswer, REPORT_PATH, generate_path,
};
use trackfront_core::ids::{BackendId, Fence, ItemKey, OrderId, RequestId};
use trackfront_core::order::Order;
use trackfront_core::ports::engine::GenerateKind;
use trackfront_core::ports::{CacheEvents, LoadReport};
use trackfront_core::units::Mib;

use crate::control::FAULTS_PATH;
use crate::server::{Answer, Listening, body, json_body, not_found, ok, query};
use batch::Batch;
use cache::PrefixCache;
use generation::Generation;
pub use memory::WeightStore;
use memory::{Memory, OrderEffect};

/// How many orders a report names.
const RECENT_ORDERS: usize = 64;

/// How an engine is built and how fast it is.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// The engine's name.
    pub id: BackendId,
    /// The memory of each accelerator.
    pub accelerators: Vec<Mib>,
    /// Whether it checks fencing tokens.
    pub checks_fence: bool,
    /// How many requests it batches.
    pub max_batch: usize,
    /// Microseconds between two tokens of a request that is alone.
    pub token_us: u64,
    /// Further microseconds between two tokens for each request beside it in the batch.
    pub token_us_per_request: u64,
    /// Microseconds to read one token of a prompt.
    pub prompt_token_us: u64,
    /// How old a report may get, in milliseconds.
    pub report_lag_ms: u64,
    /// How many blocks of prompts it caches.
    pub cache_blocks: usize,
}

impl EngineConfig {
    /// Returns the settings of an engine of ordinary speed.
    pub fn ordinary(id: BackendId, accelerators: Vec<Mib>, checks_fence: bool) -> Self {
        Self {
            id,
            accelerators,
            checks_fence,
            max_batch: 32,
            token_us: 8_000,
            token_us_per_request: 500,
            prompt_token_us: 50,
            report_lag_ms: 250,
            cache_blocks: 4_096,
        }
    }
}

/// The faults of an engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaults {
    /// How many of the next requests are dropped before anything is done.
    pub drop_requests: u32,
    /// How many of the next streams break after `break_after` frames.
    pub break_streams: u32,
    /// After how many frames a stream breaks.
    pub break_after: u64,
    /// How many of the next frames name another request.
    pub wrong_ids: u32,
    /// How many of the next frames are sent twice.
    pub repeat_frames: u32,
    /// How many of the next order replies are lost after the order was taken.
    pub lose_order_replies: u32,
    /// Every connection is dropped at once.
    pub down: bool,
}

/// What an engine has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Requests started.
    pub started: u64,
    /// Requests whose identifier had been started before.
    pub started_again: u64,
    /// Requests that came to their end.
    pub finished: u64,
    /// Requests that were cancelled.
    pub cancelled: u64,
    /// Loads and unloads that were started.
    pub moves: u64,
    /// Orders that would have gone over the memory and were refused.
    pub overcommits: u64,
    /// Orders refused for an old fencing token.
    pub stale_orders: u64,
    /// Orders taken with a fencing token older than one seen.
    pub stale_taken: u64,
}

/// A handle on a running engine.
#[derive(Clone)]
pub struct EngineStandin {
    inner: Arc<Inner>,
}

struct Inner {
    config: EngineConfig,
    incarnation: u64,
    weights: WeightStore,
    memory: Mutex<Memory>,
    orders: Mutex<Orders>,
    batch: Batch,
    cache: Mutex<PrefixCache>,
    generations: Mutex<HashMap<RequestId, Arc<Generation>>>,
    report: Mutex<Option<(Instant, LoadReport)>>,
    sequence: AtomicU64,
    faults: Mutex<EngineFaults>,
    counts: Mutex<EngineCounts>,
}

#[derive(Default)]
struct Orders {
    fence: Fence,
    recent: VecDeque<(OrderId, OrderAnswer)>,
}

impl Orders {
    /// Returns what was answered to an order before: a repeat is answered alike and has no effect.
    fn answered(&self, id: &OrderId) -> Option<OrderAnswer> {
        self.recent.iter().find(|(known, _)| known == id).map(|(_, answer)| answer.clone())
    }

    fn remember(&mut self, id: OrderId, answer: OrderAnswer) {
        self.recent.push_back((id, answer));
        if self.recent.len() > RECENT_ORDERS {
            self.recent.pop_front();
        }
    }
}

impl EngineStandin {
    /// Makes an engine with an empty memory. Each needs its own `incarnation`.
    pub fn new(config: EngineConfig, incarnation: u64, weights: WeightStore) -> Self {
        let inner = Inner {
            batch: Batch::new(config.max_batch),
            cache: Mutex::new(PrefixCache::new(config.cache_blocks)),
            memory: Mutex::new(Memory::new(config.accelerators.clone())),
            config,
            incarnation,
            weights,
            orders: Mutex::default(),
            generations: Mutex::default(),
            report: Mutex::default(),
            sequence: AtomicU64::new(0),
            faults: Mutex::default(),
            counts: Mutex::default(),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Serves it on `listener`.
    pub fn start(&self, listener: TcpListener) -> std::io::Result<Listening> {
        let engine = self.clone();
        Listening::start(listener, move |request| {
            let engine = engine.clone();
            async move { engine.handle(request).await }
        })
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        *self.inner.faults.lock() = faults;
    }

    /// Returns what the engine has done so far.
    pub fn counts(&self) -> EngineCounts {
        *self.inner.counts.lock()
    }

    /// Returns whether the engine is up and answers for `item`, in any version.
    pub fn answers_for(&self, item: &ItemKey) -> bool {
        !self.inner.faults.lock().down && self.inner.memory.lock().answers_for(item)
    }

    /// Returns how many requests are in the batch.
    pub fn running(&self) -> usize {
        self.inner.batch.running()
    }

    async fn handle(&self, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_string();
        if path == FAULTS_PATH {
            return self.change_faults(request).await;
        }
        if self.inner.faults.lock().down {
            return Err(Abort);
        }
        if let Some(id) = path.strip_prefix(CANCEL_PATH) {
            self.cancel(&id.into());
            return ok(&"cancelled");
        }
        if let Some(id) = path.strip_prefix(KV_PATH) {
            return self.kv(id.into(), request).await;
        }
        match path.as_str() {
            ORDERS_PATH => self.take_order(request).await,
            REPORT_PATH => ok(&self.current_report()),
            CACHE_EVENTS_PATH => {
                let after = query(&request, "after").and_then(|text| text.parse().ok());
                ok(&self.events_after(after.unwrap_or(0)))
            }
            path if path == generate_path(GenerateKind::Completion) => {
                self.generate(request, GenerateKind::Completion).await
            }
            path if path == generate_path(GenerateKind::Chat) => {
                self.generate(request, GenerateKind::Chat).await
            }
            _ => not_found(),
        }
    }

    async fn change_faults(&self, request: Request<Incoming>) -> Answer {
        match json_body::<EngineFaults>(request).await {
            Ok(faults) => {
                self.set_faults(faults);
                ok(&self.counts())
            }
            Err(answer) => *answer,
        }
    }

    /// Returns the report, taken anew when the last one is older than the lag.
    fn current_report(&self) -> LoadReport {
        let mut kept = self.inner.report.lock();
        let lag = Duration::from_millis(self.inner.config.report_lag_ms);
        if let Some((taken, report)) = kept.as_ref()
            && taken.elapsed() < lag
        {
            let mut report = report.clone();
            report.age_ms = taken.elapsed().as_millis() as u64;
            return report;
        }
        let report = self.take_report();
        *kept = Some((Instant::now(), report.clone()));
        report
    }

    fn take_report(&self) -> LoadReport {
        // The orders are read first: an order that is named has its effect in the items.
        let (fence, recent_orders) = {
            let orders = self.inner.orders.lock();
            (orders.fence, orders.recent.iter().map(|(id, _)| id.clone()).collect())
        };
        LoadReport {
            incarnation: self.inner.incarnation,
            sequence: self.inner.sequence.fetch_add(1, Ordering::SeqCst) + 1,
            age_ms: 0,
            accelerators: self.inner.config.accelerators.clone(),
            items: self.inner.memory.lock().reported(),
            running: self.inner.batch.running() as u32,
            queued: self.inner.batch.queued() as u32,
            queued_prompt_tokens: 0,
            fence,
            recent_orders,
        }
    }

    async fn take_order(&self, request: Request<Incoming>) -> Answer {
        let order: Order = match json_body(request).await {
            Ok(order) => order,
            Err(answer) => return *answer,
        };
        let answer = self.carry_out(order);
        if self.take_lost_order_reply() { Err(Abort) } else { ok(&answer) }
    }

    fn take_lost_order_reply(&self) -> bool {
        take(&mut self.inner.faults.lock().lose_order_replies)
    }

    /// Returns the cache events after `sequence`.
    fn events_after(&self, sequence: u64) -> CacheEvents {
        let events = self.inner.cache.lock().events_after(sequence);
        CacheEvents { incarnation: self.inner.incarnation, events }
    }

    /// Takes an order, once.
    fn carry_out(&self, order: Order) -> OrderAnswer {
        let mut orders = self.inner.orders.lock();
        let stale = order.fence < orders.fence;
        if stale && self.inner.config.checks_fence {
            self.inner.counts.lock().stale_orders += 1;
            return OrderAnswer::Stale { seen: orders.fence.0 };
        }
        orders.fence = orders.fence.max(order.fence);
        if let Some(answer) = orders.answered(&order.id) {
            return answer;
        }
        if stale {
            self.inner.counts.lock().stale_taken += 1;
        }
        let effect = self.inner.memory.lock().apply(&order);
        let answer = match &effect {
            OrderEffect::Overcommit { reason } => {
                self.inner.counts.lock().overcommits += 1;
                OrderAnswer::Refused { reason: reason.clone() }
            }
            OrderEffect::Refused { reason } => OrderAnswer::Refused { reason: reason.clone() },
            _ => OrderAnswer::Accepted,
        };
        orders.remember(order.id.clone(), answer.clone());
        if matches!(effect, OrderEffect::Loading | OrderEffect::Unloading) {
            self.inner.counts.lock().moves += 1;
            let engine = self.clone();
            tokio::spawn(async move { engine.finish_order(order, effect).await });
        }
        answer
    }

    /// Loads or unloads for as long as that takes.
    async fn finish_order(&self, order: Order, effect: OrderEffect) {
        match effect {
            OrderEffect::Loading => {
                let accelerators = self.inner.config.accelerators.len() as u64;
                let size = Mib(order.per_accelerator.0 * accelerators);
                self.inner.weights.load(size).await;
                self.inner.memory.lock().loaded(&order.item);
            }
            _ => {
                tokio::time::sleep(memory::UNLOAD_TIME).await;
                self.inner.memory.lock().unloaded(&order.item);
            }
        }
    }

    async fn kv(&self, id: RequestId, request: Request<Incoming>) -> Answer {
        if request.method() == Method::PUT {
            let blob = body(request).await?;
            return match self.import(id, &blob) {
                true => ok(&"imported"),
                false => Ok(response(StatusCode::BAD_REQUEST, "text/plain", "not a KV cache")),
            };
        }
        let exported: Option<Bytes> =
            self.inner.generations.lock().get(&id).map(|generation| generation.export());
        match exported {
            Some(blob) => Ok(response(StatusCode::OK, "application/octet-stream", blob)),
            None => not_found(),
        }
    }

    /// Takes in an exported KV cache. Returns whether it was one.
    fn import(&self, id: RequestId, blob: &[u8]) -> bool {
        let Some(generation) = Generation::import(&id, blob) else {
            return false;
        };
        self.inner.generations.lock().insert(id, Arc::new(generation));
        true
    }
}

/// Takes one from a count, if there is one left.
fn take(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}
