//! Claims calls that may run once, at the box that owns the claims of their service.

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

/// The maximum number of attempts to claim a call before it is refused.
const MAX_ATTEMPTS: u32 = 4;

/// The delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The retry delay for clients while no box owns the claims.
const RETRY_AFTER: Duration = Duration::from_secs(3);

/// A call that may run once, with its caller's key.
#[derive(Clone, Debug)]
pub struct ClaimedCall {
    shard: ShardId,
    claim: ClaimHashes,
}

/// The hashes that identify a claim.
#[derive(Clone, Copy, Debug)]
struct ClaimHashes {
    key: ClaimKey,
    asked: CallHash,
    request: RequestHash,
}

/// The result of claiming a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claimed {
    /// The call may be run, once.
    Run,
    /// The call ran before, with this answer.
    Answered(RecordedAnswer),
}

/// The owner of a shard's claims.
enum Owner {
    /// This box.
    Local,
    /// The box with this peer address.
    Remote(String),
}

impl ClaimedCall {
    /// Creates the claim of a call from its caller's key and the parts of its content.
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

    /// Claims the call. After [`Claimed::Run`], only this request may run it, once.
    pub async fn claim(&self, shared: &Shared) -> Result<Claimed, RequestError> {
        let claim = Claim {
            key: self.claim.key,
            asked: self.claim.asked,
            request: self.claim.request,
            at: shared.outside.clock.unix(),
        };
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 {
                shared.outside.clock.sleep(RETRY_DELAY).await;
            }
            // The same request may be claimed again, for example after a lost reply.
            match self.send_claim(shared, claim, attempt).await {
                Some(ClaimReply::Granted) => return Ok(Claimed::Run),
                Some(ClaimReply::Answered(answer)) => return Ok(Claimed::Answered(answer)),
                Some(ClaimReply::OtherCall) => return Err(RequestError::KeyReused),
                Some(ClaimReply::InDoubt) => return Err(RequestError::KeyTaken),
                Some(ClaimReply::Unavailable) | None => {}
            }
        }
        Err(RequestError::ClaimUnavailable { retry_after: RETRY_AFTER })
    }

    /// Sends the claim to its owner. Returns `None` if there was no reply.
    async fn send_claim(&self, shared: &Shared, claim: Claim, attempt: u32) -> Option<ClaimReply> {
        let address = match find_owner(shared, &self.shard, attempt).await? {
            Owner::Local => return Some(shared.claims.claim(&self.shard, claim).await),
            Owner::Remote(address) => address,
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

    /// Releases the claim, since the call did not run.
    pub fn release(&self, shared: &Arc<Shared>) {
        let (key, request) = (self.claim.key, self.claim.request);
        let message = PeerMessage::Release { shard: self.shard.clone(), key, request };
        self.notify_owner(shared, message);
    }

    /// Records the answer, for repeated calls.
    pub fn record_answer(&self, shared: &Arc<Shared>, answer: RecordedAnswer) {
        let (key, request) = (self.claim.key, self.claim.request);
        let message = PeerMessage::Answered { shard: self.shard.clone(), key, request, answer };
        self.notify_owner(shared, message);
    }

    /// Sends a message to the owner. It may be lost, which is safe: the key stays claimed, or the answer
    /// unknown.
    fn notify_owner(&self, shared: &Arc<Shared>, message: PeerMessage) {
        let (shared, shard) = (shared.clone(), self.shard.clone());
        tokio::spawn(async move {
            match find_owner(&shared, &shard, 0).await {
                Some(Owner::Local) => {
                    crate::peering::answer(shared, message).await;
                }
                Some(Owner::Remote(address)) => {
                    let _ = shared.outside.peers.ask(&address, message).await;
                }
                None => {}
            }
        });
    }
}

/// Finds the owner of the claims of `shard`: by heartbeats in the first attempt, later by the row of the
/// lease. Without an owner, it is the first box by rank.
async fn find_owner(shared: &Shared, shard: &ShardId, attempt: u32) -> Option<Owner> {
    let own = shared.claims.fence(shard);
    let reported = {
        let members = shared.members.lock();
        members.claims_owner(shard).map(|(address, fence)| (address.clone(), fence))
    };
    match (own, reported) {
        (Some(own), Some((_, reported))) if own >= reported => return Some(Owner::Local),
        (Some(_), None) => return Some(Owner::Local),
        (_, Some((address, _))) if attempt == 0 => return Some(Owner::Remote(address)),
        _ => {}
    }
    let holder = read_lease_holder(shared, shard).await;
    let members = shared.members.lock();
    match holder {
        Some(holder) if holder == shared.me => Some(Owner::Local),
        Some(holder) => members.address_of(&holder).cloned().map(Owner::Remote),
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
                return Some(Owner::Local);
            }
            members.address_of(&first).cloned().map(Owner::Remote)
        }
    }
}

/// Reads the holder of the lease of a shard's claims.
async fn read_lease_holder(
    shared: &Shared,
    shard: &ShardId,
) -> Option<trackfront_core::ids::NodeId> {
    let key = RowKey(format!("lease/claims/{shard}"));
    let row = shared.outside.table.read(&key).await.ok()??;
    let lease: LeaseRow = serde_json::from_slice(&row.value).ok()?;
    lease.holder
}
