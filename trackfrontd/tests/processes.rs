//! Entry boxes as separate processes that are killed, stopped or partitioned from the platform.
//!
//! Guards against models that are no longer served after their owner is lost, streams that a graceful stop
//! interrupts, and boxes that need the store to start.

use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use anyhow::{Context, bail, ensure};
use http::{Method, StatusCode};
use serde_json::json;
use trackfront_adapters::http_client::{Answer, HttpClient, HttpError, request, with_body};
use trackfront_adapters::wire::operator::{STATUS_PATH, Status};
use trackfront_core::ids::Revision;
use trackfront_core::ports::{ListedBox, ListedRole, ListedState};
use trackfront_standin::boxes::key;
use trackfront_standin::deployment::Platform;
use trackfront_standin::small::{CALLER_KEY, REGION, SERVICE, Small, Spec, apply};

/// The maximum time of any wait. No test asserts a shorter time.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// The maximum time of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A box that runs as a separate process with its own loopback address.
struct BoxProcess {
    child: Child,
    ip: String,
    hall: String,
    folder: PathBuf,
}

impl BoxProcess {
    fn start(platform: &Platform, test: u8, index: u8, hall: &str) -> anyhow::Result<BoxProcess> {
        // The address depends on the test process, so that concurrent test runs use different ones.
        let run = std::process::id() % 60_000;
        let ip = format!("127.{}.{}.{}", 100 + run / 250 % 100, run % 250 + 1, test * 20 + index);
        let folder = std::env::temp_dir().join(format!("trackfront-test-{run}-{test}-{index}"));
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("key"), key().authorization().replace("Bearer ", ""))?;
        let settings = format!(
            "[place]\nname = \"box-{index}\"\nregion = \"{REGION}\"\nhall = \"{hall}\"\n\
             [listen]\ncallers = \"{ip}:8080\"\noperators = \"{ip}:8081\"\n\
             peers = \"{ip}:8082\"\n\
             [platform]\ntable = \"{}\"\nobjects = \"{}\"\nboxes = \"{}\"\n\
             [key]\nfile = \"key\"\n[log]\nlevel = \"warn\"\n",
            platform.table_address, platform.objects_address, platform.boxes_address
        );
        let path = folder.join("box.toml");
        std::fs::write(&path, settings)?;
        let child = Command::new(env!("CARGO_BIN_EXE_trackfrontd"))
            .arg("--settings")
            .arg(&path)
            .stderr(Stdio::null())
            .spawn()?;
        Ok(BoxProcess { child, ip, hall: hall.into(), folder })
    }

    fn callers(&self) -> String {
        format!("{}:8080", self.ip)
    }

    fn operators(&self) -> String {
        format!("{}:8081", self.ip)
    }

    fn listed(&self) -> ListedBox {
        ListedBox {
            address: format!("{}:8082", self.ip),
            role: ListedRole::Entry,
            hall: self.hall.as_str().into(),
            state: ListedState::Live,
        }
    }

    /// Sends SIGTERM, as the platform does for a graceful stop.
    fn terminate(&self) -> anyhow::Result<()> {
        let status = Command::new("kill").arg("-TERM").arg(self.child.id().to_string()).status()?;
        ensure!(status.success(), "SIGTERM could not be sent");
        Ok(())
    }

    async fn wait_exit(&mut self) -> anyhow::Result<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < TEST_TIMEOUT {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        bail!("the box does not exit")
    }

    async fn status(&self) -> anyhow::Result<Status> {
        let builder = request(Method::GET, &self.operators(), STATUS_PATH)
            .header("authorization", key().authorization());
        let answer = HttpClient::default().fetch(with_body(builder, "")?, REQUEST_TIMEOUT).await?;
        serde_json::from_slice(&answer.body).context("the status does not decode")
    }

    async fn complete(&self, model: &str, tokens: u64) -> Result<Answer, HttpError> {
        let body = json!({"model": model, "prompt": "x", "stream": true, "max_tokens": tokens});
        let builder = request(Method::POST, &self.callers(), "/v1/completions")
            .header("authorization", format!("Bearer {CALLER_KEY}"));
        HttpClient::default().fetch(with_body(builder, body.to_string())?, REQUEST_TIMEOUT).await
    }

    /// Sends requests until one for `model` is answered.
    async fn wait_answer(&self, model: &str) -> anyhow::Result<()> {
        let start = Instant::now();
        let mut last = String::new();
        while start.elapsed() < TEST_TIMEOUT {
            match self.complete(model, 2).await {
                Ok(answer) if answer.status == StatusCode::OK => return Ok(()),
                Ok(answer) => last = String::from_utf8_lossy(&answer.body).into_owned(),
                Err(error) => last = error.to_string(),
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        bail!("{model} is not answered: {last}")
    }
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn start_boxes(small: &Small, test: u8, count: u8) -> anyhow::Result<Vec<BoxProcess>> {
    let halls = ["a", "b"];
    let boxes = (0..count)
        .map(|index| {
            let hall = halls[usize::from(index) % halls.len()];
            BoxProcess::start(&small.platform, test, index + 1, hall)
        })
        .collect::<anyhow::Result<Vec<_>>>()?;
    list(small, &boxes);
    Ok(boxes)
}

fn list(small: &Small, boxes: &[BoxProcess]) {
    small.platform.boxes.set(boxes.iter().map(BoxProcess::listed).collect());
}

/// Waits until a box answers its operators.
async fn wait_up(entry: &BoxProcess) -> anyhow::Result<()> {
    let start = Instant::now();
    while start.elapsed() < TEST_TIMEOUT {
        if entry.status().await.is_ok() {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    bail!("the box does not come up")
}

async fn start(test: u8, count: u8) -> anyhow::Result<(Small, Vec<BoxProcess>)> {
    let small = Small::start_without_boxes(&Spec::default()).await?;
    let boxes = start_boxes(&small, test, count)?;
    wait_up(&boxes[0]).await?;
    apply(&boxes[0].operators(), "first", Revision(0), small.files.clone()).await?;
    for entry in &boxes {
        entry.wait_answer("letter").await?;
    }
    Ok((small, boxes))
}

/// Returns the index of the box that owns the service with models.
async fn find_owner(boxes: &[BoxProcess]) -> anyhow::Result<usize> {
    let start = Instant::now();
    while start.elapsed() < TEST_TIMEOUT {
        for (index, entry) in boxes.iter().enumerate() {
            let status = entry.status().await;
            let owns = status.is_ok_and(|status| {
                status.shards.iter().any(|shard| shard.shard.service.as_str() == SERVICE)
            });
            if owns {
                return Ok(index);
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    bail!("no box owns the service")
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_owner_is_replaced() -> anyhow::Result<()> {
    let (small, mut boxes) = start(1, 3).await?;
    let owner = find_owner(&boxes).await?;
    let mut killed = boxes.remove(owner);
    killed.child.kill()?;
    killed.child.wait()?;
    // The other boxes still serve the models that are loaded.
    for entry in &boxes {
        entry.wait_answer("letter").await?;
    }
    // The next owner has a larger fencing token and places a new model.
    let mut files = small.files.clone();
    let path = format!("{REGION}/{SERVICE}/late/model.toml");
    files.0.insert(path, "version = \"1\"\nweights_mib = 1024\n".into());
    apply(&boxes[0].operators(), "second", Revision(1), files).await?;
    for entry in &boxes {
        entry.wait_answer("late").await?;
    }
    let next = find_owner(&boxes).await?;
    let status = boxes[next].status().await?;
    ensure!(status.shards[0].fence.0 > 1, "the fencing token did not grow");
    for engine in small.backends.engines.values() {
        ensure!(engine.counts().overcommits == 0, "an engine had to refuse an overcommit");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_stop_interrupts_no_stream() -> anyhow::Result<()> {
    let (_small, mut boxes) = start(2, 2).await?;
    let tokens = 400;
    let mut leaving = boxes.remove(0);
    let (answer, ()) = tokio::join!(leaving.complete("letter", tokens), async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        leaving.terminate().expect("the signal is sent");
    });
    let text = String::from_utf8_lossy(&answer?.body).into_owned();
    ensure!(text.ends_with("data: [DONE]\n\n"), "the stream was cut: {text}");
    ensure!(text.matches("text_completion").count() as u64 == tokens, "tokens are missing");
    let status = leaving.wait_exit().await?;
    ensure!(status.success(), "the box ended with {status}");
    boxes[0].wait_answer("letter").await
}

#[tokio::test(flavor = "multi_thread")]
async fn box_that_starts_while_the_store_is_down_gets_the_tree_from_a_peer() -> anyhow::Result<()> {
    let (small, mut boxes) = start(3, 2).await?;
    small.platform.table.faults.change(|faults| faults.down = true);
    small.platform.objects.faults.change(|faults| faults.down = true);
    boxes.push(BoxProcess::start(&small.platform, 3, 9, "b")?);
    list(&small, &boxes);
    let late = boxes.last().context("it was just added")?;
    late.wait_answer("letter").await?;
    ensure!(late.status().await?.revision == Revision(1), "another revision is in force");
    Ok(())
}
