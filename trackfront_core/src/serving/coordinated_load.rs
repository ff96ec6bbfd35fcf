//! The load of engines as their coordinators know it.
//!
//! A box of a large fleet hears each engine every few seconds, while the prefill of a prompt takes a tenth of one. So one
//! box coordinates the load of each engine: the others declare each request to it when they send the request and when it
//! advances, and ask it before they choose among engines.
//!
//! Nothing here sends or waits.

use serde::{Deserialize, Serialize};

/// The work of a request at an engine, as declared by the box that sends it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclaredWork {
    /// The time for the prefill of its uncached tokens at the usual speed of the model, in milliseconds.
    pub prefill_ms: u32,
    /// The time for the whole answer after the first event at the usual speed of the model, in milliseconds.
    pub decode_ms: u32,
    /// The tokens of the KV cache that it needs at its end.
    pub tokens: u32,
    /// The urgency; 0 is the most urgent.
    pub rank: u8,
    /// The target for the longest gap between two events of its answer, in milliseconds, if there is one.
    pub max_gap_ms: Option<u32>,
    /// The hash of the client account, if there is one.
    pub account: Option<u32>,
    /// The longest time for which it can be there, in milliseconds, in case that its end is never reported.
    pub max_time_ms: u32,
}

/// A question for the load of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadQuestion {
    /// The rank of the request for which it is asked.
    pub rank: u8,
    /// The hash of its client account, if there is one.
    pub account: Option<u32>,
}

/// The load of an engine, as its coordinator knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The requests there.
    pub requests: u32,
    /// The time until all prompts there have been read, in milliseconds, at the present speed of the engine.
    pub prefill_ms: u32,
    /// The part of it that a request of the rank in question waits for, in milliseconds.
    pub prefill_ahead_ms: u32,
    /// The tokens of the KV cache that the requests there need at their ends.
    pub tokens: u32,
    /// The streams that are being written and have a target for their gaps.
    pub paced_streams: u32,
    /// The least of these targets, in milliseconds; 0 if there is none.
    pub min_gap_ms: u32,
    /// The time that work takes there now, as a factor on the usual time of the models.
    pub slowness: f32,
    /// Whether the account in question already uses more than its share of an engine that others wait for.
    pub is_over_share: bool,
    /// For how long the coordinator has counted the requests at this engine, in milliseconds.
    pub counted_ms: u32,
}
