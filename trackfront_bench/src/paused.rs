//! Runs on a paused clock: time passes only while nothing can run.

use std::future::Future;

/// Runs `job` to its end on a runtime of its own whose clock is paused.
pub fn run<T>(job: impl Future<Output = anyhow::Result<T>>) -> anyhow::Result<T> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()?
        .block_on(job)
}
