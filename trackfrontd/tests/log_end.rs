//! The last lines of a program's log.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use trackfrontd::serving::log_queue;

/// An output that takes its time for each write.
#[derive(Clone, Default)]
struct Slow(Arc<Mutex<Vec<u8>>>);

impl Write for Slow {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        std::thread::sleep(Duration::from_millis(500));
        self.0.lock().expect("no panic").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// What was seen: of all stops on days that were looked at, no log had the line that says so. The thread that
/// writes the log got no turn between that line and the end of a box with one core.
#[test]
fn the_end_waits_for_the_last_lines_but_not_for_ever() {
    let output = Slow::default();
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
