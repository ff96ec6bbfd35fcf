//! What a box may conclude about the software of a stream.

use std::collections::BTreeSet;

use super::SoftwareId;

/// The software that must continue a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamSoftware {
    /// This version.
    Version(SoftwareId),
    /// The service has used only one version for as long as streams are remembered.
    Any,
    /// It is not known, and matters.
    Unknown(UnknownCause),
}

/// Why the software of a stream is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownCause {
    /// The service uses several versions, and no box and no row knows the stream.
    Mixed,
    /// The platform's table did not say which versions were in use before this box started.
    HistoryUnread,
    /// The list of servers may be old, and lack another version.
    ListNotCurrent,
    /// Boxes or rows that may know the stream did not answer.
    LookupIncomplete,
}

/// How the search for a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// This software began it.
    Found(SoftwareId),
    /// Other boxes and the platform's table answered that they do not know it.
    NotFound,
    /// Some that may know it did not answer.
    Incomplete,
    /// The client did not name the stream.
    Unnamed,
}

/// What a box knows about a stream that a client continues. That nothing was heard of a second version is no evidence
/// that there was none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvidence {
    /// What this box, others and the platform's table know of the stream.
    pub lookup: Lookup,
    /// The versions that were in use while the stream may have lived: those that this box saw, and those before its start.
    /// `None` if the platform's table did not tell the latter.
    pub versions: Option<BTreeSet<SoftwareId>>,
    /// Whether the list of servers was confirmed lately.
    pub is_list_current: bool,
    /// The only version that was in use until this box started, if it ran before and streams of that time may be running.
    pub before_start: Option<SoftwareId>,
}

impl StreamEvidence {
    /// Returns the software that must continue the stream.
    pub fn conclude(&self) -> StreamSoftware {
        if let Lookup::Found(software) = self.lookup {
            return StreamSoftware::Version(software);
        }
        let Some(versions) = &self.versions else {
            return StreamSoftware::Unknown(UnknownCause::HistoryUnread);
        };
        let is_named = self.lookup != Lookup::Unnamed;
        if versions.len() <= 1 {
            return match is_named && !self.is_list_current {
                true => StreamSoftware::Unknown(UnknownCause::ListNotCurrent),
                false => StreamSoftware::Any,
            };
        }
        match (self.lookup, self.before_start) {
            // All that began since is known, so this began before.
            (Lookup::NotFound, Some(software)) => StreamSoftware::Version(software),
            (Lookup::Incomplete, _) => StreamSoftware::Unknown(UnknownCause::LookupIncomplete),
            _ => StreamSoftware::Unknown(UnknownCause::Mixed),
        }
    }
}
