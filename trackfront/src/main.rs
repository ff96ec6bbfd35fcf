//! The command-line tool for operators.

#![warn(clippy::all)]

use std::process::ExitCode;

use trackfront::cli::Cli;
use trackfront::commands;
use trackfront::exit::Exit;

fn main() -> ExitCode {
    let cli: Cli = argh::from_env();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("trackfront: cannot start: {error}");
            return Exit::Failed.into();
        }
    };
    match runtime.block_on(commands::run(cli)) {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("trackfront: {error:#}");
            Exit::Failed.into()
        }
    }
}
