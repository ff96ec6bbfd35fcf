//! Claims calls that may run once, from whichever box keeps the claims of their service.

use std::sync::Arc;
use std::time::Duration;

use trackfront_core::claims::{
    CallHash, Claim, ClaimKey, ClaimReply, RecordedAnswer, RequestHash, hash_parts,
};
use trackfront_core::ids::{AccountName, RequestId, ShardId};
use trackfront_core::lease::LeaseRow;
use trackfront_core::members::rank;
use trackfront_core::outcome::RequestError;
use trackfront_core::ports::RowKey;
use trackfront_core::ports::peers::{PeerAnswer, PeerMessage};

use crate::shared::Shared;

/// How often a claim is asked for before the call is refused.
const ATTEMPTS: u32 = 4;

/// How long to wait between two attempts.
const PAUSE: Duration = Duration::from_millis(100);

/// When to come back if no box keeps the claims now.
const RETRY_AFTER: Duration = Duration::from_secs(3);

/// A call that may run once, under its caller's key.
#[derive(Clone, Debug)]
pub struct ClaimedCall {
    shard: ShardId,
    claim: ClaimHashes,
}

/// The hashes by which a claim is made.
#[derive(Clone, Copy, Debug)]
struct ClaimHashes {
    key: ClaimKey,
    asked: CallHash,
    request: RequestHash,
}

/// What to do with a call that was claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claimed {
    /// Run it, once.
    Run,
    /// It was run before; this is its answer.
    Answered(RecordedAnswer),
}

/// Where the claims of a shard are kept.
enum Keeper {
    /// On this box.
    Here,
    /// On the box at this peer address.
    At(String),
}

impl ClaimedCall {
    /// Makes the claim of a call by its caller's key and the parts that say what is called.
    pub fn new(
        shard: ShardId,
        caller: &AccountName,
        key: &str,
        asked: &[&[u8]],
        request: &RequestId,
    ) -> Self {
        let service = shard.to_string();
        let key_parts = [service.as_bytes(), caller.as_str().as_bytes(), key.as_bytes()];
        let claim = ClaimHashes {
            key: ClaimKey(hash_parts(&key_parts)),
            asked: CallHash(hash_parts(asked) as u64),
            request: RequestHash(hash_parts(&[request.as_str().as_bytes()]) as u64),
        };
        Self { shard, claim }
    }

    /// Claims the call. After [`Claimed::Run`] this request, and no other, may run it, once.
    pub async fn claim(&self, shared: &Shared) -> Result<Claimed, RequestError> {
        let claim = Claim {
            key: self.claim.key,
            asked: self.claim.asked,
            request: self.claim.request,
            at: shared.outside.clock.unix(),
        };
        for attempt in 0..ATTEMPTS {
            if attempt > 0 {
                shared.outside.clock.sleep(PAUSE).await;
            }
            // Asking again for the same request is harmless, also after a lost reply.
            match self.ask(shared, claim, attempt).await {
                Some(ClaimReply::Granted) => return Ok(Claimed::Run),
                Some(ClaimReply::Answered(answer)) => return Ok(Claimed::Answered(answer)),
                Some(ClaimReply::OtherCall) => return Err(RequestError::KeyReused),
                Some(ClaimReply::InDoubt) => return Err(RequestError::KeyTaken),
                Some(ClaimReply::Unavailable) | None => {}
            }
        }
        Err(RequestError::ClaimUnavailable { retry_after: RETRY_AFTER })
    }

    /// Asks whichever box keeps the claims; `None` if its answer is lost.
    async fn ask(&self, shared: &Shared, claim: Claim, attempt: u32) -> Option<ClaimReply> {
        let address = match find_owner(shared, &self.shard, attempt).await? {
            Keeper::Here => return Some(shared.claims.claim(&self.shard, claim).await),
            Keeper::At(address) => address,
        };
        let message = PeerMessage::Claim { shard: self.shard.clone(), claim };
        match shared.outside.peers.ask(&address, message).await {
            Ok(PeerAnswer::Claim(reply)) => Some(reply),
            Ok(_) => None,
            Err(error) => {
                log::debug!("the claim was not answered: {error}");
                None
            }
        }
    }

    /// Gives the claim back, after the call is known not to have run.
    pub fn release(&self, shared: &Arc<Shared>) {
        let (key, request) = (self.claim.key, self.claim.request);
        let message = PeerMessage::Release { shard: self.shard.clone(), key, request };
        self.tell(shared, message);
    }

    /// Tells the answer, for repeats.
    pub fn answered(&self, shared: &Arc<Shared>, answer: RecordedAnswer) {
        let (key, request) = (self.claim.key, self.claim.request);
        let message = PeerMessage::Answered { shard: self.shard.clone(), key, request, answer };
        self.tell(shared, message);
    }

    /// Sends a message that may be lost: a key that is not given back stays taken, and an answer
    /// that is not recorded is not known, which are both safe.
    fn tell(&self, shared: &Arc<Shared>, message: PeerMessage) {
        let (shared, shard) = (shared.clone(), self.shard.clone());
        tokio::spawn(async move {
            match find_owner(&shared, &shard, 0).await {
                Some(Keeper::Here) => {
                    crate::peering::answer(shared, message).await;
                }
                Some(Keeper::At(address)) => {
                    let _ = shared.outside.peers.ask(&address, message).await;
                }
                None => {}
            }
        });
    }
}

/// Finds the box that keeps the claims of `shard`: by heartbeats at first; by the lease's row
/// if that did not help; and if nobody keeps them, the box whose turn it is.
async fn find_owner(shared: &Shared, shard: &ShardId, attempt: u32) -> Option<Keeper> {
    let own = shared.claims.fence(shard);
    let heard = {
        let members = shared.members.lock();
        members.claims_owner(shard).map(|(address, fence)| (address.clone(), fence))
    };
    match (own, heard) {
        (Some(own), Some((_, heard))) if own >= heard => return Some(Keeper::Here),
        (Some(_), None) => return Some(Keeper::Here),
        (_, Some((address, _))) if attempt == 0 => return Some(Keeper::At(address)),
        _ => {}
    }
    let holder = holder_by_table(shared, shard).await;
    let members = shared.members.lock();
    match holder {
        Some(holder) if holder == shared.me => Some(Keeper::Here),
        Some(holder) => members.address_of(&holder).cloned().map(Keeper::At),
        None => {
            let now = shared.outside.clock.now();
            let key = format!("lease/claims/{shard}");
            let others = members.live_ids(now);
            let first = others
                .iter()
                .chain([&shared.me])
                .find(|id| {
                    let rest: Vec<_> =
                        others.iter().chain([&shared.me]).filter(|o| o != id).cloned().collect();
                    rank(&key, id, &rest) == 0
                })?
                .clone();
            if first == shared.me {
                return Some(Keeper::Here);
            }
            members.address_of(&first).cloned().map(Keeper::At)
        }
    }
}

/// Reads who holds the lease of a shard's claims.
async fn holder_by_table(shared: &Shared, shard: &ShardId) -> Option<trackfront_core::ids::NodeId> {
    let key = RowKey(format!("lease/claims/{shard}"));
    let row = shared.outside.table.read(&key).await.ok()??;
    let lease: LeaseRow = serde_json::from_slice(&row.value).ok()?;
    lease.holder
}
