//! The differences between two trees.

use std::collections::BTreeSet;

use serde::Serialize;

use crate::placement::SizedItem;

use super::Tree;
use super::files::TreeFiles;

/// The kind of difference of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FileChange {
    /// Only the new tree has the file.
    Added,
    /// Only the old tree has the file.
    Removed,
    /// Both trees have the file, with different text.
    Changed,
}

/// The effects of replacing one tree by another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TreeDiff {
    /// The files that differ.
    pub files: Vec<(String, FileChange)>,
    /// The items that will be loaded.
    pub loads: Vec<String>,
    /// The items that will be unloaded.
    pub unloads: Vec<String>,
    /// The models and adapters that callers can no longer reach.
    pub removed_names: Vec<String>,
}

/// Compares the files of two trees.
pub fn diff_files(old: &TreeFiles, new: &TreeFiles) -> Vec<(String, FileChange)> {
    let paths: BTreeSet<&String> = old.0.keys().chain(new.0.keys()).collect();
    paths
        .into_iter()
        .filter_map(|path| {
            let change = match (old.0.get(path), new.0.get(path)) {
                (None, Some(_)) => FileChange::Added,
                (Some(_), None) => FileChange::Removed,
                (old_text, new_text) if old_text != new_text => FileChange::Changed,
                _ => return None,
            };
            Some((path.clone(), change))
        })
        .collect()
}

/// Compares two trees; `old` is `None` if there is no earlier tree.
pub fn diff(old: Option<(&TreeFiles, &Tree)>, new: (&TreeFiles, &Tree)) -> TreeDiff {
    let no_files = TreeFiles::default();
    let old_items = old.map(|(_, tree)| items(tree)).unwrap_or_default();
    let old_names = old.map(|(_, tree)| names(tree)).unwrap_or_default();
    let new_items = items(new.1);
    let new_names = names(new.1);
    TreeDiff {
        files: diff_files(old.map_or(&no_files, |(files, _)| files), new.0),
        loads: new_items.difference(&old_items).cloned().collect(),
        unloads: old_items.difference(&new_items).cloned().collect(),
        removed_names: old_names.difference(&new_names).cloned().collect(),
    }
}

/// Returns each item of the tree as `SHARD ITEM`.
fn items(tree: &Tree) -> BTreeSet<String> {
    tree.shards()
        .flat_map(|(shard, service)| {
            let sized: Vec<SizedItem> =
                service.bundles().into_iter().flat_map(|bundle| bundle.items).collect();
            sized.into_iter().map(move |sized| format!("{shard} {}", sized.item))
        })
        .collect()
}

/// Returns each name that callers use as `REGION NAME`.
fn names(tree: &Tree) -> BTreeSet<String> {
    tree.regions
        .keys()
        .flat_map(|region| tree.targets(region).map(move |(name, _)| format!("{region} {name}")))
        .collect()
}
