//! The files of a tree as text, and the level that each path denotes.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::error::{TreeError, TreeErrorKind};

/// The largest tree that is accepted, in bytes: far more than 850 models need and far less than
/// a box may use for control data.
pub const MAX_TREE_BYTES: usize = 4 * 1024 * 1024;

/// The files of a tree, by path relative to its folder and separated by `/`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TreeFiles(pub BTreeMap<String, String>);

/// The level of the tree that a file describes, from its path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileLevel<'a> {
    /// `root.toml`
    Root,
    /// `REGION/region.toml`
    Region(&'a str),
    /// `REGION/SERVICE/service.toml`
    Service(&'a str, &'a str),
    /// `REGION/SERVICE/MODEL/model.toml`
    Model(&'a str, &'a str, &'a str),
    /// `REGION/SERVICE/MODEL/ADAPTER.toml`
    Adapter(&'a str, &'a str, &'a str, &'a str),
}

impl TreeFiles {
    /// Reads all TOML files below `folder`. Skips other files and all hidden entries.
    pub fn read(folder: &Path) -> io::Result<TreeFiles> {
        let mut files = TreeFiles::default();
        read_folder(folder, "", &mut files)?;
        Ok(files)
    }

    /// Returns the size of all files in bytes.
    pub fn size(&self) -> usize {
        self.0.iter().map(|(path, text)| path.len() + text.len()).sum()
    }

    /// Returns the BLAKE3 hash, in hexadecimal, of all paths and texts.
    pub fn digest(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        for (path, text) in &self.0 {
            for part in [path, text] {
                hasher.update(&(part.len() as u64).to_le_bytes());
                hasher.update(part.as_bytes());
            }
        }
        hasher.finalize().to_hex().to_string()
    }
}

/// Reads one folder and its subfolders into `files`.
fn read_folder(folder: &Path, prefix: &str, files: &mut TreeFiles) -> io::Result<()> {
    let mut entries: Vec<_> = std::fs::read_dir(folder)?.collect::<Result<_, _>>()?;
    entries.sort_by_key(std::fs::DirEntry::file_name);
    for entry in entries {
        let name = entry.file_name().to_string_lossy().into_owned();
        if name.starts_with('.') {
            continue;
        }
        let path = format!("{prefix}{name}");
        if entry.file_type()?.is_dir() {
            read_folder(&entry.path(), &format!("{path}/"), files)?;
        } else if name.ends_with(".toml") {
            files.0.insert(path, std::fs::read_to_string(entry.path())?);
        }
    }
    Ok(())
}

impl<'a> FileLevel<'a> {
    /// Returns the level of the file at `path`.
    pub fn of(path: &'a str) -> Result<FileLevel<'a>, Box<TreeError>> {
        let parts: Vec<&str> = path.split('/').collect();
        match parts[..] {
            ["root.toml"] => Ok(FileLevel::Root),
            [region, "region.toml"] => Ok(FileLevel::Region(region)),
            [region, service, "service.toml"] => Ok(FileLevel::Service(region, service)),
            [region, service, model, "model.toml"] => Ok(FileLevel::Model(region, service, model)),
            [region, service, model, file] if file.ends_with(".toml") => {
                Ok(FileLevel::Adapter(region, service, model, file.trim_end_matches(".toml")))
            }
            _ => Err(Box::new(stray_file(path, parts.len()))),
        }
    }
}

/// Creates the error for a file whose path matches no level.
fn stray_file(path: &str, depth: usize) -> TreeError {
    let remedy = match depth {
        1 => "the top folder has only `root.toml`",
        2 => "a region's folder has only `region.toml` and a folder for each service",
        3 => "a service's folder has only `service.toml` and a folder for each model",
        _ => "a model's folder has only `model.toml` and a file for each adapter",
    };
    TreeError {
        file: path.to_string(),
        line: None,
        key: None,
        kind: TreeErrorKind::StrayFile { remedy: remedy.into() },
    }
}
