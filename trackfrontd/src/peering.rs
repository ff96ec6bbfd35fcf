//! Messages between boxes: heartbeats, trees, claims and quotas.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use trackfront_core::audit::AuditEvent;
use trackfront_core::fleet::EngineDigest;
use trackfront_core::ids::BackendId;
use trackfront_core::ports::peers::{Heartbeat, PeerAnswer, PeerMessage};
use trackfront_core::ports::{ListedBox, ListedRole, ListedState};

use crate::follower;
use crate::shared::Shared;

/// The interval of heartbeats to each peer.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The interval at which the platform's box list is read.
const BOX_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the platform's box list until the task is stopped.
pub async fn follow_box_list(shared: Arc<Shared>) {
    loop {
        match shared.outside.boxes.boxes().await {
            Ok(list) => apply_box_list(&shared, &list),
            Err(error) => log::warn!("{error}"),
        }
        shared.sleep_about(BOX_LIST_INTERVAL).await;
    }
}

/// Applies the platform's box list: the other boxes, and the engines that are leaving.
fn apply_box_list(shared: &Shared, list: &[ListedBox]) {
    let now = shared.outside.clock.now();
    shared.members.lock().set_list(list, &shared.peer_address, now);
    let Some(current) = shared.in_force.current() else {
        return;
    };
    let leaving: Vec<&str> = list
        .iter()
        .filter(|listed| listed.role == ListedRole::Backend && listed.state == ListedState::Leaving)
        .map(|listed| listed.address.as_str())
        .collect();
    let is_leaving = |id: &BackendId| {
        let backend = current.tree.backends().find(|(known, _)| *known == id);
        backend.is_some_and(|(_, backend)| leaving.contains(&backend.address.as_str()))
    };
    shared.fleet.set_leaving(is_leaving, now);
}

/// Sends heartbeats until the task is stopped.
pub async fn send_heartbeats(shared: Arc<Shared>) {
    loop {
        send_heartbeat(&shared).await;
        shared.sleep_about(HEARTBEAT_INTERVAL).await;
    }
}

/// Sends a heartbeat to each peer and applies the replies.
pub async fn send_heartbeat(shared: &Arc<Shared>) {
    let addresses = shared.members.lock().addresses();
    let heartbeat = own_heartbeat(shared, true);
    let heartbeats = addresses.into_iter().map(|address| {
        let message = PeerMessage::Heartbeat(heartbeat.clone());
        let shared = shared.clone();
        async move {
            match shared.outside.peers.ask(&address, message).await {
                Ok(PeerAnswer::Heartbeat(answer)) => apply_heartbeat(&shared, &answer).await,
                Ok(_) => log::warn!("the peer {address} answered a heartbeat with something else"),
                Err(error) => log::debug!("{address}: {error}"),
            }
        }
    });
    futures::future::join_all(heartbeats).await;
    let now = shared.outside.clock.now();
    let live = shared.members.lock().live(now).count();
    shared.metrics.live_peers.set(live as i64);
}

/// Handles a peer's message and returns the reply.
pub async fn answer(shared: Arc<Shared>, message: PeerMessage) -> PeerAnswer {
    match message {
        PeerMessage::Heartbeat(heartbeat) => {
            // Fetching a newer tree must not delay the reply.
            let answer = own_heartbeat(&shared, false);
            tokio::spawn(async move { apply_heartbeat(&shared, &heartbeat).await });
            PeerAnswer::Heartbeat(answer)
        }
        PeerMessage::FetchTree { newer_than } => match shared.in_force.current() {
            Some(current) if current.snapshot.revision > newer_than => {
                PeerAnswer::Tree { snapshot: Bytes::from(current.snapshot.encode()) }
            }
            _ => PeerAnswer::NoNewerTree,
        },
        PeerMessage::Claim { shard, claim } => {
            PeerAnswer::Claim(shared.claims.claim(&shard, claim).await)
        }
        PeerMessage::Release { shard, key, request } => {
            shared.claims.release(&shard, key, request);
            PeerAnswer::Noted
        }
        PeerMessage::Quota { from, ask } => {
            let reply = shared.quotas.handle_request(from, &ask, shared.outside.clock.now());
            reply.map_or(PeerAnswer::Noted, PeerAnswer::Quota)
        }
        PeerMessage::Answered { shard, key, request, answer } => {
            shared.claims.record_answer(&shard, key, request, answer);
            PeerAnswer::Noted
        }
    }
}

/// Applies a peer's heartbeat.
async fn apply_heartbeat(shared: &Shared, heartbeat: &Heartbeat) {
    let now = shared.outside.clock.now();
    let change = shared.members.lock().apply_heartbeat(heartbeat, now);
    if let Some(change) = change {
        let state = format!("{:?}", change.state).to_lowercase();
        shared.audit.record(AuditEvent::MemberChanged { member: change.id, state });
    }
    shared.demand.apply_report(&heartbeat.from, &heartbeat.items, now);
    for digest in &heartbeat.digests {
        shared.fleet.apply_digest(digest, now);
    }
    if heartbeat.revision > shared.in_force.revision()
        && let Err(error) = follower::fetch_from_peer(shared, &heartbeat.address).await
    {
        log::warn!("the tree of {} cannot be fetched: {error}", heartbeat.address);
    }
}

/// Returns this box's heartbeat, optionally with the digests that it has read itself.
fn own_heartbeat(shared: &Shared, with_digests: bool) -> Heartbeat {
    let now = shared.outside.clock.now();
    let digests: Vec<EngineDigest> =
        if with_digests { shared.fleet.own_digests(now) } else { Vec::new() };
    Heartbeat {
        from: shared.me.clone(),
        address: shared.peer_address.clone(),
        hall: shared.place.hall.clone(),
        state: shared.state(),
        revision: shared.in_force.revision(),
        digests,
        claims: shared.claims.owned(),
        items: shared.demand.report(now),
    }
}
