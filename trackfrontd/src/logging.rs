//! Logs as JSON lines on standard error.

use std::fmt;
use std::time::SystemTime;

use anyhow::Context;
use serde::Serialize;

use crate::settings::LogSettings;

/// One line of the log.
#[derive(Serialize)]
struct Line<'a> {
    time: String,
    level: &'a str,
    target: &'a str,
    message: String,
}

/// Starts logging.
///
/// # Errors
///
/// If logging was started before.
pub fn start(settings: &LogSettings) -> anyhow::Result<()> {
    fern::Dispatch::new()
        .level(settings.level)
        .level_for("hyper", log::LevelFilter::Warn)
        .level_for("h2", log::LevelFilter::Warn)
        .format(|out, message, record| {
            out.finish(format_args!("{}", line(message, record)));
        })
        .chain(std::io::stderr())
        .apply()
        .context("cannot start logging")
}

/// Logs a panic and aborts the process, since a box whose assertion failed could break a guarantee. The
/// platform replaces it. `flush` waits until the line is written, if another thread writes the log.
pub fn abort_on_panic(flush: impl Fn() + Send + Sync + 'static) {
    std::panic::set_hook(Box::new(move |info| {
        log::error!("the box ends itself: {info}");
        flush();
        std::process::abort();
    }));
}

/// Formats a record.
fn line(message: &fmt::Arguments<'_>, record: &log::Record<'_>) -> String {
    let line = Line {
        time: humantime::format_rfc3339_millis(SystemTime::now()).to_string(),
        level: record.level().as_str(),
        target: record.target(),
        message: message.to_string(),
    };
    serde_json::to_string(&line).unwrap_or_default()
}
