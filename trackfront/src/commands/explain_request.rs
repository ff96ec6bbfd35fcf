//! `trackfront explain-request`

use std::io::Read;
use std::path::Path;

use anyhow::Context;
use serde_json::Value;

use crate::cli::ExplainRequest;
use crate::client::print_json;
use crate::exit::Exit;
use crate::story::{LogLine, Story, story};

/// Prints what the logs of nodes tell of one request.
pub fn run(args: &ExplainRequest) -> anyhow::Result<Exit> {
    let mut lines = Vec::new();
    let mut read = 0;
    if args.logs.is_empty() {
        let mut text = Vec::new();
        std::io::stdin().read_to_end(&mut text).context("cannot read standard input")?;
        read += take(&text, "standard input", &mut lines);
    }
    for path in &args.logs {
        let text = std::fs::read(path)
            .with_context(|| format!("cannot read {}; name a log file", path.display()))?;
        read += take(&text, &source(path), &mut lines);
    }
    let story = story(&args.request, &lines, read)?;
    match args.json {
        true => print_json(&story),
        false => print(&story),
    }
    Ok(Exit::Done)
}

fn source(path: &Path) -> String {
    path.file_stem().map_or_else(String::new, |name| name.to_string_lossy().into_owned())
}

/// Takes the log lines of a text. Returns how many lines it has.
fn take(text: &[u8], source: &str, lines: &mut Vec<LogLine>) -> usize {
    let text = String::from_utf8_lossy(text);
    lines.extend(text.lines().filter_map(|line| LogLine::read(line, source)));
    text.lines().count()
}

fn print(story: &Story) {
    if !story.background.is_empty() {
        println!("what its node believed, and orders for its model:");
        story.background.iter().for_each(print_line);
    }
    println!("request {}:", story.request);
    story.lines.iter().for_each(print_line);
    match (&story.outcome, &story.cause) {
        (Some(outcome), Some(cause)) if !cause.is_empty() => println!("=> {outcome}: {cause}"),
        (Some(outcome), _) => println!("=> {outcome}"),
        (None, _) => println!("=> its end is not in these logs"),
    }
}

fn print_line(line: &LogLine) {
    let fields = line.fields.iter().filter(|(name, _)| *name != "request");
    let fields = fields.map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text:?}"),
        other => format!("{name}={other}"),
    });
    let fields = fields.collect::<Vec<_>>().join(" ");
    println!("  {} {} {}: {fields}", line.time, line.node, line.event);
}
