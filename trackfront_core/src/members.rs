//! The other entry boxes: those on the platform's list, which lags, and those that send heartbeats.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{Fence, HallName, NodeId, Revision, ShardId};
use crate::ports::peers::{Heartbeat, OwnedClaims, PeerState};
use crate::ports::{ListedBox, ListedRole, ListedState};
use crate::units::Moment;

/// The time after its last heartbeat for which a box counts as live: three heartbeat intervals.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a box is kept that is neither listed nor sends heartbeats.
const RETENTION: Duration = Duration::from_secs(600);

/// Another entry box.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its identity; `None` before its first heartbeat.
    pub id: Option<NodeId>,
    /// Its hall.
    pub hall: HallName,
    /// The state that it reported. A box that leaves stays in that state.
    pub state: PeerState,
    /// The revision that is in force at it.
    pub revision: Revision,
    /// When its last heartbeat arrived.
    pub heard_at: Option<Moment>,
    /// Its state on the platform's list; `None` if it is not on it.
    pub listed: Option<ListedState>,
    /// When this box learned of it.
    pub known_since: Moment,
    /// The shards whose claims it owns.
    pub claims: Vec<OwnedClaims>,
}

impl Member {
    fn new(hall: HallName, known_since: Moment) -> Self {
        Self {
            id: None,
            hall,
            state: PeerState::Joining,
            revision: Revision::default(),
            heard_at: None,
            listed: None,
            known_since,
            claims: Vec::new(),
        }
    }
}

/// A change to be recorded in the audit trail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// The box.
    pub id: NodeId,
    /// Its new state.
    pub state: PeerState,
}

/// All other entry boxes by their peer address.
#[derive(Debug, Default)]
pub struct Members {
    by_address: BTreeMap<String, Member>,
    /// Whether the platform's list was read.
    listed: bool,
}

impl Members {
    /// Applies the platform's list, except for `own_address`.
    pub fn set_list(&mut self, list: &[ListedBox], own_address: &str, now: Moment) {
        self.listed = true;
        for member in self.by_address.values_mut() {
            member.listed = None;
        }
        let others = list
            .iter()
            .filter(|listed| listed.role == ListedRole::Entry && listed.address != own_address);
        for listed in others {
            let member = self
                .by_address
                .entry(listed.address.clone())
                .or_insert_with(|| Member::new(listed.hall.clone(), now));
            member.listed = Some(listed.state);
        }
        self.by_address.retain(|_, member| {
            let last = member.heard_at.unwrap_or(member.known_since);
            member.listed.is_some() || now.since(last) < RETENTION
        });
    }

    /// Applies a heartbeat. A box with another identity at the same address is a new box.
    pub fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, now: Moment) -> Option<MemberChange> {
        let member = self
            .by_address
            .entry(heartbeat.address.clone())
            .or_insert_with(|| Member::new(heartbeat.hall.clone(), now));
        let same = member.id.as_ref() == Some(&heartbeat.from);
        let state = match (same, member.state) {
            (true, PeerState::Leaving) => PeerState::Leaving,
            _ => heartbeat.state,
        };
        let changed = !same || state != member.state;
        member.id = Some(heartbeat.from.clone());
        member.hall = heartbeat.hall.clone();
        member.state = state;
        // Heartbeats may arrive out of order, and the revision of a box never decreases.
        member.revision = match same {
            true => member.revision.max(heartbeat.revision),
            false => heartbeat.revision,
        };
        member.heard_at = Some(now);
        member.claims = heartbeat.claims.clone();
        changed.then(|| MemberChange { id: heartbeat.from.clone(), state })
    }

    /// Returns whether the platform's list was read, so all boxes are known.
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    /// Returns the addresses of all known boxes.
    pub fn addresses(&self) -> Vec<String> {
        self.by_address.keys().cloned().collect()
    }

    /// Returns all known boxes.
    pub fn all(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.by_address.iter()
    }

    /// Returns the live boxes that accept new work.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = (&String, &Member)> {
        self.by_address.iter().filter(move |(_, member)| {
            member.state == PeerState::Serving
                && member.listed != Some(ListedState::Leaving)
                && member.heard_at.is_some_and(|heard_at| now.since(heard_at) < LIVENESS_TIMEOUT)
        })
    }

    /// Returns the address of the box that owns the claims of `shard` with the largest token.
    pub fn claims_owner(&self, shard: &ShardId) -> Option<(&String, Fence)> {
        self.by_address
            .iter()
            .flat_map(|(address, member)| member.claims.iter().map(move |kept| (address, kept)))
            .filter(|(_, kept)| kept.shard == *shard)
            .map(|(address, kept)| (address, kept.fence))
            .max_by_key(|(_, fence)| *fence)
    }

    /// Returns the address of the box with this identity.
    pub fn address_of(&self, id: &NodeId) -> Option<&String> {
        self.by_address
            .iter()
            .find(|(_, member)| member.id.as_ref() == Some(id))
            .map(|(address, _)| address)
    }

    /// Returns the identities of the live boxes.
    pub fn live_ids(&self, now: Moment) -> Vec<NodeId> {
        self.live(now).filter_map(|(_, member)| member.id.clone()).collect()
    }
}

/// Returns the rank of `own_id` among `others` for `subject`, from zero. With rendezvous hashing,
/// boxes that know the same members agree on the ranks without communication.
pub fn rank(subject: &str, own_id: &NodeId, others: &[NodeId]) -> usize {
    let own = weight(subject, own_id);
    others.iter().filter(|other| weight(subject, other) > own).count()
}

fn weight(subject: &str, member: &NodeId) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(subject.as_bytes());
    hasher.update(&[0]);
    hasher.update(member.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}

#[cfg(test)]
mod tests;
