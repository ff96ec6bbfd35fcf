//! A request that is declared to the coordinator of its engine.

use std::sync::Arc;

use trackfront_core::quota::BoxId;
use trackfront_core::serving::coordinated_load::DeclaredWork;
use trackfront_core::serving::directory::ServerEntry;

use super::{apply_change, coordinator, own_id};
use crate::serving::messages::{LoadChange, LoadChangeKind, Message};
use crate::serving::node::ServingNode;
use crate::serving::short_names::short_server;

/// A request at an engine, declared as ended when this is dropped.
pub struct DeclaredRequest {
    node: Arc<ServingNode>,
    /// The box that all declarations of this request go to, even if another one coordinates the engine in the meantime.
    coordinator: BoxId,
    server: u32,
    number: u32,
    has_first_event: bool,
}

/// Declares a request to the coordinator of the engine that it is being sent to; `None` if there is no coordinator.
pub fn declare(
    node: &Arc<ServingNode>,
    server: &ServerEntry,
    work: DeclaredWork,
) -> Option<DeclaredRequest> {
    let coordinator = coordinator(node, server, node.now())?.id;
    let request = DeclaredRequest {
        node: node.clone(),
        coordinator,
        server: short_server(&server.id),
        number: node.engine_loads.next_number(),
        has_first_event: false,
    };
    request.report(LoadChangeKind::Begun(work));
    Some(request)
}

impl DeclaredRequest {
    /// Declares the first event of the answer, with the pace that the engine reported. Later calls have no effect.
    pub fn first_event(&mut self, pace: Option<u32>) {
        if !self.has_first_event {
            self.has_first_event = true;
            self.report(LoadChangeKind::FirstEvent { pace });
        }
    }

    fn report(&self, kind: LoadChangeKind) {
        let change = LoadChange { number: self.number, server: self.server, kind };
        let me = own_id(&self.node);
        match self.coordinator == me {
            true => apply_change(&self.node, me, &change),
            false => self.node.engine_loads.send(self.coordinator, Message::LoadChange(change)),
        }
    }
}

impl Drop for DeclaredRequest {
    fn drop(&mut self) {
        self.report(LoadChangeKind::Ended);
    }
}
