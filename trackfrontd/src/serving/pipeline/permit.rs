//! Permits for servers that named a limit. A permit is requested right before a send, since it
//! expires soon.

use std::time::Duration;

use trackfront_core::ids::BackendId;
use trackfront_core::serving::choice::{Choice, NoChoice, Unavailable, UnavailableCause};
use trackfront_core::serving::coordinated_load::EngineLoad;
use trackfront_core::serving::permits::Permit;

use super::{Attempts, Job};
use crate::serving::permits::{self, NoPermit};

/// The maximum number of chosen servers that refuse a permit before the request is refused.
pub(super) const MAX_PERMITS_REFUSED: u32 = 4;

/// The multiple of the estimated answer time that must be left after the wait for a permit.
const MIN_ESTIMATES_LEFT: u32 = 2;

/// A chosen server, with what is known about sending there.
pub struct Chosen {
    /// The chosen server.
    pub choice: Choice,
    /// The permit, if it was already obtained.
    pub permit: Option<Permit>,
    /// The server's load as its coordinator knows it, if the choice was made by that.
    pub load: Option<EngineLoad>,
    /// Whether the request has to wait before it is sent there, so that streams do not pause for too long.
    pub must_wait: bool,
    /// The number of requests for which the answer counts as evidence of the time that answers take.
    pub answer_weight: f64,
}

impl Chosen {
    /// Creates a choice that was made without the load that a coordinator knows.
    pub fn new(choice: Choice, permit: Option<Permit>) -> Self {
        Self { choice, permit, load: None, must_wait: false, answer_weight: 1.0 }
    }
}

/// Logs that the chosen server had no permit.
pub(super) fn log_no_permit(job: &Job, choice: &Choice, no_permit: NoPermit) {
    let (request, server, per_s) = (&job.info.id, &choice.server.entry.id, no_permit.per_s);
    log::info!(request:%, server:%, per_s; "no permit at server");
}

impl Job {
    /// Acquires a permit for the chosen server if it named a limit, waiting up to `max_wait`.
    pub(super) async fn acquire_permit(
        &self,
        choice: &Choice,
        max_wait: Duration,
    ) -> Result<Option<Permit>, NoPermit> {
        permits::acquire(&self.node, &choice.server.entry.id, max_wait).await
    }

    /// Chooses a server that is not in `tried`, with a permit if it needs one; `None` if none is
    /// available now.
    pub async fn choose_with_permit(&self, tried: &[BackendId]) -> Option<Chosen> {
        for _ in 0..MAX_PERMITS_REFUSED {
            let choice = self.choose(tried).ok()?;
            // A resumed stream is not held for the pauses of others: its client waits in the midst of an answer.
            let chosen = self.choose_coordinated(Chosen::new(choice, None), tried).await;
            match self.acquire_permit(&chosen.choice, Duration::ZERO).await {
                Ok(permit) => return Some(Chosen { permit, ..chosen }),
                Err(no_permit) => log_no_permit(self, &chosen.choice, no_permit),
            }
        }
        None
    }

    /// Waits for a permit if all suitable servers are at their limits and one becomes available in
    /// time. Retries aren't held, since their client has already waited.
    pub(super) async fn wait_for_permit(
        &self,
        no_choice: NoChoice,
        attempts: &Attempts,
    ) -> Option<Chosen> {
        let NoChoice::Unavailable(Unavailable { cause: UnavailableCause::Limited, until }) =
            no_choice
        else {
            return None;
        };
        if !attempts.servers.is_empty() || self.node.is_stopping() {
            return None;
        }
        let mut choice = self.choose_with(&attempts.servers, false).ok()?;
        let left = self.admission_time(self.request_time());
        let max_wait = left.saturating_sub(choice.estimate * MIN_ESTIMATES_LEFT);
        if until.since(self.node.now()) > max_wait {
            return None;
        }
        let permit = self.acquire_permit(&choice, max_wait).await.ok()?;
        if let Some(permit) = permit {
            permits::wait_until_valid(&self.node, permit).await;
        }
        // The choice counts as made now, if the server still exists.
        let server = self.node.directory.lock().get(&choice.server.entry.id).cloned()?;
        choice.at = self.node.now();
        Some(Chosen::new(Choice { server, ..choice }, permit))
    }
}
