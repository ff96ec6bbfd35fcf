//! Errors of a tree, each with its file, line, key and remedy.

use std::fmt;

use thiserror::Error;

/// An error in a tree.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}: {kind}", location(.file, .line, .key))]
pub struct TreeError {
    /// The path of the file, relative to the tree's folder.
    pub file: String,
    /// The line, counted from one, if it is known.
    pub line: Option<usize>,
    /// The key, if the error concerns one.
    pub key: Option<String>,
    /// The kind of error, with its remedy.
    pub kind: TreeErrorKind,
}

/// The kind of an error in a tree.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TreeErrorKind {
    /// The path of the file matches no level of the tree.
    #[error("no file belongs here; {remedy}")]
    StrayFile {
        /// How to correct it.
        remedy: String,
    },
    /// The file that describes a level is missing.
    #[error("the file is missing; add it, or remove the folder")]
    MissingFile,
    /// The file is not TOML, or a value has the wrong type.
    #[error("{message}; correct the value")]
    BadToml {
        /// The parser's message.
        message: String,
    },
    /// The level has no such key.
    #[error("unknown key; {remedy}")]
    UnknownKey {
        /// How to correct it.
        remedy: String,
    },
    /// A value is invalid or outside its range.
    #[error("{problem}; {remedy}")]
    BadValue {
        /// What is wrong with the value.
        problem: String,
        /// How to correct it.
        remedy: String,
    },
    /// Two things have the same name.
    #[error("`{name}` is also used by {other}; rename one of them")]
    DuplicateName {
        /// The duplicate name.
        name: String,
        /// The other user of the name.
        other: String,
    },
    /// A reference to something that the tree does not define.
    #[error("there is no {what} `{name}`; {remedy}")]
    NoSuch {
        /// The kind of thing that is referred to.
        what: &'static str,
        /// Its name.
        name: String,
        /// How to correct it.
        remedy: String,
    },
    /// The models and adapters do not fit in accelerator memory.
    #[error("{problem}; add engines, or move or shrink models, or lower `spare_engines`")]
    DoesNotFit {
        /// The service, the item that does not fit and the memory that it needs.
        problem: String,
    },
}

/// All errors that were found in a tree. `Display` writes one per line.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct TreeErrors(pub Vec<TreeError>);

impl fmt::Display for TreeErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// Returns the file, line and key as one text, without the parts that are unknown.
fn location(file: &str, line: &Option<usize>, key: &Option<String>) -> String {
    let mut location = file.to_string();
    if let Some(line) = line {
        location.push_str(&format!(":{line}"));
    }
    if let Some(key) = key {
        location.push_str(&format!(": key `{key}`"));
    }
    location
}

/// Returns the line, counted from one, of the byte at `offset`.
pub fn line_of(text: &str, offset: usize) -> usize {
    text.as_bytes().iter().take(offset).filter(|byte| **byte == b'\n').count() + 1
}
