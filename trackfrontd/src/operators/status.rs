//! The status of a box and its knowledge of the deployment.

use trackfront_adapters::wire::operator::{ItemStatus, MemberStatus, Status};
use trackfront_core::ports::ListedState;

use crate::shared::Shared;

/// Returns the status of a box.
pub fn status(shared: &Shared) -> Status {
    Status {
        id: shared.me.clone(),
        hall: shared.place.hall.to_string(),
        state: shared.state(),
        revision: shared.in_force.revision(),
        members: members(shared),
        shards: shared.owned.lock().values().cloned().collect(),
        items: items(shared),
    }
}

fn members(shared: &Shared) -> Vec<MemberStatus> {
    let now = shared.outside.clock.now();
    let members = shared.members.lock();
    let live: Vec<&String> = members.live(now).map(|(address, _)| address).collect();
    members
        .all()
        .map(|(address, member)| MemberStatus {
            address: address.clone(),
            id: member.id.clone(),
            hall: member.hall.to_string(),
            state: member.state,
            live: live.contains(&address),
            listed: member.listed == Some(ListedState::Live),
            revision: member.revision,
        })
        .collect()
}

fn items(shared: &Shared) -> Vec<ItemStatus> {
    let Some(current) = shared.in_force.current() else {
        return Vec::new();
    };
    current
        .targets
        .values()
        .map(|target| ItemStatus {
            name: target.name.clone(),
            item: target.item.to_string(),
            ready_on: shared.fleet.ready_count(&target.item),
        })
        .collect()
}
