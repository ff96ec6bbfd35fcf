//! What the way through an entry box costs.
//!
//! The stand-in engine, the entry box and the load run in one process, and the same load is
//! sent directly to the engine and through the box in turn. The added times are differences
//! of quantiles; the requests a core are worked out from the difference in processor time.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use futures::StreamExt;
use futures::future::join_all;
use http::{Method, StatusCode};
use http_body_util::BodyDataStream;
use serde::Serialize;
use serde_json::json;
use tokio::net::TcpListener;
use trackfront_adapters::http_client::{HttpClient, request, with_body};
use trackfront_adapters::wire::engine::{MODEL_HEADER, REQUEST_ID_HEADER, VERSION_HEADER};
use trackfront_adapters::wire::operator::{ApplyAnswer, ApplyRequest};
use trackfront_core::ids::Revision;
use trackfront_core::tree::{TreeFiles, build};
use trackfront_core::units::Mib;
use trackfront_standin::boxes;
use trackfront_standin::deployment::{Platform, WeightSpeed};
use trackfront_standin::engine::{EngineConfig, EngineStandin, WeightStore};
use trackfront_standin::table::TableLimits;
use trackfrontd::daemon::Daemon;

use crate::cli::Path;
use crate::figures::{Quantiles, Times, print, processor_time};

/// How long the model may take to be loaded.
const LOAD_TIME: Duration = Duration::from_secs(20);

/// The key of the only caller.
const CALLER_KEY: &str = "bench-caller-key";

/// How many requests are sent at once to measure the processor time of a request.
const FULL_LOAD: usize = 64;

/// How often the two ways take turns; the figures are over all turns.
const TURNS: usize = 4;

/// Where the load goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Way {
    Direct,
    ThroughBox,
}

/// The figures of one way.
#[derive(Debug, Serialize)]
struct WayFigures {
    question: &'static str,
    way: Way,
    requests: usize,
    first_token: Quantiles,
    token_gap: Quantiles,
}

/// The figures of the difference.
#[derive(Debug, Serialize)]
struct Added {
    question: &'static str,
    added_first_token_p50_us: i64,
    added_first_token_p99_us: i64,
    added_token_gap_p50_us: i64,
    added_token_gap_p99_us: i64,
    box_processor_us_per_request: f64,
    requests_per_core: f64,
}

/// Measures both ways in turns.
pub async fn run(args: &Path) -> anyhow::Result<()> {
    let bench = Bench::start(args.tokens).await?;
    let (mut direct, mut through) = (Taken::default(), Taken::default());
    for _ in 0..TURNS {
        let count = args.requests / TURNS;
        direct.merge(&bench.load(Way::Direct, count, args.at_once).await?);
        through.merge(&bench.load(Way::ThroughBox, count, args.at_once).await?);
    }
    for (way, taken) in [(Way::Direct, &direct), (Way::ThroughBox, &through)] {
        print(&WayFigures {
            question: "path",
            way,
            requests: args.requests,
            first_token: taken.first.quantiles(),
            token_gap: taken.gap.quantiles(),
        });
    }
    let direct_cpu = bench.processor_per_request(Way::Direct, args.requests).await?;
    let through_cpu = bench.processor_per_request(Way::ThroughBox, args.requests).await?;
    let box_cpu = through_cpu - direct_cpu;
    let (first, gap) = (through.first.quantiles(), through.gap.quantiles());
    let (first_direct, gap_direct) = (direct.first.quantiles(), direct.gap.quantiles());
    print(&Added {
        question: "path",
        added_first_token_p50_us: first.p50_us as i64 - first_direct.p50_us as i64,
        added_first_token_p99_us: first.p99_us as i64 - first_direct.p99_us as i64,
        added_token_gap_p50_us: gap.p50_us as i64 - gap_direct.p50_us as i64,
        added_token_gap_p99_us: gap.p99_us as i64 - gap_direct.p99_us as i64,
        box_processor_us_per_request: box_cpu,
        requests_per_core: 1e6 / box_cpu,
    });
    Ok(())
}

/// The times of a run.
#[derive(Default)]
struct Taken {
    first: Times,
    gap: Times,
}

impl Taken {
    fn merge(&mut self, other: &Taken) {
        self.first.merge(&other.first);
        self.gap.merge(&other.gap);
    }
}

/// One engine with one model, and one entry box before it.
struct Bench {
    client: HttpClient,
    engine_address: String,
    box_address: String,
    tokens: u64,
    next: AtomicUsize,
    _platform: Platform,
    _engine: trackfront_standin::server::Listening,
    _boxes: Vec<Daemon>,
}

impl Bench {
    async fn start(tokens: u64) -> anyhow::Result<Arc<Bench>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let engine_address = listener.local_addr()?.to_string();
        let files = tree_files(&engine_address);
        let tree = build(&files)?;
        let platform = Platform::start("127.0.0.1", TableLimits::default()).await?;
        let speed = WeightSpeed::default();
        let weights = WeightStore::new(speed.loads_per_second, speed.slots, speed.ms_per_gib);
        let mut config = EngineConfig::ordinary("engine".into(), vec![Mib(24_576)], true);
        config.max_batch = FULL_LOAD;
        config.token_us = 2_000;
        config.token_us_per_request = 0;
        let engine = EngineStandin::new(config, 1, weights).start(listener)?;
        let boxes = boxes::start(&platform, &tree, 1).await?;
        let daemon = boxes.first().context("there is a box")?;
        apply(daemon, files).await?;
        boxes::wait_reachable(&boxes, LOAD_TIME).await?;
        Ok(Arc::new(Bench {
            client: HttpClient::default(),
            engine_address,
            box_address: daemon.listen.callers.to_string(),
            tokens,
            next: AtomicUsize::new(0),
            _platform: platform,
            _engine: engine,
            _boxes: boxes,
        }))
    }

    /// Sends `count` requests one way, `at_once` of them at a time.
    async fn load(
        self: &Arc<Self>,
        way: Way,
        count: usize,
        at_once: usize,
    ) -> anyhow::Result<Taken> {
        let workers = (0..at_once).map(|_| {
            let bench = self.clone();
            tokio::spawn(async move {
                let mut taken = Taken::default();
                for _ in 0..count / at_once {
                    bench.one(way, &mut taken).await?;
                }
                anyhow::Ok(taken)
            })
        });
        let mut all = Taken::default();
        for taken in join_all(workers).await {
            all.merge(&taken??);
        }
        Ok(all)
    }

    /// Returns the processor time of this process for each request of a full load, in
    /// microseconds.
    async fn processor_per_request(
        self: &Arc<Self>,
        way: Way,
        count: usize,
    ) -> anyhow::Result<f64> {
        let before = processor_time()?;
        self.load(way, count, FULL_LOAD).await?;
        let used = processor_time()? - before;
        Ok(used.as_secs_f64() * 1e6 / count as f64)
    }

    /// Sends one request and times its tokens.
    async fn one(&self, way: Way, taken: &mut Taken) -> anyhow::Result<()> {
        let body = json!({
            "model": "m", "prompt": "Draft the letter.", "stream": true,
            "max_tokens": self.tokens,
        });
        let address = match way {
            Way::Direct => &self.engine_address,
            Way::ThroughBox => &self.box_address,
        };
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let builder = request(Method::POST, address, "/v1/completions")
            .header("authorization", format!("Bearer {CALLER_KEY}"))
            .header(REQUEST_ID_HEADER, format!("bench-{number}"))
            .header(MODEL_HEADER, "m")
            .header(VERSION_HEADER, "1");
        let start = Instant::now();
        let response = self.client.send(with_body(builder, body.to_string())?).await?;
        ensure!(response.status() == StatusCode::OK, "status {}", response.status());
        let mut data = BodyDataStream::new(response.into_body());
        let mut last = None;
        while let Some(chunk) = data.next().await {
            chunk?;
            let now = Instant::now();
            match last {
                None => taken.first.add(now - start),
                Some(last) => taken.gap.add(now - last),
            }
            last = Some(now);
        }
        ensure!(last.is_some(), "an answer without a token");
        Ok(())
    }
}

/// Applies the tree through the box's operator listener.
async fn apply(daemon: &Daemon, files: TreeFiles) -> anyhow::Result<()> {
    let client = HttpClient::default();
    let wanted = ApplyRequest {
        txn: "bench".into(),
        base: Revision(0),
        files,
        author: "bench".into(),
        reason: "first tree".into(),
        allow_removals: false,
    };
    let path = trackfront_adapters::wire::operator::APPLY_PATH;
    let builder = request(Method::POST, &daemon.listen.operators.to_string(), path)
        .header("authorization", boxes::key().authorization());
    let request = with_body(builder, serde_json::to_vec(&wanted)?)?;
    let answer = client.fetch(request, LOAD_TIME).await?;
    let answer: ApplyAnswer = serde_json::from_slice(&answer.body)?;
    ensure!(matches!(answer, ApplyAnswer::Accepted { .. }), "not applied: {answer:?}");
    Ok(())
}

/// A tree with one engine and one model.
fn tree_files(engine_address: &str) -> TreeFiles {
    let hash = blake3_hex(CALLER_KEY);
    let files = [
        (
            "root.toml",
            format!("deployment = \"bench\"\n[callers.bench]\nkey_blake3 = \"{hash}\"\n"),
        ),
        ("r/region.toml", "halls = [\"h\"]\n".to_string()),
        (
            "r/s/service.toml",
            format!(
                "kind = \"engines\"\n[policy]\nspare_engines = 0\n[[backends]]\nid = \"engine\"\n\
                 address = \"{engine_address}\"\nhall = \"h\"\naccelerators = 1\n\
                 accelerator_mib = 24576\nchecks_fence = true\n"
            ),
        ),
        ("r/s/m/model.toml", "version = \"1\"\nweights_mib = 1024\n".to_string()),
    ];
    TreeFiles(files.into_iter().map(|(path, text)| (path.to_string(), text)).collect())
}

fn blake3_hex(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}
