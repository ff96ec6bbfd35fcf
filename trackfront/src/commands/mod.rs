//! The commands.

pub mod apply;
mod audit;
mod check;
mod diff;
mod explain;
mod explain_request;
mod hash_key;
mod held_off;
mod losses;
mod status;

use std::path::Path;

use anyhow::Context;
use trackfront_core::tree::{Tree, TreeErrors, TreeFiles, build, check as tree_check};

use crate::cli::{Cli, Command};
use crate::client::print_json;
use crate::exit::Exit;

/// Carries out a command.
pub async fn run(cli: Cli) -> anyhow::Result<Exit> {
    match cli.command {
        Command::Check(args) => check::run(&args),
        Command::Diff(args) => diff::run(&args).await,
        Command::Apply(args) => apply::run(&args).await,
        Command::Status(args) => status::run(&args).await,
        Command::Explain(args) => explain::run(&args),
        Command::ExplainRequest(args) => explain_request::run(&args),
        Command::Losses(args) => losses::run(&args),
        Command::HeldOff(args) => held_off::list(&args).await,
        Command::LetGo(args) => held_off::let_go(&args).await,
        Command::Audit(args) => audit::run(&args).await,
        Command::HashKey(_) => hash_key::run(),
    }
}

/// Reads the files of the tree in `folder`.
fn read_files(folder: &Path) -> anyhow::Result<TreeFiles> {
    TreeFiles::read(folder).with_context(|| format!("cannot read the tree in {}", folder.display()))
}

/// Builds and checks a tree.
fn build_checked(files: &TreeFiles) -> Result<Tree, TreeErrors> {
    let tree = build(files)?;
    tree_check::check(&tree)?;
    Ok(tree)
}

/// Prints the faults of a tree.
fn print_faults(errors: &TreeErrors, json: bool) -> Exit {
    if json {
        let faults: Vec<String> = errors.0.iter().map(ToString::to_string).collect();
        print_json(&faults);
    } else {
        eprintln!("{errors}");
    }
    Exit::Invalid
}
