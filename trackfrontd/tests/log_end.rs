//! The last log lines before a program exits.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use trackfrontd::serving::log_queue;

/// An output with slow writes.
#[derive(Clone, Default)]
struct SlowOutput(Arc<Mutex<Vec<u8>>>);

impl Write for SlowOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        std::thread::sleep(Duration::from_millis(500));
        self.0.lock().expect("no panic").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against an exit before the last lines are written. At each examined stop of a box with
/// one core, the log lacked the final `stopped` line, because the writer thread was not scheduled
/// before the exit.
#[test]
fn exit_waits_for_the_last_lines_with_a_timeout() {
    let output = SlowOutput::default();
    let lines = log_queue::start("n", log::LevelFilter::Info, output.clone()).expect("first");
    log::info!("stopping");
    log::info!("stopped");
    assert!(lines.wait_until_written(Duration::from_secs(5)));
    let text = String::from_utf8(output.0.lock().expect("no panic").clone()).expect("text");
    assert!(text.contains("\"event\":\"stopped\""), "{text}");
    log::info!("more");
    let start = Instant::now();
    assert!(!lines.wait_until_written(Duration::from_millis(20)), "its write takes 500 ms");
    assert!(start.elapsed() < Duration::from_millis(450), "{:?}", start.elapsed());
}
