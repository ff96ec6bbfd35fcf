//! A whole small deployment in one process: stand-ins, three entry boxes, a tree, requests.
//!
//! ```text
//! cargo run --release --example quickstart -- examples/rueda [--once]
//! ```

use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context, bail, ensure};
use argh::FromArgs;
use http::{Method, StatusCode};
use serde_json::json;
use trackfront::cli::Command;
use trackfront::commands;
use trackfront::exit::Exit;
use trackfront_adapters::http_client::{Answer, HttpClient, request, with_body};
use trackfront_core::tree::{ServiceKind, Tree, TreeFiles, build};
use trackfront_standin::boxes;
use trackfront_standin::deployment::{Backends, Platform, WeightSpeed};
use trackfront_standin::table::TableLimits;
use trackfrontd::daemon::Daemon;

/// How many entry boxes are started.
const BOXES: usize = 3;

/// How long the models may take to be loaded.
const LOAD_TIME: Duration = Duration::from_secs(60);

/// How long a request may take.
const REQUEST_TIME: Duration = Duration::from_secs(20);

/// Starts a small deployment, applies a tree to it, and sends requests through every box.
#[derive(FromArgs)]
struct Args {
    /// the tree's folder, such as examples/rueda
    #[argh(positional)]
    tree: PathBuf,

    /// exit after the requests instead of staying up
    #[argh(switch)]
    once: bool,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let files = TreeFiles::read(&args.tree)
        .with_context(|| format!("cannot read the tree in {}", args.tree.display()))?;
    let tree = build(&files)?;
    let platform = Platform::start("127.0.0.1", TableLimits::default()).await?;
    let _backends = Backends::start(&tree, WeightSpeed::default()).await?;
    let daemons = boxes::start(&platform, &tree, BOXES).await?;
    println!("{} entry boxes and {} backend servers run", BOXES, tree.backends().count());

    apply(&args, &daemons).await?;
    let loaded = boxes::wait_reachable(&daemons, LOAD_TIME).await?;
    println!("every model and adapter answers after {} ms", loaded.as_millis());

    for daemon in &daemons {
        check_box(daemon, &tree).await?;
    }
    if args.once {
        println!("all requests were answered");
        return Ok(());
    }
    print_curl_lines(&daemons, &tree)?;
    tokio::signal::ctrl_c().await?;
    Ok(())
}

/// Applies the tree through the command-line tool's own code, on a copy of the folder, since
/// the tool notes the revision beside the tree.
async fn apply(args: &Args, daemons: &[Daemon]) -> anyhow::Result<()> {
    let scratch =
        std::env::temp_dir().join(format!("trackfront-quickstart-{}", std::process::id()));
    let folder = scratch.join("tree");
    copy_tree(&TreeFiles::read(&args.tree)?, &folder)?;
    let key_file = scratch.join("key");
    std::fs::write(&key_file, boxes::key().authorization().trim_start_matches("Bearer "))?;
    let command = Command::Apply(trackfront::cli::Apply {
        tree: folder,
        boxes: daemons.iter().map(|daemon| daemon.listen.operators.to_string()).collect(),
        key_file,
        author: "quickstart".into(),
        reason: "first tree".into(),
        base: None,
        allow_removals: false,
        wait_ms: Some(4_000),
        json: false,
    });
    let exit = commands::run(trackfront::cli::Cli { command }).await;
    std::fs::remove_dir_all(&scratch)?;
    match exit? {
        Exit::Done => Ok(()),
        other => bail!("the tree was not applied: {other:?}"),
    }
}

fn copy_tree(files: &TreeFiles, folder: &std::path::Path) -> anyhow::Result<()> {
    for (path, text) in &files.0 {
        let path = folder.join(path);
        std::fs::create_dir_all(path.parent().context("a file has a folder")?)?;
        std::fs::write(path, text)?;
    }
    Ok(())
}

/// What the requests of the example ask for.
struct Sample {
    caller_key: String,
    model: String,
    adapter: String,
    service: String,
    route: String,
}

fn sample(tree: &Tree) -> anyhow::Result<Sample> {
    let caller = tree.callers.keys().next().context("the tree has no caller")?;
    let (model, adapter) = tree
        .shards()
        .flat_map(|(_, service)| service.models())
        .find_map(|(name, model)| Some((name, model.adapters.keys().next()?)))
        .context("the tree has no adapter")?;
    let (service, route) = tree
        .shards()
        .find_map(|(shard, service)| match &service.kind {
            ServiceKind::Plain { routes } => {
                let route = routes.iter().find(|route| !route.repeatable)?;
                Some((shard.service.to_string(), route.path.clone()))
            }
            ServiceKind::Engines { .. } => None,
        })
        .context("the tree has no plain service with a route that may not be repeated")?;
    Ok(Sample {
        caller_key: format!("{caller}-example-key"),
        model: model.to_string(),
        adapter: adapter.to_string(),
        service,
        route,
    })
}

/// Sends a request for a model, an adapter and a plain service through one box.
async fn check_box(daemon: &Daemon, tree: &Tree) -> anyhow::Result<()> {
    let sample = sample(tree)?;
    let client = HttpClient::default();
    let address = daemon.listen.callers.to_string();
    let chat = json!({
        "model": sample.adapter, "stream": true, "max_tokens": 4,
        "messages": [{"role": "user", "content": "Summarise the damage to the left door."}],
    });
    let completion = json!({"model": sample.model, "prompt": "Draft the letter.", "max_tokens": 4});
    let call = json!({"example": true});
    let plain = format!("/services/{}{}", sample.service, sample.route);
    // Only the last call may not be repeated; it runs once under this key.
    let key = format!("quickstart-{}", daemon.shared.me);
    let requests = [
        ("/v1/chat/completions".to_string(), chat),
        ("/v1/completions".to_string(), completion),
        (plain.clone(), call),
    ];
    for (path, body) in requests {
        let builder = request(Method::POST, &address, &path)
            .header("authorization", format!("Bearer {}", sample.caller_key))
            .header("content-type", "application/json");
        let builder = match path == plain {
            true => builder.header("idempotency-key", &key),
            false => builder,
        };
        let answer = client.fetch(with_body(builder, body.to_string())?, REQUEST_TIME).await?;
        check_answer(&path, &answer)?;
        println!("{} {path}: {}", daemon.shared.place.hall, shorten(&answer));
    }
    Ok(())
}

fn check_answer(path: &str, answer: &Answer) -> anyhow::Result<()> {
    let text = String::from_utf8_lossy(&answer.body);
    ensure!(answer.status == StatusCode::OK, "{path} answers {}: {text}", answer.status);
    let is_stream = answer.headers.get("content-type").is_some_and(|t| t == "text/event-stream");
    ensure!(!is_stream || text.ends_with("data: [DONE]\n\n"), "{path} breaks off: {text}");
    Ok(())
}

/// Returns the start of an answer on one line.
fn shorten(answer: &Answer) -> String {
    let text = String::from_utf8_lossy(&answer.body).replace('\n', " ");
    text.chars().take(100).collect()
}

fn print_curl_lines(daemons: &[Daemon], tree: &Tree) -> anyhow::Result<()> {
    let sample = sample(tree)?;
    println!("\nThe deployment stays up until ctrl-c. Try:");
    for daemon in daemons {
        println!(
            "curl -N http://{}/v1/chat/completions -H 'authorization: Bearer {}' -d '{{\"model\": \
             \"{}\", \"stream\": true, \"messages\": [{{\"role\": \"user\", \"content\": \
             \"hello\"}}]}}'",
            daemon.listen.callers, sample.caller_key, sample.adapter
        );
    }
    let first = daemons.first().context("there is a box")?;
    println!(
        "curl http://{}/services/{}{} -H 'authorization: Bearer {}' -H 'idempotency-key: 1' -d \
         '{{}}'",
        first.listen.callers, sample.service, sample.route, sample.caller_key
    );
    println!(
        "curl http://{}/v1/models -H 'authorization: Bearer {}'",
        first.listen.callers, sample.caller_key
    );
    println!(
        "curl http://{}/metrics -H '{}'",
        first.listen.operators,
        format_args!("authorization: {}", boxes::key().authorization())
    );
    Ok(())
}
