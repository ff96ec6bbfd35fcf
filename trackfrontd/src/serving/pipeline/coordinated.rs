//! What the pipeline asks the coordinators of engines, and declares to them.

use std::time::Duration;

use trackfront_core::ids::BackendId;
use trackfront_core::quota::AccountId;
use trackfront_core::serving::choice::Choice;
use trackfront_core::serving::coordinated_load::{DeclaredWork, LoadQuestion};

use super::{Chosen, Job};
use crate::serving::engine_loads::{self, DeclaredRequest};

impl Job {
    /// Asks the coordinator of the chosen engine for its load. A server with a permit stays chosen, since the permit is for
    /// that server alone.
    pub async fn choose_coordinated(&self, chosen: Chosen, tried: &[BackendId]) -> Chosen {
        if chosen.permit.is_some() || !self.has_coordinated_engines() {
            return chosen;
        }
        let server = chosen.choice.server.clone();
        let loads = engine_loads::query(&self.node, &[server], self.load_question()).await;
        for load in loads.into_iter().flatten() {
            let (request, server) = (&self.info.id, &chosen.choice.server.entry.id);
            let (requests, prefill_ms, counted_ms) =
                (load.requests, load.prefill_ms, load.counted_ms);
            log::debug!(request:%, server:%, tried = tried.len(), requests, prefill_ms, counted_ms; "load of an engine");
        }
        chosen
    }

    /// Declares the request to the coordinator of the engine that it is being sent to.
    pub(super) fn declare(&self, choice: &Choice) -> Option<DeclaredRequest> {
        if !self.has_coordinated_engines() {
            return None;
        }
        engine_loads::declare(&self.node, &choice.server.entry, self.declared_work(choice)?)
    }

    /// Returns whether the request is for an engine whose load is coordinated.
    fn has_coordinated_engines(&self) -> bool {
        self.info.model.is_some() && engine_loads::is_enabled(&self.node)
    }

    fn load_question(&self) -> LoadQuestion {
        LoadQuestion { rank: self.rank, account: self.declared_account() }
    }

    /// Returns the work of the request at an engine; `None` if it names no model.
    fn declared_work(&self, choice: &Choice) -> Option<DeclaredWork> {
        let model = &self.info.model.as_ref()?.model;
        let work = self.info.work(choice.cached_tokens, self.rank);
        let (prefill_ms, decode_ms) = {
            let loads = self.node.loads.lock();
            let prefill_ms = f64::from(work.prompt_tokens) * loads.prefill_ms_per_token(model);
            (prefill_ms, loads.decode_ms(model, work.output_tokens))
        };
        let bounds_pauses = self.node.settings.load().balancing.bounds_pauses();
        let max_gap = self.route.event_gap_target.filter(|_| bounds_pauses);
        Some(DeclaredWork {
            prefill_ms: prefill_ms.round() as u32,
            decode_ms: decode_ms.round() as u32,
            tokens: self.info.prompt_tokens.saturating_add(self.info.output_tokens),
            rank: self.rank,
            max_gap_ms: max_gap.map(whole_ms),
            account: self.declared_account(),
            max_time_ms: whole_ms(self.answer_by.saturating_duration_since(self.request_time())),
        })
    }

    /// Returns the hash of the client account if accounts share engines.
    fn declared_account(&self) -> Option<u32> {
        let shares_fairly = self.node.settings.load().balancing.shares_fairly();
        let account = self.account.as_ref().filter(|_| shares_fairly)?;
        Some(AccountId::of(&account.name).short())
    }
}

fn whole_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
