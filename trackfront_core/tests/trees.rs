//! Faulty trees: each case is a TOML file with the files of a tree and the faults to expect.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;
use trackfront_core::tree::{TreeFiles, build, check};

/// One case.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    /// Files that go beside those of the sound tree, or replace them.
    #[serde(default)]
    files: BTreeMap<String, String>,
    /// Files of the sound tree that are left out.
    #[serde(default)]
    without: Vec<String>,
    /// The faults, each with the start of its line and a part of the rest.
    faults: Vec<Fault>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Fault {
    place: String,
    says: String,
}

/// A small tree without faults.
fn sound() -> BTreeMap<String, String> {
    let engine = |index: usize| {
        format!(
            "[[backends]]\nid = \"e{index}\"\naddress = \"127.0.0.1:{}\"\nhall = \"a\"\n\
             accelerators = 2\naccelerator_mib = 10000\n",
            9_000 + index
        )
    };
    [
        ("root.toml", "deployment = \"test\"\n".to_string()),
        ("r/region.toml", "halls = [\"a\"]\n".to_string()),
        ("r/s/service.toml", format!("kind = \"engines\"\n{}{}", engine(1), engine(2))),
        ("r/s/m/model.toml", "version = \"1\"\nweights_mib = 8000\n".to_string()),
        ("r/s/m/x.toml", "version = \"1\"\nweights_mib = 100\n".to_string()),
    ]
    .into_iter()
    .map(|(path, text)| (path.to_string(), text))
    .collect()
}

fn run(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = toml::from_str(&std::fs::read_to_string(path)?)?;
    let mut files = sound();
    files.extend(case.files);
    files.retain(|path, _| !case.without.contains(path));
    let result = build(&TreeFiles(files)).and_then(|tree| check::check(&tree));
    let errors = result.err().map(|errors| errors.0).unwrap_or_default();
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    let matched = lines.len() == case.faults.len()
        && case
            .faults
            .iter()
            .all(|f| lines.iter().any(|l| l.starts_with(&f.place) && l.contains(&f.says)));
    if matched { Ok(()) } else { Err(format!("found other faults: {lines:#?}").into()) }
}

datatest_stable::harness! {
    { test = run, root = "tests/trees", pattern = r"\.toml$" },
}
