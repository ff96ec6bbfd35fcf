//! Determines which servers are cold, by their rows, their answers, and the recent return of their
//! hall.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use trackfront_core::serving::cold::{ColdStart, ColdStartTolerance, ColdState, ColdTracker};
use trackfront_core::serving::directory::KnownServer;
use trackfront_core::serving::halls::Evacuations;
use trackfront_core::units::Moment;

use super::node::ServingNode;

/// The interval at which the boxes that may send to cold servers are updated.
const BOXES_INTERVAL: Duration = Duration::from_millis(500);

/// The view of the cold servers of one service.
#[derive(Clone, Copy)]
pub struct ColdView<'a> {
    /// The load that the servers accept after a start; `None` if they accept full load at once.
    pub start: Option<ColdStart>,
    /// How far that load may be exceeded.
    pub terms: ColdStartTolerance,
    /// The cold servers, and this box's share of the load that they accept.
    pub tracker: &'a ColdTracker,
    /// The halls that are evacuated or have returned.
    pub evacuations: &'a Evacuations,
}

impl ColdView<'_> {
    /// Returns whether a server is cold, and whether this box may send to it.
    pub fn state(&self, server: &KnownServer, now: Moment) -> ColdState {
        let Some(start) = self.start else {
            return ColdState::Warm;
        };
        match self.until(server, start) {
            Some(until) => self.tracker.state(&server.entry.id, start, self.terms, until, now),
            None => ColdState::Warm,
        }
    }

    /// Returns the time until which a server is cold. For a server of a hall that has returned,
    /// that time is unknown, and its row may be updated only after the hall is used again. So it
    /// counts as cold for as long as after a start.
    fn until(&self, server: &KnownServer, start: ColdStart) -> Option<Moment> {
        let returned = self.evacuations.reopened_at(&server.entry.hall);
        let by_hall = returned.map(|at| at + start.lasts);
        let by_answer = self.tracker.reported_until(&server.entry.id);
        server.cold_until().max(by_answer).max(by_hall)
    }
}

/// Updates the list of boxes that may send to cold servers. Runs as long as the box does.
pub async fn maintain_senders(node: Arc<ServingNode>) {
    loop {
        // With an incomplete list, too many boxes would send.
        if node.are_boxes_listed() {
            let me = node.settings.load().node.ip.to_bits();
            let others = node.peers.lock().all();
            node.cold.lock().set_boxes(me, others.into_iter().map(|ip| ip.to_bits()));
        }
        sleep(BOXES_INTERVAL).await;
    }
}

/// Reserves a send to a server if it is cold. Returns whether the request may be sent.
pub fn reserve(
    node: &ServingNode,
    start: Option<ColdStart>,
    server: &KnownServer,
    now: Moment,
) -> bool {
    let terms = node.settings.load().promises.cold();
    let evacuations = node.evacuations.lock();
    let mut tracker = node.cold.lock();
    let view = ColdView { start, terms, tracker: &tracker, evacuations: &evacuations };
    match (view.state(server, now), start) {
        (ColdState::Admitting, Some(start)) => {
            tracker.try_take(&server.entry.id, start, terms, now)
        }
        (state, _) => state == ColdState::Warm,
    }
}
