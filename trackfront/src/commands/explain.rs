//! `trackfront explain`

use anyhow::bail;
use serde::Serialize;
use trackfront_core::tree::{Policy, build};

use super::{print_faults, read_files};
use crate::cli::Explain;
use crate::client::print_json;
use crate::exit::Exit;

/// One explained key, as printed.
#[derive(Serialize)]
struct Explained {
    key: &'static str,
    value: String,
    set_by: String,
    about: &'static str,
}

/// Shows effective values and where they were set.
pub fn run(args: &Explain) -> anyhow::Result<Exit> {
    let files = read_files(&args.tree)?;
    let tree = match build(&files) {
        Ok(tree) => tree,
        Err(errors) => return Ok(print_faults(&errors, args.json)),
    };
    if let Some(key) = &args.key
        && !Policy::KEYS.contains(&key.as_str())
    {
        bail!("there is no key `{key}`; the keys are {}", Policy::KEYS.join(", "));
    }
    let Some(explained) = tree.explain(&args.path, args.key.as_deref()) else {
        bail!(
            "there is nothing at `{}`; give REGION/SERVICE, with /MODEL and /ADAPTER below",
            args.path
        );
    };
    let explained: Vec<Explained> = explained
        .into_iter()
        .map(|key| Explained {
            key: key.key,
            value: key.value,
            set_by: match &key.file {
                Some(file) => format!("{file}:{}", key.line),
                None => "built in".into(),
            },
            about: key.about,
        })
        .collect();
    if args.json {
        print_json(&explained);
        return Ok(Exit::Done);
    }
    for key in explained {
        println!("{} = {}  # {} ({})", key.key, key.value, key.set_by, key.about);
    }
    Ok(Exit::Done)
}
