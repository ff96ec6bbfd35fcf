//! The daemon of an entry box.

#![warn(clippy::all)]

use anyhow::Context;
use tokio::signal::unix::{SignalKind, signal};
use trackfrontd::cli::Cli;
use trackfrontd::daemon::Daemon;
use trackfrontd::logging;
use trackfrontd::settings::Settings;

fn main() -> anyhow::Result<()> {
    let cli: Cli = argh::from_env();
    let settings = Settings::read(&cli.settings)?;
    if cli.check {
        println!("{}: the settings are valid", cli.settings.display());
        return Ok(());
    }
    logging::start(&settings.log)?;
    logging::abort_on_panic(|| {});
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.workers)
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    runtime.block_on(run(settings))
}

/// Runs the daemon until SIGTERM or SIGINT, then finishes every request in progress.
async fn run(settings: Settings) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let daemon = Daemon::start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {},
        _ = interrupt.recv() => {},
    }
    daemon.stop().await;
    Ok(())
}
