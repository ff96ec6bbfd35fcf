//! The last log line of a process that ends itself.

use std::process::Command;
use std::time::Duration;

use trackfrontd::logging::abort_on_panic;
use trackfrontd::serving::log_queue;

/// Set for the process that panics.
const CHILD_VARIABLE: &str = "TRACKFRONT_TEST_PANICS";

const FLUSH_TIME: Duration = Duration::from_secs(5);

/// Guards against a box that ends with code 134 and no log line about it: the line was queued for the thread that
/// writes the log, and the process ended first.
#[test]
fn panic_is_logged_before_the_process_ends() {
    if std::env::var_os(CHILD_VARIABLE).is_some() {
        panic_with_log();
    }
    let program = std::env::current_exe().expect("this program");
    let output = Command::new(program)
        .args(["--exact", "panic_is_logged_before_the_process_ends", "--nocapture"])
        .env(CHILD_VARIABLE, "1")
        .output()
        .expect("the program starts");
    let log = String::from_utf8_lossy(&output.stdout);
    assert!(!output.status.success());
    assert!(log.contains("the box ends itself") && log.contains("broken promise"), "{log}");
}

fn panic_with_log() {
    let queue = log_queue::start("node", log::LevelFilter::Info, std::io::stdout()).expect("once");
    abort_on_panic(move || {
        queue.wait_until_written(FLUSH_TIME);
    });
    panic!("broken promise");
}
