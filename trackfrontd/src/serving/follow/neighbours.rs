//! Takes a newer configuration from other boxes, beside whatever this box itself has asked the store.
//!
//! A box knows of a newer configuration from its hall's feed reader, which tells of each new row, and from the digests of
//! all boxes that send it some: a lost message is made up for by the next digest. Any box that has the configuration in
//! force can hand it out.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use tokio::time::{sleep, timeout};

use super::config::{Call, apply};
use super::feed_client::snapshot_sources;
use crate::serving::boxes;
use crate::serving::exchange::{self, NotFetched};
use crate::serving::feed_relay::{hall_peers, record_config_row};
use crate::serving::node::ServingNode;

/// The number of boxes that are asked at once, the later ones only if the first are silent.
const MAX_SOURCES: usize = 3;

/// The number of boxes that a starting box asks.
const MAX_FIRST_SOURCES: usize = 2;

/// The longest stagger between the requests of a hall's boxes.
const REQUEST_STAGGER: Duration = Duration::from_millis(5);

/// The time over which all of them spread at most, of the 2 to 4 s in which a change has to be in force.
const REQUEST_SPREAD: Duration = Duration::from_millis(300);

/// The first delay after a request that no box answered with the configuration.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The longest such delay.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// The time for which boxes of other halls are not asked, since the hall's reader likely has the configuration soon.
const OTHER_HALL_DELAY: Duration = Duration::from_millis(300);

/// The stagger between the requests of a hall's boxes to other halls: the first box that has the configuration hands it
/// out to the rest.
const OTHER_HALL_STAGGER: Duration = Duration::from_millis(50);

/// The longest delay of such a request.
const MAX_OTHER_HALL_DELAY: Duration = Duration::from_millis(800);

/// The interval at which the digests are looked at without a notification.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Takes a newer configuration from the boxes that are known to have one, or likely do. Returns `false` if none of those
/// that were asked has it.
pub async fn take_known(node: &Arc<ServingNode>) -> bool {
    stagger(node).await;
    let mut sources = sources_in_hall(node);
    if sources.is_empty() {
        let notifier = node.feed_state.lock().config_source();
        sources = snapshot_sources(node, notifier);
    }
    match take_snapshot(node, &sources).await {
        Ok(()) => true,
        Err(NotFetched::NoneHasIt) => false,
        Err(NotFetched::Busy) => {
            take_newer(node).await;
            true
        }
    }
}

/// Takes the first configuration from another box. Those that are asked first may be handing it out to others that have
/// just started; then any box is asked that may be up, until this process is `max_age` old.
pub async fn take_first(node: &Arc<ServingNode>, max_age: Duration) -> bool {
    let notifier = node.feed_state.lock().config_source();
    let mut sources = snapshot_sources(node, notifier);
    if sources.is_empty() {
        sources = boxes::likely_up(node);
        sources.truncate(MAX_FIRST_SOURCES);
    }
    while let Err(failure) = take_snapshot(node, &sources).await {
        if failure == NotFetched::NoneHasIt || node.age() >= max_age {
            return false;
        }
        sleep(FIRST_RETRY_DELAY).await;
        sources = boxes::likely_up(node);
        sources.shuffle(&mut rand::rng());
        sources.truncate(MAX_FIRST_SOURCES);
    }
    true
}

/// Takes a newer configuration from another box, as soon as one is known to have it.
pub async fn take_newer(node: &Arc<ServingNode>) {
    let known = node.config_row();
    let mut delay = FIRST_RETRY_DELAY;
    loop {
        let sources = wait_for_sources(node).await;
        stagger(node).await;
        // Another task may have put it in force meanwhile.
        if node.config_row() > known || take_snapshot(node, &sources).await.is_ok() {
            return;
        }
        sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Waits for this box's turn among those of its hall, so that they do not all ask at once.
async fn stagger(node: &ServingNode) {
    let hall = hall_peers(node);
    let step = REQUEST_STAGGER.min(REQUEST_SPREAD / (hall.others.len() as u32 + 1));
    sleep(step * hall.rank as u32).await;
}

/// Waits until boxes are known to have a newer configuration, and returns those to ask.
async fn wait_for_sources(node: &Arc<ServingNode>) -> Vec<Ipv4Addr> {
    loop {
        let update = node.feed_update_received.notified();
        let sources = sources_in_hall(node);
        if !sources.is_empty() {
            return sources;
        }
        if has_holders_elsewhere(node) {
            return wait_for_other_halls(node).await;
        }
        // The digests are looked at again with or without an update.
        let _ = timeout(CHECK_INTERVAL, update).await;
    }
}

/// Waits for this hall's boxes a little before those of other halls are asked.
async fn wait_for_other_halls(node: &Arc<ServingNode>) -> Vec<Ipv4Addr> {
    let stagger = OTHER_HALL_STAGGER * hall_peers(node).rank as u32;
    let asked_at = node.now() + (OTHER_HALL_DELAY + stagger).min(MAX_OTHER_HALL_DELAY);
    while node.now() < asked_at {
        let update = node.feed_update_received.notified();
        let sources = sources_in_hall(node);
        if !sources.is_empty() {
            return sources;
        }
        // Without an update the time is checked again.
        let _ = timeout(asked_at.since(node.now()).min(CHECK_INTERVAL), update).await;
    }
    let mut sources = node.peers.lock().config_holders(node.config_row(), node.now()).elsewhere;
    sources.shuffle(&mut rand::rng());
    sources.truncate(MAX_SOURCES);
    sources
}

/// Returns boxes of this hall that have a newer configuration, in random order.
fn sources_in_hall(node: &ServingNode) -> Vec<Ipv4Addr> {
    let known = node.config_row();
    let mut sources = node.peers.lock().config_holders(known, node.now()).in_hall;
    let notifier = {
        let feed_state = node.feed_state.lock();
        feed_state.config_source().filter(|_| feed_state.config_row() > known)
    };
    if let Some(notifier) = notifier.filter(|ip| !sources.contains(ip)) {
        sources.push(notifier);
    }
    sources.shuffle(&mut rand::rng());
    sources.truncate(MAX_SOURCES);
    sources
}

fn has_holders_elsewhere(node: &ServingNode) -> bool {
    let known = node.config_row();
    !node.peers.lock().config_holders(known, node.now()).elsewhere.is_empty()
}

/// Requests a newer configuration than this box's from `sources`.
///
/// # Errors
///
/// If none of them sent one.
async fn take_snapshot(node: &Arc<ServingNode>, sources: &[Ipv4Addr]) -> Result<(), NotFetched> {
    let known = node.config_row();
    let asked_at = node.now();
    let (source, stored) = exchange::fetch_config(node, sources, known).await?;
    apply(node, stored, Call { asked_at, answered_by: Some(source) });
    if node.peers.lock().is_in_hall(source) {
        // The hall was notified of this row already, since another box has it.
        record_config_row(node, node.config_row(), None);
    }
    if node.config_row() > known { Ok(()) } else { Err(NotFetched::NoneHasIt) }
}
