//! What the way through an entry box costs.
//!
//! The stand-in engine, the entry box and the load run in one process, and the same load is
//! sent directly to the engine and through the box in turn. The added times are differences
//! of quantiles; the requests a core are worked out from the difference in processor time.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use anyhow::{Context, ensure};
use futures::StreamExt;
use futures::future::join_all;
use http::{Method, StatusCode};
use http_body_util::BodyDataStream;
use serde::Serialize;
use serde_json::json;
use trackfront_adapters::http_client::{HttpClient, request, with_body};
use trackfront_adapters::wire::engine::{MODEL_HEADER, REQUEST_ID_HEADER, VERSION_HEADER};
use trackfront_standin::small::{CALLER_KEY, Small, Spec};

use crate::cli::Path;
use crate::figures::{Quantiles, Times, print, processor_time};

/// The only model.
const MODEL: &str = "letter";

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
    _small: Small,
}

impl Bench {
    async fn start(tokens: u64) -> anyhow::Result<Arc<Bench>> {
        let spec = Spec {
            halls: vec!["a".into()],
            engines: 1,
            models: vec![(MODEL.into(), vec![])],
            policy: "spare_engines = 0".into(),
            // Fast tokens, so that the box and not the engine is what takes time.
            tune: |config| {
                config.max_batch = FULL_LOAD;
                config.token_us = 2_000;
                config.token_us_per_request = 0;
            },
            ..Spec::default()
        };
        let small = Small::start(&spec, 1).await?;
        let (_, engine) = small
            .tree
            .backends()
            .find(|(id, _)| id.as_str() == "engine-0")
            .context("there is an engine")?;
        Ok(Arc::new(Bench {
            client: HttpClient::default(),
            engine_address: engine.address.clone(),
            box_address: small.callers(0),
            tokens,
            next: AtomicUsize::new(0),
            _small: small,
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
            "model": MODEL, "prompt": "Draft the letter.", "stream": true,
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
            .header(MODEL_HEADER, MODEL)
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
