//! A small deployment: a store, engines and boxes.

use std::path::PathBuf;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::boxes::{BoxProcess, Network};
use crate::engine::{Engine, EngineSpec};
use crate::json::kebab;
use crate::record::Record;
use crate::store::Store;

/// The machines.
const BOXES: usize = 3;

/// The time until SIGKILL after SIGTERM, the `grace-s` of the settings.
const GRACE: Duration = Duration::from_secs(8);

/// The pause of an ended process until its next start.
pub const RESTART_DELAY: Duration = Duration::from_millis(500);

/// The configuration, with underscores in the names of its fields.
const CONFIG: &str = r#"{"version":7,"routes":[{"name":"resume","host":"host.example",
"path_prefix":"/resume/","kind":"streaming","timeout_ms":20000,"target_latency_ms":8000,
"priority":2,"service":"text","max_attempts":2,"sticky":true,"resumable":true,
"target_gap_ms":400},{"name":"uploads","host":"host.example","path_prefix":"/uploads/",
"kind":"unsafe","timeout_ms":20000,"target_latency_ms":8000,"priority":1,"service":"uploads",
"max_attempts":1,"sticky":false,"resumable":false}],"services":[{"name":"uploads",
"health_path":"/health","connection_limit":360,"protocol":"h1","tls":false},{"name":"text","health_path":"/health","connection_limit":360,
"protocol":"h1","tls":false,"engine":{"slots":64,"kv_cache_tokens":132029,"kv_token_bytes":163840,
"link_mbps":280000.0,"models":[{"name":"m1","weight_size_mb":65100.0,"load_time_s":9.0,
"adapters":0,"adapter_size_mb":12.0,"warm_up_s":0.76,"disk_load_s":2.0},{"name":"m2",
"weight_size_mb":65100.0,"load_time_s":9.0,"adapters":0,"adapter_size_mb":12.0,"warm_up_s":0.76,
"disk_load_s":2.0}],"weight_size_mb":220000.0,"adapter_slots":8,"loads_per_s":1.4}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}}"#;

/// What an engine of the deployment is like.
#[derive(Clone, Copy)]
pub struct EngineKind {
    pub version: &'static str,
    pub records_runs: bool,
}

impl EngineKind {
    /// Returns an engine of a software version.
    pub fn of_version(version: &'static str) -> Self {
        Self { version, records_runs: true }
    }
}

/// A small deployment.
pub struct Deployment {
    network: Network,
    pub store: Arc<Store>,
    pub engines: Vec<Arc<Engine>>,
    pub boxes: Vec<BoxProcess>,
    folder: PathBuf,
    record: Record,
}

impl Deployment {
    /// Starts the store, the engines and the boxes.
    pub fn start(engines: &[EngineKind], record: &Record) -> Result<Deployment, String> {
        let network = Network::reserve();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let address = format!("{}:8142", network.ip(200));
        let store = Store::start(&address);
        store.put("op", "config", Some(&kebab(CONFIG)));
        let record = record.clone();
        let mut started =
            Deployment { network, store, engines: vec![], boxes: vec![], folder, record };
        for kind in engines {
            started.add_engine(*kind).join();
        }
        for number in 1..=BOXES {
            let (network, folder) = (&started.network, &started.folder);
            let one = BoxProcess::start(network, number, &address, folder);
            started.boxes.push(one.map_err(|error| format!("a box does not start: {error}"))?);
        }
        started.wait_ready()?;
        // Boxes exchange what they know of each other for some seconds after their first start.
        sleep(Duration::from_secs(6));
        Ok(started)
    }

    pub fn wait_ready(&self) -> Result<(), String> {
        match self.boxes.iter().all(|one| one.wait_ready(Duration::from_secs(20))) {
            true => Ok(()),
            false => Err("a box is not ready in time".to_owned()),
        }
    }

    /// Starts an engine that is not in the list yet.
    pub fn add_engine(&mut self, kind: EngineKind) -> Arc<Engine> {
        let number = self.engines.len();
        let spec = EngineSpec {
            id: format!("i-7f3a91{number:02x}"),
            address: format!("{}:8501", self.network.ip(100 + number)),
            version: kind.version,
            service: "text",
            models: ["m1", "m2"],
            events: 110,
            event_gap: Duration::from_millis(150),
            records_runs: kind.records_runs,
        };
        let engine = Engine::start(spec, &self.store, &self.record);
        self.engines.push(engine.clone());
        engine
    }

    /// Returns an address of this deployment's network.
    pub fn address_of(&self, last: usize, port: u16) -> String {
        format!("{}:{port}", self.network.ip(last))
    }

    pub fn addresses(&self) -> Vec<String> {
        self.boxes.iter().map(BoxProcess::address).collect()
    }

    /// Kills the process of one machine.
    pub fn kill(&mut self, index: usize) {
        self.record.note(format!("SIGKILL to {}", self.boxes[index].name));
        self.boxes[index].kill();
    }

    /// Stops and starts the machines in turn, each `gap` after the one before.
    pub fn roll(&mut self, order: &[usize], gap: Duration) -> Result<(), String> {
        let start = Instant::now();
        let due = |place: usize| start + gap * place as u32;
        let mut stopping: Vec<(usize, Instant)> = Vec::new();
        let mut ended: Vec<(usize, Instant)> = Vec::new();
        let mut next = 0;
        while next < order.len() || !stopping.is_empty() || !ended.is_empty() {
            let now = Instant::now();
            if next < order.len() && now >= due(next) {
                let index = order[next];
                self.record.note(format!("SIGTERM to {}", self.boxes[index].name));
                self.boxes[index].terminate();
                stopping.push((index, now));
                next += 1;
            }
            for (index, since) in std::mem::take(&mut stopping) {
                if self.boxes[index].has_ended() {
                    self.record.note(format!("{} has ended", self.boxes[index].name));
                    ended.push((index, now));
                } else {
                    if now.duration_since(since) >= GRACE {
                        self.kill(index);
                    }
                    stopping.push((index, since));
                }
            }
            for (index, since) in std::mem::take(&mut ended) {
                if now.duration_since(since) < RESTART_DELAY {
                    ended.push((index, since));
                    continue;
                }
                self.boxes[index].spawn().map_err(|error| error.to_string())?;
                self.record.note(format!("{} is started again", self.boxes[index].name));
            }
            sleep(Duration::from_millis(10));
        }
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.boxes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
