//! `trackfront explain-request`

use serde_json::Value;

use crate::cli::ExplainRequest;
use crate::client::print_json;
use crate::exit::Exit;
use crate::logs::read_logs;
use crate::story::{LogLine, Story, story};

/// Prints what the logs of nodes tell of one request.
pub fn run(args: &ExplainRequest) -> anyhow::Result<Exit> {
    let mut lines = Vec::new();
    let read = read_logs(&args.logs, |line| lines.extend(line))?;
    let story = story(&args.request, &lines, read)?;
    match args.json {
        true => print_json(&story),
        false => print(&story),
    }
    Ok(Exit::Done)
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
