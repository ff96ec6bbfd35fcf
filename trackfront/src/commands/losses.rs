//! `trackfront losses`

use std::collections::BTreeMap;

use crate::cli::Losses as LossesArgs;
use crate::client::print_json;
use crate::exit::Exit;
use crate::logs::read_logs;
use crate::losses::{LossCounter, Losses, Spread};
use crate::story::StoryError;

/// Prints what requests were lost to by the logs of boxes.
pub fn run(args: &LossesArgs) -> anyhow::Result<Exit> {
    let mut counter = LossCounter::default();
    let read = read_logs(&args.logs, |line| counter.take(line.as_ref()))?;
    let losses = counter.sum_up();
    if losses.lines == 0 {
        return Err(StoryError::NoLog { lines: read }.into());
    }
    match args.json {
        true => print_json(&losses),
        false => print(&losses),
    }
    Ok(Exit::Done)
}

fn print(losses: &Losses) {
    println!("{} lines of boxes, {} others", losses.lines, losses.foreign);
    for (outcome, causes) in &losses.ended {
        println!("{outcome}: {}", causes.values().sum::<usize>());
        print_counts(causes.iter().filter(|(cause, _)| !cause.is_empty()));
    }
    println!("by client account:");
    for (account, outcomes) in &losses.by_account {
        println!("  {account}: {}", in_one_line(outcomes));
    }
    println!("refused as not run, by second:");
    for (second, causes) in &losses.refused_by_second {
        println!("  {second} s: {}", in_one_line(causes));
    }
    println!("refusals by servers:");
    print_counts(losses.refused_by_servers.iter());
    println!("sends that failed:");
    print_counts(losses.failed_sends.iter());
    println!("unanswered around a suspension or standstill of the box:");
    print_counts(losses.around_standstills.iter());
    println!("held, in milliseconds (p10, p50, p90):");
    for (what, spread) in &losses.held_ms {
        print_spread(what, spread);
    }
    println!("first event over what was expected (p10, p50, p90):");
    print_spread("all", &losses.first_event_ratio);
}

fn print_counts<'a>(counts: impl Iterator<Item = (&'a String, &'a usize)>) {
    for (what, count) in counts {
        println!("  {count} {what}");
    }
}

fn in_one_line(counts: &BTreeMap<String, usize>) -> String {
    let parts: Vec<_> = counts.iter().map(|(what, count)| format!("{count} {what}")).collect();
    parts.join(", ")
}

fn print_spread(what: &str, spread: &Spread) {
    let [low, middle, high] = spread.quantiles;
    println!("  {} {what}: {low:.2}, {middle:.2}, {high:.2}", spread.count);
}
