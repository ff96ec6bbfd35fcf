//! What of a request may crash servers: the request as such and the parts of its prompt.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;
use trackfront_core::ids::BackendId;
use trackfront_core::serving::fingerprint::Fingerprint;
use trackfront_core::serving::request::{PromptPart, Refusal};

use super::{Attempts, Job};
use crate::serving::crashes;
use crate::serving::crashes::trials::Trial;

/// The longest time for which a request at a box that has just started waits until it is known what is quarantined.
const MAX_LOAD_WAIT: Duration = Duration::from_millis(1_500);

/// The longest time for which it waits for servers' notices. After a start of all boxes nobody knows any.
const MAX_NOTICES_WAIT: Duration = Duration::from_millis(500);

/// The most parts that a log line names.
const MAX_LOGGED_PARTS: usize = 8;

/// The fingerprints of what may crash the servers that run a request: the request, then the parts of its prompt.
pub type Suspects = Arc<[Fingerprint]>;

/// Returns what of a request may crash servers. The last part of a prompt belongs to the request alone or to its session.
/// The size of a head bounds their number, to some thousands.
pub(super) fn suspects(request: Fingerprint, prompt: &[PromptPart]) -> Suspects {
    let shared = prompt.split_last().map_or(prompt, |(_, shared)| shared);
    let mut known = HashSet::with_capacity(shared.len());
    let parts = shared.iter().filter(|part| known.insert(part.id));
    let parts = parts.map(|part| Fingerprint::of_part(part.id));
    std::iter::once(request).chain(parts).collect()
}

impl Job {
    /// Returns the fingerprint of the request, which is the same at each of its client's tries.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        self.suspects[0]
    }

    /// Returns the fingerprints of the prompt's parts for a log line.
    pub(super) fn logged_parts(&self) -> String {
        let parts = self.suspects[1..].iter().take(MAX_LOGGED_PARTS).map(Fingerprint::to_string);
        parts.collect::<Vec<_>>().join(",")
    }

    /// Returns whether the request is suspected of having crashed the servers that ran it. It isn't
    /// sent to another server in the same try; by the time the client retries, more is known.
    pub fn may_crash_servers(&self) -> bool {
        self.node.crashes.is_any_suspect(&self.suspects, self.node.now())
    }

    /// Waits until the crashes under a request that broke at several servers are stored, before its client hears of it.
    /// `tried` are the servers that got it in this try.
    pub async fn store_crashes(&self, tried: &[BackendId]) {
        if self.may_crash_servers() {
            crashes::store_before_answer(&self.node, &self.suspects, tried).await;
        }
    }

    /// Returns whether quarantine still allows the request to be sent.
    pub(super) fn may_pass_quarantine(&self) -> bool {
        let trial = self.trial.lock().as_ref().map(Trial::fingerprint);
        self.quarantined().iter().all(|(suspect, _)| Some(*suspect) == trial)
    }

    /// Waits until it is known which requests were quarantined before this box started. That it has heard of none yet says
    /// nothing.
    pub(super) async fn wait_for_quarantine(&self) {
        let left = self.answer_by.saturating_duration_since(self.request_time());
        if !self.node.crashes.wait_loaded(MAX_LOAD_WAIT.min(left / 2)).await {
            log::warn!(request:% = self.info.id, age_ms = self.node.age().as_millis() as u64;
                "sent without knowing what is held off");
        }
    }

    /// Waits until other boxes have told the servers' notices, such as limits. That this box has heard of none says nothing.
    pub(super) async fn wait_for_notices(&self) {
        let left = self.answer_by.saturating_duration_since(self.request_time());
        let mut fetched = self.node.notices_fetched.subscribe();
        let fetching = fetched.wait_for(|is_fetched| *is_fetched);
        let _ = timeout(MAX_NOTICES_WAIT.min(left / 2), fetching).await;
    }

    /// Refuses a quarantined request, also one that was quarantined between two sends.
    pub(super) async fn check_quarantine(&self, attempts: &Attempts) -> Option<Refusal> {
        if self.may_pass_quarantine() {
            return None;
        }
        let mut quarantined = self.quarantined().into_iter();
        let (suspect, servers) = quarantined.next()?;
        let may_try = attempts.servers.is_empty() && quarantined.next().is_none();
        if may_try && let Some(trial) = Trial::start(&self.node, suspect).await {
            *self.trial.lock() = Some(trial);
            return None;
        }
        Some(match attempts.may_have_run {
            Some(cause) => Refusal::ServerFailed(cause),
            None if suspect.is_part() => Refusal::QuarantinedPart { servers },
            None => Refusal::Quarantined { servers },
        })
    }

    /// Returns what of the request is quarantined, and how many servers each crashed.
    fn quarantined(&self) -> Vec<(Fingerprint, usize)> {
        self.node.crashes.quarantined_among(&self.suspects)
    }
}
