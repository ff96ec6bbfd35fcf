//! Which servers are cold, by all that says so: their rows, their answers, and that their hall has just come back.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use trackfront_core::serving::cold::{ColdStart, ColdStartTolerance, ColdState, ColdTracker};
use trackfront_core::serving::directory::KnownServer;
use trackfront_core::serving::places::Evacuations;
use trackfront_core::units::Moment;

use super::node::ServingNode;

/// How often the boxes that may send to cold servers are looked at anew.
const BOXES_INTERVAL: Duration = Duration::from_millis(500);

/// What is known of cold servers of one service.
#[derive(Clone, Copy)]
pub struct ColdView<'a> {
    /// What its servers bear after a start; `None` if that is no less than later.
    pub start: Option<ColdStart>,
    /// How far that may be passed.
    pub terms: ColdStartTolerance,
    /// The servers, and this box's part of what they bear.
    pub book: &'a ColdTracker,
    /// The halls that are emptied or came back.
    pub evacuations: &'a Evacuations,
}

impl ColdView<'_> {
    /// Returns whether a server is cold, and whether this box may send to it.
    pub fn judge(&self, server: &KnownServer, now: Moment) -> ColdState {
        let Some(start) = self.start else {
            return ColdState::Warm;
        };
        match self.until(server, start) {
            Some(until) => self.book.state(&server.entry.id, start, self.terms, until, now),
            None => ColdState::Warm,
        }
    }

    /// Returns until when a server is cold. Of one whose hall came back that is not known: its row may say so later
    /// than the hall is used, so it is taken for as cold as after a start.
    fn until(&self, server: &KnownServer, start: ColdStart) -> Option<Moment> {
        let returned = self.evacuations.returned_at(&server.entry.zone);
        let by_hall = returned.map(|at| at + start.lasts);
        let by_answer = self.book.reported_until(&server.entry.id);
        server.cold_until().max(by_answer).max(by_hall)
    }
}

/// Keeps the list of boxes that may send to cold servers up to date, for as long as the box lives.
pub async fn maintain_senders(node: Arc<ServingNode>) {
    loop {
        // A part of the boxes would make senders of too many.
        if node.are_boxes_listed() {
            let me = node.settings.load().node.ip.to_bits();
            let others = node.peers.lock().all();
            node.cold.lock().set_boxes(me, others.into_iter().map(|ip| ip.to_bits()));
        }
        sleep(BOXES_INTERVAL).await;
    }
}

/// Takes the right to send a request to a server, if it is cold. Returns whether the request may be sent.
pub fn reserve(
    node: &ServingNode,
    start: Option<ColdStart>,
    server: &KnownServer,
    now: Moment,
) -> bool {
    let terms = node.settings.load().promises.cold();
    let evacuations = node.evacuations.lock();
    let mut book = node.cold.lock();
    let view = ColdView { start, terms, book: &book, evacuations: &evacuations };
    match (view.judge(server, now), start) {
        (ColdState::Admitting, Some(start)) => book.take(&server.entry.id, start, terms, now),
        (coldness, _) => coldness == ColdState::Warm,
    }
}
