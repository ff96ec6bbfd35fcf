//! The exit codes, which scripts may rely on.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// All is well.
    Done = 0,
    /// The command could not be carried out: a wrong argument, no file, no box.
    Failed = 1,
    /// The tree has faults.
    Invalid = 2,
    /// Another change came first; nothing was applied.
    Conflict = 3,
    /// The platform did not take the change; nothing was applied.
    NotApplied = 4,
    /// It is not known whether the change was applied.
    Unknown = 5,
    /// The change was accepted, and some box does not have it in force yet.
    NotInForce = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}
