//! What operators ask serving boxes about requests that are held off, and what they are told.

use serde::{Deserialize, Serialize};

/// The path of the list.
pub const HELD_OFF_PATH: &str = "/held-off";

/// The path at which one is let go; its fingerprint follows.
pub const LET_GO_PATH: &str = "/held-off/let-go/";

/// A request that is held off, since servers crashed under it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldOff {
    /// Its fingerprint, as in the logs.
    pub fingerprint: String,
    /// How many servers crashed under it.
    pub servers: usize,
    /// For how long the box that tells has held it off, in milliseconds.
    pub held_ms: u64,
    /// Whether the platform's table has it, so that it outlasts a loss of all boxes.
    pub written_down: bool,
}
