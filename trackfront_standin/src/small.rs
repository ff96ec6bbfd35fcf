//! A small deployment for tests and benchmarks: its tree is made to fit free ports.

use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;

use anyhow::{Context, ensure};
use http::Method;
use tokio::net::TcpListener;
use trackfront_adapters::http_client::{HttpClient, request, with_body};
use trackfront_adapters::wire::operator::{APPLY_PATH, ApplyAnswer, ApplyRequest};
use trackfront_core::ids::{BackendId, Revision, TxnId};
use trackfront_core::tree::{Tree, TreeFiles, build};
use trackfrontd::daemon::Daemon;

use crate::boxes;
use crate::deployment::{Backends, Platform, WeightSpeed};
use crate::engine::{EngineConfig, EngineStandin};
use crate::plain::PlainStandin;
use crate::table::TableLimits;

/// The name of the region.
pub const REGION: &str = "r";
/// The service with models.
pub const SERVICE: &str = "text";
/// The plain service.
pub const PLAIN: &str = "bookings";
/// A caller that may use everything.
pub const CALLER_KEY: &str = "desk-example-key";
/// A caller that may not use the model `private`.
pub const OTHER_KEY: &str = "guest-example-key";

/// How long an apply may take.
const APPLY_TIME: Duration = Duration::from_secs(10);

/// The memory of each accelerator, in MiB.
const ACCELERATOR_MIB: u64 = 24_576;

/// What a small deployment has.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The halls.
    pub halls: Vec<String>,
    /// How many engines, spread over the halls; every second one checks fencing tokens.
    pub engines: usize,
    /// How many servers of the plain service.
    pub plain: usize,
    /// The models, with their adapters.
    pub models: Vec<(String, Vec<String>)>,
    /// The weights of each model, in MiB.
    pub weights_mib: u64,
    /// Further lines for `[policy]` in root.toml.
    pub policy: String,
    /// Changes each engine's settings.
    pub tune: fn(&mut EngineConfig),
}

impl Default for Spec {
    fn default() -> Self {
        Self {
            halls: vec!["a".into(), "b".into()],
            engines: 3,
            plain: 2,
            models: vec![
                ("letter".into(), vec!["letter-lima".into()]),
                ("report".into(), vec![]),
                ("private".into(), vec![]),
            ],
            weights_mib: 8_192,
            policy: String::new(),
            tune: |_| {},
        }
    }
}

impl Spec {
    /// Makes the tree's files for a deployment in memory.
    pub fn memory_files(&self) -> TreeFiles {
        let addresses = |count: usize, port: usize| -> Vec<String> {
            (0..count).map(|index| format!("127.0.0.1:{}", port + index)).collect()
        };
        self.files(&addresses(self.engines, 10_000), &addresses(self.plain, 20_000))
    }

    /// Makes the tree's files for backend servers at these addresses.
    fn files(&self, engines: &[String], plain: &[String]) -> TreeFiles {
        let mut files = TreeFiles::default();
        let mut add = |path: String, text: String| files.0.insert(path, text);
        let key = |key: &str| blake3::hash(key.as_bytes()).to_hex().to_string();
        add(
            "root.toml".into(),
            format!(
                "deployment = \"small\"\n[policy]\n{}\n[callers.desk]\nkey_blake3 = \"{}\"\n\
                 [callers.guest]\nkey_blake3 = \"{}\"\n",
                self.policy,
                key(CALLER_KEY),
                key(OTHER_KEY)
            ),
        );
        add(format!("{REGION}/region.toml"), format!("halls = {:?}\n", self.halls));
        add(format!("{REGION}/{SERVICE}/service.toml"), self.engine_service(engines));
        add(format!("{REGION}/{PLAIN}/service.toml"), self.plain_service(plain));
        for (model, adapters) in &self.models {
            let folder = format!("{REGION}/{SERVICE}/{model}");
            let mut text = format!("version = \"1\"\nweights_mib = {}\n", self.weights_mib);
            if model == "private" {
                text.push_str("[policy]\ncallers = [\"desk\"]\n");
            }
            add(format!("{folder}/model.toml"), text);
            for adapter in adapters {
                let text = "version = \"1\"\nweights_mib = 128\n".to_string();
                add(format!("{folder}/{adapter}.toml"), text);
            }
        }
        files
    }

    fn engine_service(&self, addresses: &[String]) -> String {
        let mut text = "kind = \"engines\"\n".to_string();
        for (index, address) in addresses.iter().enumerate() {
            let hall = &self.halls[index % self.halls.len()];
            let checks = index % 2 == 0;
            let _ = write!(
                text,
                "[[backends]]\nid = \"engine-{index}\"\naddress = \"{address}\"\n\
                 hall = \"{hall}\"\naccelerators = 2\naccelerator_mib = {ACCELERATOR_MIB}\n\
                 checks_fence = {checks}\n"
            );
        }
        text
    }

    fn plain_service(&self, addresses: &[String]) -> String {
        let mut text = "kind = \"plain\"\n[policy]\ndeadline_ms = 5000\n[[routes]]\n\
                        path = \"/bookings\"\nrepeatable = false\n[[routes]]\n\
                        path = \"/lookups\"\nrepeatable = true\n"
            .to_string();
        for (index, address) in addresses.iter().enumerate() {
            let hall = &self.halls[index % self.halls.len()];
            let _ = write!(
                text,
                "[[backends]]\nid = \"plain-{index}\"\naddress = \"{address}\"\nhall = \"{hall}\"\n"
            );
        }
        text
    }
}

/// A running small deployment.
pub struct Small {
    /// The platform.
    pub platform: Platform,
    /// The backend servers.
    pub backends: Backends,
    /// The tree's files.
    pub files: TreeFiles,
    /// The tree.
    pub tree: Tree,
    /// The entry boxes.
    pub boxes: Vec<Daemon>,
}

impl Small {
    /// Starts the platform and the backend servers, without entry boxes.
    pub async fn start_without_boxes(spec: &Spec) -> anyhow::Result<Small> {
        let mut listeners = HashMap::new();
        let engines = free_addresses(spec.engines, &mut listeners).await?;
        let plain = free_addresses(spec.plain, &mut listeners).await?;
        let files = spec.files(&engines, &plain);
        let tree = build(&files)?;
        let platform = Platform::start("127.0.0.1", TableLimits::default()).await?;
        let backends =
            Backends::start_on(&tree, WeightSpeed::default(), listeners, spec.tune).await?;
        Ok(Small { platform, backends, files, tree, boxes: Vec::new() })
    }

    /// Starts everything with `count` entry boxes, applies the tree, and waits until every model
    /// and adapter answers.
    pub async fn start(spec: &Spec, count: usize) -> anyhow::Result<Small> {
        let mut small = Small::start_without_boxes(spec).await?;
        small.boxes = boxes::start(&small.platform, &small.tree, count).await?;
        let operators = small.boxes[0].listen.operators.to_string();
        let revision = apply(&operators, "first", Revision(0), small.files.clone()).await?;
        ensure!(revision == Revision(1), "the first tree became revision {revision}");
        boxes::wait_reachable(&small.boxes, Duration::from_secs(30)).await?;
        Ok(small)
    }

    /// Returns an engine.
    pub fn engine(&self, index: usize) -> &EngineStandin {
        &self.backends.engines[&BackendId::from(format!("engine-{index}"))]
    }

    /// Returns a server of the plain service.
    pub fn plain(&self, index: usize) -> &PlainStandin {
        &self.backends.plain[&BackendId::from(format!("plain-{index}"))]
    }

    /// Returns the address of a box for callers.
    pub fn callers(&self, index: usize) -> String {
        self.boxes[index].listen.callers.to_string()
    }
}

/// Binds free ports and returns their addresses.
async fn free_addresses(
    count: usize,
    listeners: &mut HashMap<String, TcpListener>,
) -> anyhow::Result<Vec<String>> {
    let mut addresses = Vec::new();
    for _ in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        listeners.insert(address.clone(), listener);
        addresses.push(address);
    }
    Ok(addresses)
}

/// Applies a tree through a box's operator listener and returns its revision.
pub async fn apply(
    operators: &str,
    txn: &str,
    base: Revision,
    files: TreeFiles,
) -> anyhow::Result<Revision> {
    match try_apply(operators, txn, base, files).await? {
        ApplyAnswer::Accepted { revision } => Ok(revision),
        other => anyhow::bail!("not applied: {other:?}"),
    }
}

/// Asks a box's operator listener to apply a tree.
pub async fn try_apply(
    operators: &str,
    txn: &str,
    base: Revision,
    files: TreeFiles,
) -> anyhow::Result<ApplyAnswer> {
    let wanted = ApplyRequest {
        txn: TxnId::from(txn),
        base,
        files,
        author: "test".into(),
        reason: "a test".into(),
        allow_removals: false,
    };
    let builder = request(Method::POST, operators, APPLY_PATH)
        .header("authorization", boxes::key().authorization());
    let request = with_body(builder, serde_json::to_vec(&wanted)?)?;
    let answer = HttpClient::default().fetch(request, APPLY_TIME).await?;
    serde_json::from_slice(&answer.body).context("the box answers with something else")
}
