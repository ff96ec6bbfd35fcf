//! Load and measurement: one subcommand a question, figures as JSON lines, seeds fixed.

#![warn(clippy::all)]

mod baselines;
mod burst;
mod capacity;
mod cli;
mod control;
mod demand;
mod drain;
mod fences;
mod figures;
mod moves;
mod path;
mod paused;
mod plan;
mod repeat;
mod route;
mod serving_list;
mod serving_plan;
mod spread;

use cli::{Cli, Question};

fn main() -> anyhow::Result<()> {
    let cli: Cli = argh::from_env();
    match cli.question {
        Question::Path(args) => real(path::run(&args)),
        Question::Route(args) => route::run(&args),
        Question::Burst(args) => burst::run(&args),
        Question::Repeat(args) => repeat::run(&args),
        Question::Drain(args) => drain::run(&args),
        Question::Plan(args) => plan::run(&args),
        Question::ServingPlan(_) => serving_plan::run(),
        Question::ServingList(_) => serving_list::run(),
        Question::Fences(args) => fences::run(&args),
        Question::Moves(args) => moves::run(&args),
        Question::Spread(args) => spread::run(&args),
        Question::Control(args) => control::run(&args),
        Question::Capacity(args) => capacity::run(&args),
    }
}

/// Runs `job` on several threads and the real clock.
fn real(job: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    tokio::runtime::Runtime::new()?.block_on(job)
}
