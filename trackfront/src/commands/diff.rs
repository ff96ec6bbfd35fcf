//! `trackfront diff`

use trackfront_core::tree::build;
use trackfront_core::tree::diff::{FileChange, TreeDiff, diff};

use super::{build_checked, print_faults, read_files};
use crate::cli::Diff;
use crate::client::{OperatorClient, print_json};
use crate::exit::Exit;

/// Compares a tree with the one in force.
pub async fn run(args: &Diff) -> anyhow::Result<Exit> {
    let files = read_files(&args.tree)?;
    let tree = match build_checked(&files) {
        Ok(tree) => tree,
        Err(errors) => return Ok(print_faults(&errors, args.json)),
    };
    let client = OperatorClient::with_key_file(args.boxes.clone(), &args.key_file)?;
    let current = client.tree().await?;
    let built = current.as_ref().and_then(|snapshot| build(&snapshot.files).ok());
    let old = current.as_ref().map(|snapshot| &snapshot.files).zip(built.as_ref());
    let difference = diff(old, (&files, &tree));
    if args.json {
        print_json(&difference);
    } else {
        print(&difference);
    }
    Ok(Exit::Done)
}

fn print(difference: &TreeDiff) {
    if difference.files.is_empty() {
        println!("no difference");
    }
    for (path, change) in &difference.files {
        let word = match change {
            FileChange::Added => "added",
            FileChange::Removed => "removed",
            FileChange::Changed => "changed",
        };
        println!("{word:8} {path}");
    }
    for (title, lines) in [
        ("load", &difference.loads),
        ("unload", &difference.unloads),
        ("callers lose", &difference.removed_names),
    ] {
        for line in lines {
            println!("{title}: {line}");
        }
    }
}
