//! Runs each TOML file in `tests/trees` as a case: the files of a tree and the errors to expect.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;
use trackfront_core::tree::{TreeFiles, build, check};

/// A test case.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    /// Files that are added to the valid tree or replace its files.
    #[serde(default)]
    files: BTreeMap<String, String>,
    /// Files that are removed from the valid tree.
    #[serde(default)]
    without: Vec<String>,
    /// The expected errors; a case passes only if no other error is reported.
    errors: Vec<ExpectedError>,
}

/// An expected error.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ExpectedError {
    /// The start of the error text: file, line and key.
    location: String,
    /// A part of the error text.
    message: String,
}

/// Returns a small valid tree.
fn valid_tree() -> BTreeMap<String, String> {
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

fn reports_expected_errors(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = toml::from_str(&std::fs::read_to_string(path)?)?;
    let mut files = valid_tree();
    files.extend(case.files);
    files.retain(|path, _| !case.without.contains(path));
    let result = build(&TreeFiles(files)).and_then(|tree| check::check(&tree));
    let errors = result.err().map(|errors| errors.0).unwrap_or_default();
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    let matched = lines.len() == case.errors.len()
        && case
            .errors
            .iter()
            .all(|e| lines.iter().any(|l| l.starts_with(&e.location) && l.contains(&e.message)));
    if matched { Ok(()) } else { Err(format!("unexpected errors: {lines:#?}").into()) }
}

datatest_stable::harness! {
    { test = reports_expected_errors, root = "tests/trees", pattern = r"\.toml$" },
}
