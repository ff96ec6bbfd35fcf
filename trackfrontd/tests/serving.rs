//! The parts of a serving node that need no network: settings and the log queue.

use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use trackfrontd::serving::feed_relay::{reader_timeout, successor_delay};
use trackfrontd::serving::log_queue;
use trackfrontd::serving::settings::ServingSettings;

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
fn promises_that_are_not_given_have_defaults() {
    let settings = ServingSettings::parse(SETTINGS).expect("valid");
    assert_eq!(settings.promises.drain(), Duration::from_secs(2));
    let given = format!("{SETTINGS}[promises]\ngrace_s = 3\n");
    let settings = ServingSettings::parse(&given).expect("valid");
    assert_eq!(settings.promises.grace(), Duration::from_secs(3));
}

#[test]
fn faults_in_settings_name_the_key() {
    let cases = [
        (SETTINGS.replace("cores = 1", "cores = 0"), "[resources]"),
        (SETTINGS.replace("zone = ", "zome = "), "zome"),
        (SETTINGS.replace("127.0.0.1:2", "127.0.0.1:1"), "listen.readiness"),
        (SETTINGS.replace("cores = 1", "cores = 1\nlink_mbps = 0"), "resources.link_mbps"),
        (SETTINGS.replace("cores = 1", "cores = 1\nlink_mbps = nan"), "resources.link_mbps"),
        (format!("{SETTINGS}[promises]\nretry_ratio = -1\n"), "promises.retry_ratio"),
        (format!("{SETTINGS}[promises]\nretry_window_s = 0\n"), "promises.retry_window_s"),
        (format!("{SETTINGS}[promises]\ngrace_s = inf\n"), "promises.grace_s"),
        (SETTINGS.replace("address = \"127.0.0.1:5\"", "address = \"store\""), "address"),
    ];
    for (text, key) in cases {
        let message = ServingSettings::parse(&text).expect_err(key);
        assert!(message.contains(key), "{key}: {message}");
    }
}

/// An output whose reader has stalled until it is let go.
#[derive(Clone, Default)]
struct Stalled {
    written: Arc<Mutex<Vec<u8>>>,
    writes: Arc<AtomicUsize>,
    gate: Arc<(Mutex<bool>, std::sync::Condvar)>,
}

impl Write for Stalled {
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
fn a_stalled_reader_of_the_log_holds_nothing_up_and_loses_are_counted() {
    let output = Stalled::default();
    let lines = log_queue::start("n", log::LevelFilter::Info, output.clone()).expect("first");
    let start = Instant::now();
    for number in 0..20_000u64 {
        log::info!(number, text = "x"; "event");
    }
    // Twenty thousand lines into a queue of four thousand: nobody waited for the reader.
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
    assert_eq!((first["event"].as_str(), first["node"].as_str()), (Some("event"), Some("n")));
    assert!(text.contains("log lines dropped"));
}

/// Where the first boxes of a hall are cut off from the store and do not know it yet, the others learn within the
/// promised time all the same. With waits that grow from the second on the fifth box learned after 1.2 times that.
#[test]
fn eight_boxes_of_a_hall_read_within_the_promised_time() {
    let drain = Duration::from_millis(4_000);
    let reads_after = |rank| reader_timeout(drain) + successor_delay(rank, drain);
    assert_eq!(reads_after(1), reader_timeout(drain), "the first successor does not wait longer");
    let waits: Vec<_> = (1..=8).map(reads_after).collect();
    assert!(waits.is_sorted(), "{waits:?}");
    assert!(waits[7] <= drain.mul_f64(0.85) + Duration::from_millis(1), "{waits:?}");
    assert!(reads_after(9) > drain, "an outage of the store is not asked about by all");
}
