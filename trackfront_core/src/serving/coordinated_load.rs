//! The load of engines as their coordinators know it.
//!
//! A box of a large fleet hears each engine every few seconds, while the prefill of a prompt takes a tenth of one. So one
//! box coordinates the load of each engine: the others declare each request to it when they send the request and when it
//! advances, and ask it before they choose among engines.
//!
//! Nothing here sends or waits.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::serving::counted_engine::CountedEngine;
use crate::serving::in_flight::LEAST_URGENT;
use crate::serving::room::GrantId;
use crate::units::Moment;

/// How long the state of an idle engine is kept, for its speed.
const IDLE_TTL: Duration = Duration::from_secs(300);

/// The engines whose state is kept.
const MAX_ENGINES: usize = 8_192;

/// The longest prefill of one request that is counted, in milliseconds: that of a prompt of a million tokens.
const MAX_PREFILL_MS: u32 = 100_000;

/// The most tokens of one request that are counted.
const MAX_TOKENS: u32 = 2_000_000;

/// The longest time for which a request is counted, in milliseconds.
const MAX_TIME_MS: u32 = 3_600_000;

/// The work of a request at an engine, as declared by the box that sends it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclaredWork {
    /// The time for the prefill of its uncached tokens at the usual speed of the model, in milliseconds.
    pub prefill_ms: u32,
    /// The requests that the engine runs at once.
    pub slots: u32,
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

impl DeclaredWork {
    /// Bounds the values: they come from another box.
    fn bounded(self) -> Self {
        Self {
            // A prompt is not read for longer than its request is there.
            prefill_ms: self.prefill_ms.min(MAX_PREFILL_MS).min(self.max_time_ms),
            tokens: self.tokens.min(MAX_TOKENS),
            rank: self.rank.min(LEAST_URGENT),
            // A target of 0 means that there is none.
            max_gap_ms: self.max_gap_ms.filter(|gap_ms| *gap_ms > 0),
            max_time_ms: self.max_time_ms.min(MAX_TIME_MS),
            ..self
        }
    }
}

/// Counts the requests at engines as their coordinator, by the hashes of the engines' short names.
///
/// The state is kept in memory only and bounded, whatever other boxes send.
#[derive(Debug, Default)]
pub struct LoadCoordinator {
    engines: HashMap<u32, CountedEngine>,
}

impl LoadCoordinator {
    /// Counts a request that a box is about to send to an engine. It replaces one with the same `id`.
    pub fn begin(&mut self, engine: u32, id: GrantId, work: DeclaredWork, now: Moment) {
        if let Some(engine) = self.engine_heard(engine, now) {
            engine.begin(id, work.bounded(), now);
        }
    }

    /// Notes the first event of an answer, which ends the prefill, and the pace that the engine reported with it, in
    /// percent of the usual time. Of unknown requests only the pace counts.
    pub fn first_event(&mut self, engine: u32, id: GrantId, pace: Option<u32>, now: Moment) {
        if let Some(engine) = self.engine_heard(engine, now) {
            engine.first_event(id, pace, now);
        }
    }

    /// Removes a request that has ended at an engine. Unknown ones are ignored.
    pub fn end(&mut self, engine: u32, id: GrantId, now: Moment) {
        if let Some(engine) = self.engine_heard(engine, now) {
            engine.end(id, now);
        }
    }

    /// Returns the load of an engine.
    pub fn load(&mut self, engine: u32, question: LoadQuestion, now: Moment) -> EngineLoad {
        match self.engine_heard(engine, now) {
            Some(engine) => engine.load(question, now),
            None => EngineLoad { slowness: 1.0, ..EngineLoad::default() },
        }
    }

    /// Drops expired requests, and the state of engines that have been idle for some minutes.
    pub fn forget_old(&mut self, now: Moment) {
        self.engines.retain(|_, engine| {
            engine.forget_old(now);
            engine.idle_time(now) < IDLE_TTL
        });
    }

    /// Returns the state of an engine that a message is about, or `None` if there is no room for another.
    fn engine_heard(&mut self, engine: u32, now: Moment) -> Option<&mut CountedEngine> {
        if !self.engines.contains_key(&engine) && self.engines.len() >= MAX_ENGINES {
            return None;
        }
        let engine = self.engines.entry(engine).or_insert_with(|| CountedEngine::new(now));
        engine.note_message(now);
        Some(engine)
    }
}
