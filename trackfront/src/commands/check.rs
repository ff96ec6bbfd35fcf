//! `trackfront check`

use serde::Serialize;
use trackfront_core::tree::Tree;

use super::{build_checked, print_faults, read_files};
use crate::cli::Check;
use crate::client::print_json;
use crate::exit::Exit;

/// The sizes of a sound tree.
#[derive(Debug, Serialize)]
struct Sizes {
    deployment: String,
    services: usize,
    backends: usize,
    models: usize,
    adapters: usize,
}

/// Checks a tree and prints its sizes, or its faults.
pub fn run(args: &Check) -> anyhow::Result<Exit> {
    let files = read_files(&args.tree)?;
    let tree = match build_checked(&files) {
        Ok(tree) => tree,
        Err(errors) => return Ok(print_faults(&errors, args.json)),
    };
    let sizes = sizes(&tree);
    if args.json {
        print_json(&sizes);
    } else {
        println!(
            "{}: sound, with {} services, {} backend servers, {} models and {} adapters",
            sizes.deployment, sizes.services, sizes.backends, sizes.models, sizes.adapters
        );
    }
    Ok(Exit::Done)
}

fn sizes(tree: &Tree) -> Sizes {
    let models: Vec<_> = tree.shards().flat_map(|(_, service)| service.models()).collect();
    Sizes {
        deployment: tree.deployment.clone(),
        services: tree.shards().count(),
        backends: tree.backends().count(),
        models: models.len(),
        adapters: models.iter().map(|(_, model)| model.adapters.len()).sum(),
    }
}
