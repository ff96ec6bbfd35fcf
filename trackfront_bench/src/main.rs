//! Load and measurement: one subcommand a question, figures as JSON lines, seeds fixed.

#![warn(clippy::all)]

mod cli;
mod figures;
mod path;

use cli::{Cli, Question};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let cli: Cli = argh::from_env();
    match cli.question {
        Question::Path(args) => path::run(&args).await,
    }
}
