//! The limits of callers: carries questions for them to the other boxes, and takes units for requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use trackfront_core::accounts::AccountLimit;
use trackfront_core::ids::AccountName;
use trackfront_core::outcome::RequestError;
use trackfront_core::ports::peers::{PeerAnswer, PeerMessage};
use trackfront_core::quota::share::{Outcome, OutgoingRequest};
use trackfront_core::quota::{AccountId, BoxId};
use trackfront_core::tree::Tree;

use crate::in_force::TreeInForce;
use crate::shared::Shared;

/// How long units are waited for: some questions to a keeper that is gone, and one to the next.
const PATIENCE: Duration = Duration::from_millis(600);

/// Returns the limits of all callers.
pub fn limits(tree: &Tree) -> HashMap<AccountId, AccountLimit> {
    let of_caller = |(name, caller): (&AccountName, &trackfront_core::tree::Caller)| {
        let requests = caller.requests.map(|limit| (AccountId::of_requests(name), limit));
        let tokens = caller.tokens.map(|limit| (AccountId::of(name), limit));
        requests.into_iter().chain(tokens)
    };
    tree.callers.iter().flat_map(of_caller).collect()
}

/// Returns what a box is called among those that share limits.
pub fn box_id(peer_address: &str) -> BoxId {
    let hash = blake3::hash(peer_address.as_bytes());
    BoxId(u32::from_le_bytes(hash.as_bytes()[..4].try_into().expect("a hash has 32 bytes")))
}

/// Asks the other boxes again and again, until the task is stopped.
pub async fn run(shared: Arc<Shared>) {
    loop {
        if shared.quotas.has_limits() {
            ask_boxes(&shared);
        }
        shared.quotas.woken().await;
    }
}

fn ask_boxes(shared: &Arc<Shared>) {
    let addresses = shared.members.lock().addresses();
    let boxes: HashMap<BoxId, String> =
        addresses.into_iter().map(|address| (box_id(&address), address)).collect();
    let others: Vec<BoxId> = boxes.keys().copied().collect();
    let sharing = shared.members.lock().is_listed().then_some(others.len() + 1);
    shared.quotas.set_boxes(&others, sharing);
    for OutgoingRequest { to, request } in shared.quotas.questions(shared.outside.clock.now()) {
        let Some(address) = boxes.get(&to).cloned() else {
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let message = PeerMessage::Quota { from: box_id(&shared.peer_address), ask: request };
            match shared.outside.peers.ask(&address, message).await {
                Ok(PeerAnswer::Quota(answer)) => {
                    shared.quotas.take_in(to, &answer, shared.outside.clock.now());
                }
                Ok(_) => log::warn!(
                    "the peer {address} answered a question for limits with something else"
                ),
                Err(error) => log::debug!("{address}: {error}"),
            }
        });
    }
}

/// Units that a request has taken.
#[derive(Clone, Debug, Default)]
pub struct TakenUnits(Vec<(AccountId, u32)>);

impl TakenUnits {
    /// Gives them back: the request did not run.
    pub fn give_back(&self, shared: &Shared) {
        for (account, units) in &self.0 {
            shared.quotas.give_back(*account, *units);
        }
    }
}

/// Takes the units of a request of so many expected tokens from its caller's limits.
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
    // A call without tokens takes none.
    let units = tokens.clamp(0.0, f64::from(u32::MAX)).ceil() as u32;
    let tokens = known.tokens.filter(|_| units > 0).map(|_| (AccountId::of(caller), units));
    for (account, units) in requests.into_iter().chain(tokens) {
        let now = shared.outside.clock.now();
        match shared.quotas.take(account, units, now, PATIENCE).await {
            Outcome::Granted => taken.0.push((account, units)),
            Outcome::Reached(retry_after) | Outcome::Unknown(retry_after) => {
                taken.give_back(shared);
                let caller = caller.to_string();
                return Err(RequestError::LimitReached { caller, retry_after });
            }
        }
    }
    Ok(taken)
}
