//! The limits of callers: exchanges quota requests with other boxes and takes units for requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use trackfront_core::accounts::AccountLimit;
use trackfront_core::ids::AccountName;
use trackfront_core::outcome::RequestError;
use trackfront_core::ports::peers::{PeerAnswer, PeerMessage};
use trackfront_core::quota::share::{OutgoingRequest, WaitOutcome};
use trackfront_core::quota::{AccountId, BoxId};
use trackfront_core::tree::Tree;

use crate::in_force::TreeInForce;
use crate::shared::Shared;

/// The maximum wait for units: a few requests to a coordinator that is gone, and one to the next coordinator.
const MAX_UNITS_WAIT: Duration = Duration::from_millis(600);

/// Returns the limits of all callers.
pub fn limits(tree: &Tree) -> HashMap<AccountId, AccountLimit> {
    let of_caller = |(name, caller): (&AccountName, &trackfront_core::tree::Caller)| {
        let requests = caller.requests.map(|limit| (AccountId::of_requests(name), limit));
        let tokens = caller.tokens.map(|limit| (AccountId::of(name), limit));
        requests.into_iter().chain(tokens)
    };
    tree.callers.iter().flat_map(of_caller).collect()
}

/// Returns the ID of a box among those that share limits.
pub fn box_id(peer_address: &str) -> BoxId {
    let hash = blake3::hash(peer_address.as_bytes());
    BoxId(u32::from_le_bytes(hash.as_bytes()[..4].try_into().expect("a hash has 32 bytes")))
}

/// Sends quota requests to other boxes until the task is stopped.
pub async fn maintain_quotas(shared: Arc<Shared>) {
    loop {
        if shared.quotas.has_limits() {
            send_requests(&shared);
        }
        shared.quotas.wait_for_poll().await;
    }
}

fn send_requests(shared: &Arc<Shared>) {
    let addresses = shared.members.lock().addresses();
    let boxes: HashMap<BoxId, String> =
        addresses.into_iter().map(|address| (box_id(&address), address)).collect();
    let others: Vec<BoxId> = boxes.keys().copied().collect();
    let box_count = shared.members.lock().is_listed().then_some(others.len() + 1);
    shared.quotas.set_boxes(&others, box_count);
    for OutgoingRequest { to, request } in shared.quotas.poll(shared.outside.clock.now()) {
        let Some(address) = boxes.get(&to).cloned() else {
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let message = PeerMessage::Quota { from: box_id(&shared.peer_address), ask: request };
            match shared.outside.peers.ask(&address, message).await {
                Ok(PeerAnswer::Quota(reply)) => {
                    shared.quotas.handle_reply(to, &reply, shared.outside.clock.now());
                }
                Ok(_) => {
                    log::warn!("the peer {address} sent another kind of reply to a quota request")
                }
                Err(error) => log::debug!("{address}: {error}"),
            }
        });
    }
}

/// The units that a request took.
#[derive(Clone, Debug, Default)]
pub struct TakenUnits(Vec<(AccountId, u32)>);

impl TakenUnits {
    /// Returns the units to the account, since the request did not run.
    pub fn return_all(&self, shared: &Shared) {
        for (account, units) in &self.0 {
            shared.quotas.return_units(*account, *units);
        }
    }
}

/// Returns the error for a request whose wait for units ended without a grant.
pub fn refusal(outcome: WaitOutcome, caller: &AccountName) -> Option<RequestError> {
    let caller = caller.to_string();
    match outcome {
        WaitOutcome::Granted => None,
        WaitOutcome::LimitReached { retry_after } => {
            Some(RequestError::LimitReached { caller, retry_after })
        }
        WaitOutcome::NoCoordinator { retry_after } => {
            Some(RequestError::LimitUnavailable { caller, retry_after })
        }
    }
}

/// Takes the units of a request from its caller's limits. `tokens` is the number of tokens that it is expected to use.
pub async fn take(
    shared: &Shared,
    tree: &TreeInForce,
    caller: &AccountName,
    tokens: f64,
) -> Result<TakenUnits, RequestError> {
    let mut taken = TakenUnits::default();
    let Some(known) = tree.tree.callers.get(caller) else {
        return Ok(taken);
    };
    let requests = known.requests.map(|_| (AccountId::of_requests(caller), 1));
    // A call without tokens takes no units of the token limit.
    let units = tokens.clamp(0.0, f64::from(u32::MAX)).ceil() as u32;
    let tokens = known.tokens.filter(|_| units > 0).map(|_| (AccountId::of(caller), units));
    for (account, units) in requests.into_iter().chain(tokens) {
        let now = shared.outside.clock.now();
        let outcome = shared.quotas.take(account, units, now, MAX_UNITS_WAIT).await;
        if let Some(error) = refusal(outcome, caller) {
            taken.return_all(shared);
            return Err(error);
        }
        taken.0.push((account, units));
    }
    Ok(taken)
}
