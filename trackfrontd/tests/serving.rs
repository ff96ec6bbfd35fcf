//! Parts of a serving node that need no network: settings, the log queue and the succession of feed
//! readers.

use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use trackfront_core::units::scaled;
use trackfrontd::serving::feed_relay::{reader_timeout, successor_delay};
use trackfrontd::serving::log_queue;
use trackfrontd::serving::settings::{BalancingSettings, ServingSettings};

const SETTINGS: &str = r#"
[node]
name = "n"
ip = "127.0.0.1"
zone = "z"
region = "r"
[listen]
clients = "127.0.0.1:1"
readiness = "127.0.0.1:2"
peers = 3
metrics = 4
[store]
address = "127.0.0.1:5"
[resources]
cores = 1
file_descriptors = 100
"#;

#[test]
fn missing_promises_have_defaults() {
    let settings = ServingSettings::parse(SETTINGS).expect("valid");
    assert_eq!(settings.promises.drain(), Duration::from_secs(2));
    let given = format!("{SETTINGS}[promises]\ngrace_s = 3\n");
    let settings = ServingSettings::parse(&given).expect("valid");
    assert_eq!(settings.promises.grace(), Duration::from_secs(3));
}

/// Guards against a deployment that was not asked and balances in another way after an upgrade.
#[test]
fn balancing_is_off_unless_given() {
    let settings = ServingSettings::parse(SETTINGS).expect("valid");
    assert_eq!(settings.balancing, BalancingSettings::default());
    assert!(!BalancingSettings::default().coordinated_loads);
    let given = format!("{SETTINGS}[balancing]\ncoordinated_loads = true\nbound_pauses = true\n");
    let balancing = ServingSettings::parse(&given).expect("valid").balancing;
    assert!(balancing.coordinated_loads && balancing.bounds_pauses() && !balancing.shares_fairly());
}

/// Guards against requests that declare what nobody asks for.
#[test]
fn pauses_and_shares_need_coordinated_loads() {
    let given = format!("{SETTINGS}[balancing]\nbound_pauses = true\nfair_shares = true\n");
    let balancing = ServingSettings::parse(&given).expect("valid").balancing;
    assert!(!balancing.bounds_pauses() && !balancing.shares_fairly());
}

#[test]
fn errors_in_settings_name_the_key() {
    let cases = [
        (SETTINGS.replace("cores = 1", "cores = 0"), "[resources]"),
        (SETTINGS.replace("zone = ", "zome = "), "zome"),
        (SETTINGS.replace("127.0.0.1:2", "127.0.0.1:1"), "listen.readiness"),
        (SETTINGS.replace("cores = 1", "cores = 1\nlink_mbps = 0"), "resources.link_mbps"),
        (SETTINGS.replace("cores = 1", "cores = 1\nlink_mbps = nan"), "resources.link_mbps"),
        (format!("{SETTINGS}[promises]\nretry_ratio = -1\n"), "promises.retry_ratio"),
        (format!("{SETTINGS}[promises]\nretry_window_s = 0\n"), "promises.retry_window_s"),
        (format!("{SETTINGS}[promises]\ngrace_s = inf\n"), "promises.grace_s"),
        (format!("{SETTINGS}[balancing]\ncoordinated_load = true\n"), "coordinated_load"),
        (SETTINGS.replace("address = \"127.0.0.1:5\"", "address = \"store\""), "address"),
    ];
    for (text, key) in cases {
        let message = ServingSettings::parse(&text).expect_err(key);
        assert!(message.contains(key), "{key}: {message}");
    }
}

/// An output that blocks until its gate is opened.
#[derive(Clone, Default)]
struct BlockedOutput {
    written: Arc<Mutex<Vec<u8>>>,
    writes: Arc<AtomicUsize>,
    gate: Arc<(Mutex<bool>, std::sync::Condvar)>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        let (open, changed) = &*self.gate;
        let mut open = open.lock().expect("no panic");
        while !*open {
            open = changed.wait(open).expect("no panic");
        }
        self.written.lock().expect("no panic").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn blocked_log_output_blocks_no_caller_and_dropped_lines_are_counted() {
    let output = BlockedOutput::default();
    let lines = log_queue::start("n", log::LevelFilter::Info, output.clone()).expect("first");
    let start = Instant::now();
    let absent: Option<u64> = None;
    for number in 0..20_000u64 {
        log::info!(number, text = "x", absent; "event");
    }
    // The queue holds four thousand of the twenty thousand lines, so the callers did not wait for
    // the output.
    assert!(start.elapsed() < Duration::from_secs(10));
    assert!(lines.dropped() > 10_000, "{}", lines.dropped());
    *output.gate.0.lock().expect("no panic") = true;
    output.gate.1.notify_all();
    let text =
        || String::from_utf8(output.written.lock().expect("no panic").clone()).expect("text");
    while !text().contains("log lines dropped") && start.elapsed() < Duration::from_secs(30) {
        std::thread::sleep(Duration::from_millis(10));
    }
    let text = text();
    let first: serde_json::Value =
        serde_json::from_str(text.lines().next().expect("a line")).expect("JSON");
    assert_eq!(first["number"], 0);
    assert_eq!(first.get("absent"), None, "fields without a value are left out");
    assert_eq!((first["event"].as_str(), first["node"].as_str()), (Some("event"), Some("n")));
    assert!(text.contains("log lines dropped"));
}

/// Guards against late successors of a feed reader: when the first boxes of a hall are cut off from
/// the store without knowing it, the others still have to read the feed within the drain time. With
/// delays that grew from the second successor on, the fifth box read after 1.2 times that.
#[test]
fn eight_successors_read_within_the_drain_time() {
    let drain = Duration::from_millis(4_000);
    let reads_after = |rank| reader_timeout(drain) + successor_delay(rank, drain);
    assert_eq!(reads_after(1), reader_timeout(drain), "the first successor does not wait longer");
    let waits: Vec<_> = (1..=8).map(reads_after).collect();
    assert!(waits.is_sorted(), "{waits:?}");
    assert!(waits[7] <= scaled(drain, 0.85) + Duration::from_millis(1), "{waits:?}");
    assert!(reads_after(9) > drain, "in an outage not all boxes call the store");
}
