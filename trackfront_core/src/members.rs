//! The entry boxes that a box knows: the platform's lagging list, and what peers say.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{Fence, HallName, NodeId, Revision, ShardId};
use crate::ports::peers::{ClaimsKept, Heartbeat, PeerState};
use crate::ports::{ListedBox, ListedRole, ListedState};
use crate::units::Moment;

/// How long a box counts as live after it was last heard: three heartbeats.
pub const LIVE_FOR: Duration = Duration::from_secs(3);

/// How long a box that is neither listed nor heard is remembered.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Another entry box.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its identity, once it was heard.
    pub id: Option<NodeId>,
    /// Its hall.
    pub hall: HallName,
    /// Its state, by its own word; leaving is never taken back.
    pub state: PeerState,
    /// The revision in force there.
    pub revision: Revision,
    /// When it was last heard.
    pub heard: Option<Moment>,
    /// What the platform says of it; `None` if it is not in the list.
    pub listed: Option<ListedState>,
    /// When it was first known.
    pub known: Moment,
    /// The shards whose claims it keeps.
    pub claims: Vec<ClaimsKept>,
}

impl Member {
    fn new(hall: HallName, known: Moment) -> Self {
        Self {
            id: None,
            hall,
            state: PeerState::Joining,
            revision: Revision::default(),
            heard: None,
            listed: None,
            known,
            claims: Vec::new(),
        }
    }
}

/// A change that is worth a line in the audit trail.
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
    /// Takes in the platform's list. `own_address` is left out.
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
            let last = member.heard.unwrap_or(member.known);
            member.listed.is_some() || now.since(last) < FORGET_AFTER
        });
    }

    /// Takes in a heartbeat. A box that comes back with another identity is another box.
    pub fn heard(&mut self, heartbeat: &Heartbeat, now: Moment) -> Option<MemberChange> {
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
        // A heartbeat can be overtaken by a later one, and a box's revision never goes down.
        member.revision = match same {
            true => member.revision.max(heartbeat.revision),
            false => heartbeat.revision,
        };
        member.heard = Some(now);
        member.claims = heartbeat.claims.clone();
        changed.then(|| MemberChange { id: heartbeat.from.clone(), state })
    }

    /// Returns whether the platform's list was read, so that all boxes are known.
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

    /// Returns the boxes that were heard lately and take new work.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = (&String, &Member)> {
        self.by_address.iter().filter(move |(_, member)| {
            member.state == PeerState::Serving
                && member.listed != Some(ListedState::Leaving)
                && member.heard.is_some_and(|heard| now.since(heard) < LIVE_FOR)
        })
    }

    /// Returns the address of the box that keeps the claims of `shard` under the largest token.
    pub fn claims_keeper(&self, shard: &ShardId) -> Option<(&String, Fence)> {
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

/// Returns the place of `me` among `others` for `subject`, from zero: rendezvous hashing, by
/// which all boxes that see the same members agree without a word.
pub fn rank(subject: &str, me: &NodeId, others: &[NodeId]) -> usize {
    let own = weight(subject, me);
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
