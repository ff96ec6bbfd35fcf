//! The interface for operators to quarantined requests.

use serde::{Deserialize, Serialize};

/// The path of the list of quarantined requests.
pub const HELD_OFF_PATH: &str = "/held-off";

/// The path to release a request, followed by its fingerprint.
pub const LET_GO_PATH: &str = "/held-off/let-go/";

/// A quarantined request or part of prompts, which has crashed servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldOff {
    /// The fingerprint, as in the logs.
    pub fingerprint: String,
    /// Whether it is a part of prompts rather than a request.
    #[serde(default)]
    pub is_part: bool,
    /// The number of servers that it crashed.
    pub servers: usize,
    /// How long this box has quarantined it, in milliseconds.
    pub held_ms: u64,
    /// Whether it is stored in the platform's table, which outlasts all boxes.
    pub written_down: bool,
}
