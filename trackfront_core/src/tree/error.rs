//! What can be wrong with a tree: the file, the line, the key and the remedy.

use std::fmt;

use thiserror::Error;

/// One fault in a tree.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}: {kind}", place(.file, .line, .key))]
pub struct TreeError {
    /// The file, below the tree's folder.
    pub file: String,
    /// The line, from one, where it is known.
    pub line: Option<usize>,
    /// The key, where there is one.
    pub key: Option<String>,
    /// What is wrong and what to do.
    pub kind: TreeErrorKind,
}

/// What is wrong with a tree.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TreeErrorKind {
    /// The file's place in the folder means nothing.
    #[error("no file belongs here; {remedy}")]
    StrayFile {
        /// What to do.
        remedy: String,
    },
    /// A file that its level needs is missing.
    #[error("the file is missing; add it, or remove the folder")]
    MissingFile,
    /// The file is not TOML, or a value has the wrong type.
    #[error("{message}; correct the value")]
    BadToml {
        /// The parser's message.
        message: String,
    },
    /// A key that the level does not have.
    #[error("unknown key; {remedy}")]
    UnknownKey {
        /// What to do.
        remedy: String,
    },
    /// A value outside its range.
    #[error("{problem}; {remedy}")]
    BadValue {
        /// What is wrong.
        problem: String,
        /// What to do.
        remedy: String,
    },
    /// A name that stands for two things.
    #[error("`{name}` is also used by {other}; rename one of them")]
    DuplicateName {
        /// The name.
        name: String,
        /// The other place.
        other: String,
    },
    /// A reference to something that is not there.
    #[error("there is no {what} `{name}`; {remedy}")]
    NoSuch {
        /// What kind of thing.
        what: &'static str,
        /// Its name.
        name: String,
        /// What to do.
        remedy: String,
    },
    /// The models and adapters do not fit in accelerator memory.
    #[error("{problem}; add engines, or move or shrink models, or lower `spare_engines`")]
    DoesNotFit {
        /// What does not fit where.
        problem: String,
    },
}

/// All faults that were found in a tree.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct TreeErrors(pub Vec<TreeError>);

impl fmt::Display for TreeErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// Returns `file:line: key`, as far as known.
fn place(file: &str, line: &Option<usize>, key: &Option<String>) -> String {
    let mut place = file.to_string();
    if let Some(line) = line {
        place.push_str(&format!(":{line}"));
    }
    if let Some(key) = key {
        place.push_str(&format!(": key `{key}`"));
    }
    place
}

/// Returns the line, from one, of the byte at `offset`.
pub fn line_of(text: &str, offset: usize) -> usize {
    text.as_bytes().iter().take(offset).filter(|byte| **byte == b'\n').count() + 1
}
