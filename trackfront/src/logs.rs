//! Reads the logs of boxes, line by line.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use anyhow::Context;

use crate::story::LogLine;

/// Reads log files, or standard input if there are none, and hands each line on; `None` for one that is no
/// log line. Returns how many lines there were.
pub fn read_logs(
    paths: &[PathBuf],
    mut take: impl FnMut(Option<LogLine>),
) -> anyhow::Result<usize> {
    if paths.is_empty() {
        let input = std::io::stdin().lock();
        return read(input, "standard input", &mut take).context("cannot read standard input");
    }
    let mut lines = 0;
    for path in paths {
        let unreadable = || format!("cannot read {}; name a log file", path.display());
        let file = File::open(path).with_context(unreadable)?;
        lines += read(BufReader::new(file), &source(path), &mut take).with_context(unreadable)?;
    }
    Ok(lines)
}

fn source(path: &Path) -> String {
    path.file_stem().map_or_else(String::new, |name| name.to_string_lossy().into_owned())
}

fn read(
    mut input: impl BufRead,
    source: &str,
    take: &mut impl FnMut(Option<LogLine>),
) -> std::io::Result<usize> {
    let mut lines = 0;
    let mut line = Vec::new();
    while input.read_until(b'\n', &mut line)? > 0 {
        lines += 1;
        // A line that is not text is no log line, but no reason to read no further.
        take(LogLine::read(&String::from_utf8_lossy(&line), source));
        line.clear();
    }
    Ok(lines)
}
