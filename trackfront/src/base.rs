//! Which revision a tree's folder was made on, kept in a hidden file beside `root.toml`.

use std::io;
use std::path::{Path, PathBuf};

use trackfront_core::ids::Revision;

/// The hidden file. It belongs to one checkout and does not go into version control.
const BASE_FILE: &str = ".trackfront-base";

fn path(tree: &Path) -> PathBuf {
    tree.join(BASE_FILE)
}

/// Reads the revision that the folder was made on, if it is known.
pub fn read(tree: &Path) -> Option<Revision> {
    let text = std::fs::read_to_string(path(tree)).ok()?;
    text.trim().parse().ok().map(Revision)
}

/// Notes the revision that the folder was made on.
pub fn write(tree: &Path, revision: Revision) -> io::Result<()> {
    std::fs::write(path(tree), format!("{revision}\n"))
}
