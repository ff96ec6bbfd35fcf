//! Turns that a request takes at a server that named a limit: last before a send, since a turn has to be used soon.

use std::time::Duration;

use trackfront_core::ids::BackendId;
use trackfront_core::serving::choice::{Choice, NoChoice, Unavailable, UnavailableCause};
use trackfront_core::serving::permits::Permit;

use super::{Job, Tries};
use crate::serving::permits::{self, NoPermit};

/// How many servers are asked in vain for a turn until a request is refused.
pub(super) const MAX_TURNS_REFUSED: u32 = 4;

/// How many times what an answer is expected to take has to be left after the wait for a turn.
const ESTIMATES_LEFT: u32 = 2;

/// A server that was chosen, and a turn there if one had to be waited for.
pub struct Chosen {
    /// The server.
    pub choice: Choice,
    /// The turn.
    pub turn: Option<Permit>,
}

/// Logs that the server that was chosen had no turn.
pub(super) fn log_no_turn(job: &Job, choice: &Choice, no_turn: NoPermit) {
    let (request, server, per_s) = (&job.info.id, &choice.server.entry.id, no_turn.per_s);
    log::info!(request:%, server:%, per_s; "no turn at server");
}

impl Job {
    /// Takes a turn at the server that was chosen, if that has named a limit; waits for it up to `patience`.
    pub(super) async fn take_turn(
        &self,
        choice: &Choice,
        patience: Duration,
    ) -> Result<Option<Permit>, NoPermit> {
        permits::acquire(&self.node, &choice.server.entry.id, patience).await
    }

    /// Chooses a server that is not in `tried`, with a turn there if one is needed; `None` if there is none now.
    pub async fn choose_with_turn(&self, tried: &[BackendId]) -> Option<Chosen> {
        for _ in 0..MAX_TURNS_REFUSED {
            let choice = self.choose(tried).ok()?;
            match self.take_turn(&choice, Duration::ZERO).await {
                Ok(turn) => return Some(Chosen { choice, turn }),
                Err(no_turn) => log_no_turn(self, &choice, no_turn),
            }
        }
        None
    }

    /// Waits for a turn where all servers that offer what is asked for have none now, if one comes in time for it. One
    /// that is not the first try is not held: its client has waited already.
    pub(super) async fn wait_for_turn(&self, lack: NoChoice, tries: &Tries) -> Option<Chosen> {
        let NoChoice::Unavailable(Unavailable { cause: UnavailableCause::Limited, until }) = lack
        else {
            return None;
        };
        if !tries.servers.is_empty() || self.node.is_stopping() {
            return None;
        }
        let mut choice = self.choose_by(&tries.servers, false).ok()?;
        let left = self.time_to_be_let_in(self.present());
        let patience = left.saturating_sub(choice.estimate * ESTIMATES_LEFT);
        if until.since(self.node.now()) > patience {
            return None;
        }
        let turn = self.take_turn(&choice, patience).await.ok()?;
        if let Some(turn) = turn {
            permits::wait_until_valid(&self.node, turn).await;
        }
        // It is as good as chosen now, if it is still there.
        let server = self.node.directory.lock().get(&choice.server.entry.id).cloned()?;
        choice.at = self.node.now();
        Some(Chosen { choice: Choice { server, ..choice }, turn })
    }
}
