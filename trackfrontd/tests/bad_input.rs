//! Invalid requests. Each case is a TOML file with a request and the expected answer.
//!
//! Guards against invalid requests that are accepted, or after which the box no longer serves valid ones.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::OnceLock;
use std::time::Duration;

use http::{Method, StatusCode};
use serde::Deserialize;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use trackfront_adapters::http_client::{Answer, HttpClient, request, with_body};
use trackfront_standin::small::{CALLER_KEY, OTHER_KEY, Small, Spec};

/// The maximum time for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A case.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    #[serde(default = "post")]
    method: String,
    path: String,
    #[serde(default)]
    headers: BTreeMap<String, String>,
    #[serde(default)]
    body: String,
    /// The number of spaces added to the body.
    #[serde(default)]
    pad: usize,
    /// The number of headers added.
    #[serde(default)]
    more_headers: usize,
    /// Whether the connection is closed after the first half of the request.
    #[serde(default)]
    cut: bool,
    /// The caller whose key is sent: `desk`, `guest`, or none.
    #[serde(default = "desk")]
    caller: String,
    status: u16,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    says: String,
}

fn post() -> String {
    "POST".into()
}

fn desk() -> String {
    "desk".into()
}

/// Returns the deployment that all cases share.
fn shared() -> &'static (Runtime, Small) {
    static SHARED: OnceLock<(Runtime, Small)> = OnceLock::new();
    SHARED.get_or_init(|| {
        let runtime = Runtime::new().expect("a runtime starts");
        let small = runtime.block_on(Small::start(&Spec::default(), 1)).expect("it starts");
        (runtime, small)
    })
}

async fn send(address: &str, case: &Case) -> datatest_stable::Result<Answer> {
    let method = Method::from_bytes(case.method.as_bytes())?;
    let mut builder = request(method, address, &case.path);
    for (name, value) in &case.headers {
        builder = builder.header(name, value);
    }
    for index in 0..case.more_headers {
        builder = builder.header(format!("x-more-{index}"), "1");
    }
    match case.caller.as_str() {
        "desk" => builder = builder.header("authorization", format!("Bearer {CALLER_KEY}")),
        "guest" => builder = builder.header("authorization", format!("Bearer {OTHER_KEY}")),
        _ => {}
    }
    let body = format!("{}{}", case.body, " ".repeat(case.pad));
    Ok(HttpClient::default().fetch(with_body(builder, body)?, ANSWER_TIMEOUT).await?)
}

/// Sends half a request and closes the connection.
async fn send_half(address: &str, case: &Case) -> datatest_stable::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    let head = format!(
        "{} {} HTTP/1.1\r\nhost: box\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         content-length: {}\r\n\r\n",
        case.method,
        case.path,
        case.body.len() * 2
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(case.body.as_bytes()).await?;
    stream.shutdown().await?;
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await?;
    let text = String::from_utf8_lossy(&rest).into_owned();
    let expected = format!("HTTP/1.1 {} ", case.status);
    if text.is_empty() || text.starts_with(&expected) { Ok(()) } else { Err(text.into()) }
}

async fn check_refusal(address: &str, case: &Case) -> datatest_stable::Result<()> {
    let answer = send(address, case).await?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    if answer.status.as_u16() != case.status {
        return Err(format!("status {}: {text}", answer.status).into());
    }
    if case.kind.is_empty() {
        return Ok(());
    }
    let problem: Value = serde_json::from_str(&text)?;
    let fits = problem["title"] == case.kind.as_str()
        && problem["outcome"] == "not_run"
        && problem["detail"].as_str().is_some_and(|detail| detail.contains(&case.says))
        && answer.headers["content-type"] == "application/problem+json";
    if fits { Ok(()) } else { Err(format!("another problem: {text}").into()) }
}

/// Checks that the box answers a valid request.
async fn check_serves(address: &str) -> datatest_stable::Result<()> {
    let good = Case {
        method: post(),
        path: "/v1/completions".into(),
        headers: BTreeMap::new(),
        body: r#"{"model": "letter", "prompt": "x", "max_tokens": 1, "unknown_field": [1]}"#.into(),
        pad: 0,
        more_headers: 0,
        cut: false,
        caller: desk(),
        status: 200,
        kind: String::new(),
        says: String::new(),
    };
    let answer = send(address, &good).await?;
    let text = String::from_utf8_lossy(&answer.body);
    if answer.status == StatusCode::OK { Ok(()) } else { Err(format!("not well: {text}").into()) }
}

fn run(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = toml::from_str(&std::fs::read_to_string(path)?)?;
    let (runtime, small) = shared();
    let address = small.callers(0);
    runtime.block_on(async {
        if case.cut {
            send_half(&address, &case).await?;
        } else {
            check_refusal(&address, &case).await?;
        }
        check_serves(&address).await
    })
}

datatest_stable::harness! {
    { test = run, root = "tests/bad_input", pattern = r"\.toml$" },
}
