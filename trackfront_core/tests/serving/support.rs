//! Builders of test data that the tests share.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use trackfront_core::ids::{AdapterName, BackendId, ModelName};
use trackfront_core::serving::config::{
    ClientLimits, EngineSpec, ModelSpec, Route, RouteKind, RouteTarget, ServiceSpec,
};
use trackfront_core::serving::directory::{
    Directory, KnownServer, ResidentModel, Residents, ServerChange, ServerEntry, ServerState,
};
use trackfront_core::serving::request::{ModelRef, RequestInfo};
use trackfront_core::units::Moment;

/// The interval at which servers write their rows.
pub const HEARTBEAT: Duration = Duration::from_secs(1);

pub fn at(ms: u64) -> Moment {
    Moment(Duration::from_millis(ms))
}

pub fn residents(models: &[&str]) -> Residents {
    let resident = |name: &&str| {
        (ModelName::from(*name), ResidentModel { version: 1, adapters: BTreeSet::new() })
    };
    models.iter().map(resident).collect()
}

pub fn with_adapter(mut models: Residents, model: &str, adapter: &str) -> Residents {
    let resident = models.get_mut(&ModelName::from(model)).expect("the model is there");
    resident.adapters.insert(AdapterName::from(adapter));
    models
}

pub fn item(model: &str, adapter: Option<&str>) -> ModelRef {
    ModelRef { model: ModelName::from(model), adapter: adapter.map(AdapterName::from) }
}

pub fn entry(id: &str, models: &[&str]) -> ServerEntry {
    ServerEntry {
        id: BackendId::from(id),
        key: id.into(),
        started: None,
        service: "text".into(),
        address: format!("127.0.0.1:{}", 1_000 + id.bytes().map(u32::from).sum::<u32>()),
        hall: "a".into(),
        slots: 4,
        state: ServerState::Ready,
        cold_remaining: Duration::ZERO,
        models: residents(models),
        sequence: 0,
        in_memory: BTreeSet::new(),
        on_disk: BTreeSet::new(),
        software: "v1".into(),
    }
}

/// Returns the servers of a directory that learned of all of them at once.
pub fn known(entries: Vec<ServerEntry>) -> Vec<Arc<KnownServer>> {
    let mut directory = Directory::new(HEARTBEAT);
    let service = entries[0].service.clone();
    let changes = entries.into_iter().enumerate();
    let changes = changes
        .map(|(index, entry)| ServerChange::Set { version: (index as u64 + 1).into(), entry });
    directory.apply(changes.collect(), 100.into(), at(0));
    directory.of_service(&service).to_vec()
}

pub fn info(model: Option<ModelRef>, prompt_tokens: u32) -> RequestInfo {
    RequestInfo {
        id: "r1".into(),
        host: "h".into(),
        path: "/a/x".into(),
        deadline: Some(Duration::from_secs(5)),
        model,
        prompt_tokens,
        output_tokens: 10,
        max_total_tokens: None,
        key: None,
        continues: None,
        prompt: Vec::new(),
    }
}

/// Returns an engine with 220 GB of memory, where three models of 70 GB fit.
pub fn spec(models: &[&str], adapters: usize, adapter_slots: u32) -> EngineSpec {
    let model = |name: &&str| {
        let adapters = (1..=adapters).map(|number| AdapterName::from(format!("a{number}")));
        let spec = ModelSpec {
            name: ModelName::from(*name),
            weight_mb: 70_000.0,
            load_time: Duration::from_secs(9),
            disk_load_time: Duration::from_secs(2),
            memory_load_time: Duration::from_millis(800),
            adapters: adapters.collect(),
            adapter_mb: 50.0,
        };
        (ModelName::from(*name), spec)
    };
    EngineSpec {
        slots: 64,
        kv_tokens: 100_000,
        memory_mb: 220_000.0,
        adapter_slots,
        loads_per_s: 2.0,
        models: models.iter().map(model).collect(),
    }
}

pub fn route(name: &str, prefix: &str, service: &str) -> Route {
    Route {
        name: name.into(),
        host: "h".into(),
        prefix: prefix.into(),
        kind: RouteKind::Repeatable,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        event_gap_target: None,
        priority: 1,
        targets: vec![RouteTarget { service: service.into(), weight: 1 }],
        max_attempts: 2,
        resumable: false,
        public: false,
        regions: None,
    }
}

pub fn services(names: &[&str]) -> BTreeMap<trackfront_core::ids::ServiceName, ServiceSpec> {
    let service = |name: &&str| {
        let spec = ServiceSpec {
            health_path: "/health".into(),
            connection_limit: 9,
            cold: None,
            engine: None,
        };
        ((*name).into(), spec)
    };
    names.iter().map(service).collect()
}

pub fn limits() -> ClientLimits {
    ClientLimits {
        max_head_bytes: 16_384,
        max_body_bytes: 1_000_000,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    }
}
