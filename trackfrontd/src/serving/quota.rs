//! Exchanges quota requests and replies for the limits of client accounts with other boxes, as
//! datagrams.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use trackfront_core::accounts::AccountLimit;
use trackfront_core::quota::{AccountId, BoxId, QuotaReply, QuotaRequest};
use trackfront_core::serving::config::ServingConfig;
use trackfront_core::units::Moment;

use super::messages::Message;
use super::node::ServingNode;
use super::peer_socket::PeerSocket;

/// The interval at which the boxes that share the limits are updated.
const BOXES_INTERVAL: Duration = Duration::from_millis(1_000);

/// Returns the limits of the client accounts in a configuration.
pub fn limits(config: &ServingConfig) -> HashMap<AccountId, AccountLimit> {
    let accounts = config.accounts.iter().flat_map(|accounts| accounts.all());
    accounts.filter_map(|account| Some((AccountId::of(&account.name), account.limit?))).collect()
}

/// Sends quota requests to other boxes. Runs as long as the box does.
pub async fn maintain_quotas(node: Arc<ServingNode>, socket: Arc<PeerSocket>) {
    let mut boxes_set_at: Option<Moment> = None;
    let mut knew_all_boxes = false;
    loop {
        let now = node.now();
        if node.quotas.has_limits() {
            // A box refuses requests of limited accounts until its limits know that all boxes are
            // known. When this was only checked once a second, it took up to 1 s longer than needed
            // in more than half of the starts of eight boxes at a time.
            let knows_all_boxes = node.are_boxes_listed();
            let learned_all = knows_all_boxes && !knew_all_boxes;
            if learned_all || boxes_set_at.is_none_or(|at| now.since(at) >= BOXES_INTERVAL) {
                set_boxes(&node, now);
                boxes_set_at = Some(now);
                knew_all_boxes = knows_all_boxes;
            }
            for outgoing in node.quotas.poll(now) {
                let message = Message::QuotaRequest(outgoing.request);
                socket.send_now(&message, Ipv4Addr::from_bits(outgoing.to.0));
            }
        }
        node.quotas.wait_for_poll().await;
    }
}

fn set_boxes(node: &ServingNode, now: Moment) {
    let peers = node.peers.lock();
    let others: Vec<BoxId> = peers.reachable(now).iter().map(|ip| box_id(*ip)).collect();
    let box_count = node.are_boxes_listed().then(|| peers.budget_box_count(now));
    drop(peers);
    node.quotas.set_boxes(&others, box_count);
}

/// Returns the identifier of a box among those that share limits.
pub fn box_id(ip: Ipv4Addr) -> BoxId {
    BoxId(ip.to_bits())
}

/// Answers the quota request of another box.
pub fn handle_request(
    node: &ServingNode,
    socket: &PeerSocket,
    ip: Ipv4Addr,
    request: &QuotaRequest,
) {
    if let Some(reply) = node.quotas.handle_request(box_id(ip), request, node.now()) {
        socket.send_now(&Message::QuotaReply(reply), ip);
    }
}

/// Handles another box's reply to a quota request.
pub fn handle_reply(node: &ServingNode, ip: Ipv4Addr, reply: &QuotaReply) {
    node.quotas.handle_reply(box_id(ip), reply, node.now());
}
