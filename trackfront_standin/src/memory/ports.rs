//! The ports of a box in memory, through a network that can be cut.

use std::collections::HashMap;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use trackfront_adapters::metrics::Metrics;
use trackfront_adapters::peers::encoded_len;
use trackfront_core::ids::{HallName, RequestId};
use trackfront_core::order::Order;
use trackfront_core::ports::peers::{PeerAnswer, PeerMessage};
use trackfront_core::ports::{
    BoxList, BoxListError, CacheEvents, CommitOutcome, Engine, EngineError, FrameStream,
    GenerateError, GenerateRequest, KvBlob, ListedBox, LoadReport, ObjectError, Objects,
    OrderReply, PeerError, Peers, PlainCall, PlainError, PlainReply, PlainService, Row, RowKey,
    Table, TableError, Transaction,
};
use trackfrontd::outside::Backends;

use super::net::MemoryNet;
use crate::box_list::BoxListStandin;
use crate::engine::EngineStandin;
use crate::objects::ObjectStandin;
use crate::plain::PlainStandin;
use crate::table::TableStandin;

/// What every port says when the network is cut.
const CUT: &str = "the network is cut";

/// The way from a box to something else.
#[derive(Clone)]
struct Way {
    net: Arc<MemoryNet>,
    from: HallName,
}

impl Way {
    fn new(net: &Arc<MemoryNet>, from: &HallName) -> Self {
        Self { net: net.clone(), from: from.clone() }
    }

    fn reaches_platform(&self) -> bool {
        self.net.reaches_platform(&self.from)
    }
}

/// The platform's table through the network.
pub struct CutTable {
    way: Way,
    table: TableStandin,
    metrics: Arc<Metrics>,
}

impl CutTable {
    pub fn new(
        net: &Arc<MemoryNet>,
        from: &HallName,
        table: TableStandin,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self { way: Way::new(net, from), table, metrics }
    }

    fn reach(&self) -> Result<(), TableError> {
        match self.way.reaches_platform() {
            true => Ok(()),
            false => Err(TableError::Unavailable(CUT.into())),
        }
    }
}

#[async_trait]
impl Table for CutTable {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>, TableError> {
        self.metrics.table_reads.inc();
        self.reach()?;
        self.table.read(key).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, TableError> {
        self.metrics.table_reads.inc();
        self.reach()?;
        self.table.scan(prefix).await
    }

    async fn commit(&self, txn: &Transaction) -> CommitOutcome {
        self.metrics.table_writes.inc();
        match self.reach() {
            Ok(()) => self.table.commit(txn).await,
            Err(error) => CommitOutcome::NotApplied(error),
        }
    }
}

/// The platform's object store through the network.
pub struct CutObjects {
    way: Way,
    objects: ObjectStandin,
}

impl CutObjects {
    pub fn new(net: &Arc<MemoryNet>, from: &HallName, objects: ObjectStandin) -> Self {
        Self { way: Way::new(net, from), objects }
    }

    fn reach(&self) -> Result<(), ObjectError> {
        match self.way.reaches_platform() {
            true => Ok(()),
            false => Err(ObjectError::Unavailable(CUT.into())),
        }
    }
}

#[async_trait]
impl Objects for CutObjects {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), ObjectError> {
        self.reach()?;
        self.objects.put(name, body).await
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, ObjectError> {
        self.reach()?;
        self.objects.get(name).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<String>, ObjectError> {
        self.reach()?;
        self.objects.list(prefix, after, limit).await
    }
}

/// The platform's box list through the network.
pub struct CutBoxList {
    way: Way,
    list: BoxListStandin,
}

impl CutBoxList {
    pub fn new(net: &Arc<MemoryNet>, from: &HallName, list: BoxListStandin) -> Self {
        Self { way: Way::new(net, from), list }
    }
}

#[async_trait]
impl BoxList for CutBoxList {
    async fn boxes(&self) -> Result<Vec<ListedBox>, BoxListError> {
        match self.way.reaches_platform() {
            true => self.list.boxes().await,
            false => Err(BoxListError::Unavailable(CUT.into())),
        }
    }
}

/// The links of one box to the others.
pub struct MemoryPeers {
    way: Way,
}

impl MemoryPeers {
    pub fn new(net: &Arc<MemoryNet>, from: &HallName) -> Self {
        Self { way: Way::new(net, from) }
    }
}

#[async_trait]
impl Peers for MemoryPeers {
    async fn ask(&self, address: &str, message: PeerMessage) -> Result<PeerAnswer, PeerError> {
        let net = &self.way.net;
        let unavailable = || PeerError::Unavailable("no such box, or the network is cut".into());
        let peer = net.find(address).ok_or_else(unavailable)?;
        let to = peer.place.hall.clone();
        if !net.reaches(&self.way.from, &to) {
            return Err(unavailable());
        }
        net.count_bytes(encoded_len(&message));
        net.travel(&self.way.from, &to).await;
        let answer = trackfrontd::peering::answer(peer, message).await;
        net.count_bytes(encoded_len(&answer));
        net.travel(&to, &self.way.from).await;
        // The peer can have died, or the network been cut, after the message took effect.
        let lost = net.find(address).is_none() || !net.reaches(&self.way.from, &to);
        if lost || net.loses_answer() { Err(unavailable()) } else { Ok(answer) }
    }
}

/// All backend servers by address.
#[derive(Default)]
pub struct Links {
    engines: HashMap<String, (HallName, EngineStandin)>,
    plain: HashMap<String, (HallName, PlainStandin)>,
}

impl Links {
    pub fn add_engine(&mut self, address: &str, hall: &HallName, engine: &EngineStandin) {
        self.engines.insert(address.to_string(), (hall.clone(), engine.clone()));
    }

    pub fn add_plain(&mut self, address: &str, hall: &HallName, server: &PlainStandin) {
        self.plain.insert(address.to_string(), (hall.clone(), server.clone()));
    }
}

/// Reaches the backend servers from one box.
pub struct MemoryBackends {
    way: Way,
    links: Arc<Links>,
}

impl MemoryBackends {
    pub fn new(net: &Arc<MemoryNet>, from: &HallName, links: Arc<Links>) -> Self {
        Self { way: Way::new(net, from), links }
    }
}

impl Backends for MemoryBackends {
    fn engine(&self, address: &str) -> Arc<dyn Engine> {
        match self.links.engines.get(address) {
            Some((hall, engine)) => Arc::new(CutEngine {
                way: self.way.clone(),
                to: hall.clone(),
                engine: engine.clone(),
            }),
            None => Arc::new(NoBackend),
        }
    }

    fn plain(&self, address: &str) -> Arc<dyn PlainService> {
        match self.links.plain.get(address) {
            Some((hall, server)) => Arc::new(CutPlain {
                way: self.way.clone(),
                to: hall.clone(),
                server: server.clone(),
            }),
            None => Arc::new(NoBackend),
        }
    }
}

/// A server of a plain service through the network.
struct CutPlain {
    way: Way,
    to: HallName,
    server: PlainStandin,
}

#[async_trait]
impl PlainService for CutPlain {
    async fn call(&self, call: PlainCall) -> Result<PlainReply, PlainError> {
        if !self.way.net.reaches(&self.way.from, &self.to) {
            return Err(PlainError::Unreachable(CUT.into()));
        }
        self.way.net.travel(&self.way.from, &self.to).await;
        let reply = self.server.call(call).await;
        if !self.way.net.reaches(&self.way.from, &self.to) {
            return Err(PlainError::Broke(CUT.into()));
        }
        reply
    }
}

/// An engine through the network.
struct CutEngine {
    way: Way,
    to: HallName,
    engine: EngineStandin,
}

impl CutEngine {
    async fn reach(&self) -> Result<(), EngineError> {
        if !self.way.net.reaches(&self.way.from, &self.to) {
            return Err(EngineError::Unavailable(CUT.into()));
        }
        self.way.net.travel(&self.way.from, &self.to).await;
        Ok(())
    }
}

#[async_trait]
impl Engine for CutEngine {
    async fn generate(&self, request: GenerateRequest) -> Result<FrameStream, GenerateError> {
        let reached = self.reach().await;
        reached.map_err(|error| GenerateError::Unreachable(error.to_string()))?;
        self.engine.generate(request).await
    }

    async fn cancel(&self, request: &RequestId) -> Result<(), EngineError> {
        self.reach().await?;
        Engine::cancel(&self.engine, request).await
    }

    async fn order(&self, order: &Order) -> OrderReply {
        match self.reach().await {
            Ok(()) => self.engine.order(order).await,
            Err(error) => OrderReply::Unknown(error),
        }
    }

    async fn report(&self) -> Result<LoadReport, EngineError> {
        self.reach().await?;
        self.engine.report().await
    }

    async fn cache_events(&self, sequence: u64) -> Result<CacheEvents, EngineError> {
        self.reach().await?;
        self.engine.cache_events(sequence).await
    }

    async fn export_kv(&self, request: &RequestId) -> Result<Option<KvBlob>, EngineError> {
        self.reach().await?;
        self.engine.export_kv(request).await
    }

    async fn import_kv(&self, request: &RequestId, kv: KvBlob) -> Result<(), EngineError> {
        self.reach().await?;
        self.engine.import_kv(request, kv).await
    }
}

/// What answers at an address where nothing is.
struct NoBackend;

impl NoBackend {
    fn gone() -> EngineError {
        EngineError::Unavailable("nothing is there".into())
    }
}

#[async_trait]
impl PlainService for NoBackend {
    async fn call(&self, _: PlainCall) -> Result<PlainReply, PlainError> {
        Err(PlainError::Unreachable("nothing is there".into()))
    }
}

#[async_trait]
impl Engine for NoBackend {
    async fn generate(&self, _: GenerateRequest) -> Result<FrameStream, GenerateError> {
        Err(GenerateError::Unreachable("nothing is there".into()))
    }

    async fn cancel(&self, _: &RequestId) -> Result<(), EngineError> {
        Err(NoBackend::gone())
    }

    async fn order(&self, _: &Order) -> OrderReply {
        OrderReply::Unknown(NoBackend::gone())
    }

    async fn report(&self) -> Result<LoadReport, EngineError> {
        Err(NoBackend::gone())
    }

    async fn cache_events(&self, _: u64) -> Result<CacheEvents, EngineError> {
        Err(NoBackend::gone())
    }

    async fn export_kv(&self, _: &RequestId) -> Result<Option<KvBlob>, EngineError> {
        Err(NoBackend::gone())
    }

    async fn import_kv(&self, _: &RequestId, _: KvBlob) -> Result<(), EngineError> {
        Err(NoBackend::gone())
    }
}
