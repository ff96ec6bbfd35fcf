//! What the pipeline asks the coordinators of engines, and declares to them.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::sleep;
use trackfront_adapters::serving_metrics::KindLabel;
use trackfront_core::ids::BackendId;
use trackfront_core::quota::AccountId;
use trackfront_core::serving::choice::Choice;
use trackfront_core::serving::coordinated_choice::{
    CoordinatedChoice, EngineLimits, RequestNeeds, choose_coordinated,
};
use trackfront_core::serving::coordinated_load::{DeclaredWork, EngineLoad, LoadQuestion};
use trackfront_core::serving::request::Refusal;

use super::{Attempts, Chosen, Job};
use crate::serving::engine_loads::{self, DeclaredRequest};
use trackfront_core::units::scaled;

/// The share of its target for which a request waits for room at an engine. A client that is refused then can still come
/// back while its answer is of use.
const MAX_HELD_SHARE: f64 = 0.25;

/// The mean interval at which a request asks again whether an engine has read enough of its prompts. A prompt takes about
/// as long.
const POLL_INTERVAL: Duration = Duration::from_millis(80);

impl Job {
    /// Chooses again among some engines by what their coordinators know. A server with a permit stays chosen, since the
    /// permit is for that server alone.
    pub async fn choose_coordinated(&self, chosen: Chosen, tried: &[BackendId]) -> Chosen {
        // Without an answer of a coordinator, no account is over its share.
        self.is_over_share.store(false, Ordering::Relaxed);
        if chosen.permit.is_some() || !self.has_coordinated_engines() {
            return chosen;
        }
        let (Ok(candidates), Some(needs)) = (self.shortlist(tried), self.needs()) else {
            return chosen;
        };
        let servers: Vec<_> =
            candidates.iter().map(|candidate| candidate.choice.server.clone()).collect();
        let loads = engine_loads::query(&self.node, &servers, self.load_question()).await;
        let CoordinatedChoice { mut choice, must_wait } =
            choose_coordinated(candidates, &loads, &needs, self.engine_limits());
        let index = servers.iter().position(|server| server.entry.id == choice.server.entry.id);
        let load = index.and_then(|index| loads[index]);
        if let Some(load) = load {
            self.note_share(&mut choice, &load);
        }
        Chosen { load, must_wait, ..Chosen::new(choice, None) }
    }

    /// Waits a moment for an engine where the request would make streams pause for too long, or returns the refusal if it has
    /// waited for long or would be late after that. A request that was sent to another server before, or is at a stopping
    /// box, is refused at once.
    pub(super) async fn wait_for_pause_bound(
        &self,
        chosen: &Chosen,
        attempts: &Attempts,
    ) -> Result<(), Refusal> {
        let now = self.request_time();
        let wait = scaled(POLL_INTERVAL, rand::random_range(0.5..1.5));
        let max_held = scaled(self.route.latency_target, MAX_HELD_SHARE);
        let is_held_long = now + wait > self.arrived + max_held;
        if attempts.servers.is_empty() && !is_held_long && !self.node.is_stopping() {
            let left = self.time_for_first_event(now).min(self.answer_by - now);
            if chosen.choice.estimate + wait <= left {
                sleep(wait).await;
                return Ok(());
            }
        }
        let (request, server) = (&self.info.id, &chosen.choice.server.entry.id);
        let prefill_ms = chosen.load.map(|load| load.prefill_ms);
        let paced_streams = chosen.load.map(|load| load.paced_streams);
        let held_ms = now.saturating_duration_since(self.arrived).as_millis() as u64;
        log::info!(request:%, server:%, prefill_ms, paced_streams, held_ms; "streams would pause for too long");
        self.node
            .metrics
            .held
            .get_or_create(&KindLabel { kind: "refused for pauses" })
            .observe(held_ms as f64 / 1_000.0);
        Err(self.give_up(attempts, "its prompt would make streams pause for too long"))
    }

    /// Notes whether the account uses more than its share of the engine. If so, the request goes behind others there, which
    /// lengthens the estimate.
    fn note_share(&self, choice: &mut Choice, load: &EngineLoad) {
        if !load.is_over_share {
            return;
        }
        self.is_over_share.store(true, Ordering::Relaxed);
        let behind_ms = load.prefill_ms.saturating_sub(load.prefill_ahead_ms);
        choice.estimate += Duration::from_millis(behind_ms.into());
        let (request, server) = (&self.info.id, &choice.server.entry.id);
        let account = self.account.as_ref().map_or("", |account| account.name.as_str());
        log::info!(request:%, server:%, account, rank = self.rank(), counted_ms = load.counted_ms; "account over its share");
    }

    /// Returns what the request needs at any engine; `None` if it names no model.
    fn needs(&self) -> Option<RequestNeeds> {
        let model = &self.info.model.as_ref()?.model;
        Some(RequestNeeds {
            decode_ms: self.node.loads.lock().decode_ms(model, self.info.output_tokens),
            tokens: self.info.prompt_tokens.saturating_add(self.info.output_tokens),
            event_gap_target: self.route.event_gap_target,
            bound_pauses: self.node.settings.load().balancing.bounds_pauses(),
            rank: self.rank(),
        })
    }

    /// Returns what an engine of the service can bear.
    fn engine_limits(&self) -> EngineLimits {
        let spec = self.config.services.get(&self.service).and_then(|spec| spec.engine.as_ref());
        spec.map_or(EngineLimits { slots: 1, kv_tokens: 0 }, |engine| EngineLimits {
            slots: engine.slots,
            kv_tokens: engine.kv_tokens,
        })
    }

    /// Declares the request to the coordinator of the engine that it is being sent to.
    pub(super) fn declare(&self, choice: &Choice) -> Option<DeclaredRequest> {
        if !self.has_coordinated_engines() {
            return None;
        }
        engine_loads::declare(&self.node, &choice.server.entry, self.declared_work(choice)?)
    }

    /// Returns whether the request is for an engine whose load is coordinated: one that says how long work takes there, or
    /// one for which client accounts compete.
    fn has_coordinated_engines(&self) -> bool {
        self.info.model.is_some()
            && engine_loads::is_enabled(&self.node)
            && (self.config.accounts.is_some() || self.node.engine_loads.are_uneven(&self.service))
    }

    /// Returns whether an engine would serve the request after all others if it is late.
    pub(super) fn goes_last_when_late(&self) -> bool {
        self.node.settings.load().balancing.serves_late_last() && self.has_coordinated_engines()
    }

    fn load_question(&self) -> LoadQuestion {
        LoadQuestion { rank: self.rank(), account: self.declared_account() }
    }

    /// Returns the work of the request at an engine; `None` if it names no model.
    fn declared_work(&self, choice: &Choice) -> Option<DeclaredWork> {
        let model = &self.info.model.as_ref()?.model;
        let work = self.info.work(choice.cached_tokens, self.rank());
        let ms_per_token = self.node.loads.lock().prefill_ms_per_token(model);
        let prefill_ms = f64::from(work.prompt_tokens) * ms_per_token;
        let bounds_pauses = self.node.settings.load().balancing.bounds_pauses();
        let max_gap = self.route.event_gap_target.filter(|_| bounds_pauses);
        Some(DeclaredWork {
            prefill_ms: prefill_ms.round() as u32,
            slots: choice.server.entry.slots,
            tokens: self.info.prompt_tokens.saturating_add(self.info.output_tokens),
            rank: self.rank(),
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
