//! Turns that a request takes at a server that named a limit: last before a send, since a turn has to be used soon.

use std::time::Duration;

use trackfront_core::ids::BackendId;
use trackfront_core::serving::choice::{Choice, NoChoice, Unavailable, UnavailableCause};
use trackfront_core::serving::permits::Permit;

use super::{Attempts, Job};
use crate::serving::permits::{self, NoPermit};

/// How many servers are asked in vain for a turn until a request is refused.
pub(super) const MAX_PERMITS_REFUSED: u32 = 4;

/// How many times what an answer is expected to take has to be left after the wait for a turn.
const MIN_ESTIMATES_LEFT: u32 = 2;

/// A server that was chosen, and a turn there if one had to be waited for.
pub struct Chosen {
    /// The server.
    pub choice: Choice,
    /// The turn.
    pub permit: Option<Permit>,
}

/// Logs that the server that was chosen had no turn.
pub(super) fn log_no_permit(job: &Job, choice: &Choice, no_permit: NoPermit) {
    let (request, server, per_s) = (&job.info.id, &choice.server.entry.id, no_permit.per_s);
    log::info!(request:%, server:%, per_s; "no turn at server");
}

impl Job {
    /// Takes a turn at the server that was chosen, if that has named a limit; waits for it up to `patience`.
    pub(super) async fn acquire_permit(
        &self,
        choice: &Choice,
        max_wait: Duration,
    ) -> Result<Option<Permit>, NoPermit> {
        permits::acquire(&self.node, &choice.server.entry.id, max_wait).await
    }

    /// Chooses a server that is not in `tried`, with a turn there if one is needed; `None` if there is none now.
    pub async fn choose_with_permit(&self, tried: &[BackendId]) -> Option<Chosen> {
        for _ in 0..MAX_PERMITS_REFUSED {
            let choice = self.choose(tried).ok()?;
            match self.acquire_permit(&choice, Duration::ZERO).await {
                Ok(permit) => return Some(Chosen { choice, permit }),
                Err(no_permit) => log_no_permit(self, &choice, no_permit),
            }
        }
        None
    }

    /// Waits for a turn where all servers that offer what is asked for have none now, if one comes in time for it. One
    /// that is not the first try is not held: its client has waited already.
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
        // It is as good as chosen now, if it is still there.
        let server = self.node.directory.lock().get(&choice.server.entry.id).cloned()?;
        choice.at = self.node.now();
        Some(Chosen { choice: Choice { server, ..choice }, permit })
    }
}
