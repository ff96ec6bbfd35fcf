//! An index of the servers that may be chosen, by service and by model.
//!
//! Each change updates the index incrementally: most changes move no server, and rebuilding it for
//! thousands of servers would take most of the capacity of a small box.

use std::collections::HashMap;
use std::sync::Arc;

use super::KnownServer;
use crate::ids::{BackendId, ModelName, ServiceName};
use crate::units::Moment;

/// Servers ordered by identifier.
type Sorted = Vec<Arc<KnownServer>>;

/// The servers that may be chosen.
///
/// An address belongs to one server at a time. Of several servers that claim it, the one that was
/// discovered last has it, since the row of a crashed server remains for a while. Versions cannot
/// decide this, because a row can arrive after its server has ended.
#[derive(Debug, Default)]
pub struct ServerIndex {
    by_service: HashMap<ServiceName, Sorted>,
    by_model: HashMap<ModelName, Sorted>,
    /// All servers that claim each address.
    at_address: HashMap<String, Vec<Arc<KnownServer>>>,
}

impl ServerIndex {
    /// Returns the servers of a service, ordered by identifier.
    pub fn of_service(&self, service: &ServiceName) -> &[Arc<KnownServer>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the servers whose rows report that they hold a model, ordered by identifier.
    pub fn holding(&self, model: &ModelName) -> &[Arc<KnownServer>] {
        self.by_model.get(model).map_or(&[], Vec::as_slice)
    }

    /// Replaces the record `before` of a server with `after`. Either is `None` for a server that is
    /// added or removed.
    pub fn replace(&mut self, before: Option<&Arc<KnownServer>>, after: Option<&Arc<KnownServer>>) {
        if let (Some(before), Some(after)) = (before, after)
            && before.entry.address == after.entry.address
        {
            self.reindex(&after.entry.address, |servers| {
                servers.retain(|known| known.entry.id != before.entry.id);
                servers.push(after.clone());
            });
            return;
        }
        if let Some(before) = before {
            let id = &before.entry.id;
            self.reindex(&before.entry.address, |servers| {
                servers.retain(|known| known.entry.id != *id);
            });
        }
        if let Some(after) = after {
            self.reindex(&after.entry.address, |servers| servers.push(after.clone()));
        }
    }

    /// Changes the servers that claim an address, and indexes the eligible ones anew.
    fn reindex(&mut self, address: &str, change: impl FnOnce(&mut Vec<Arc<KnownServer>>)) {
        let mut servers = self.at_address.remove(address).unwrap_or_default();
        eligible(&servers).for_each(|known| self.remove(known));
        change(&mut servers);
        eligible(&servers).for_each(|known| self.add(known));
        if !servers.is_empty() {
            self.at_address.insert(address.to_owned(), servers);
        }
    }

    fn add(&mut self, known: &Arc<KnownServer>) {
        insert_sorted(self.by_service.entry(known.entry.service.clone()).or_default(), known);
        for model in known.entry.models.keys() {
            insert_sorted(self.by_model.entry(model.clone()).or_default(), known);
        }
    }

    fn remove(&mut self, known: &Arc<KnownServer>) {
        if let Some(servers) = self.by_service.get_mut(&known.entry.service) {
            remove_sorted(servers, &known.entry.id);
        }
        for model in known.entry.models.keys() {
            if let Some(servers) = self.by_model.get_mut(model) {
                remove_sorted(servers, &known.entry.id);
            }
        }
    }
}

/// Returns the servers at one address that may be chosen: those that were discovered last.
fn eligible(servers: &[Arc<KnownServer>]) -> impl Iterator<Item = &Arc<KnownServer>> {
    let last =
        servers.iter().map(|known| known.first_learned_at).max().unwrap_or(Moment::default());
    servers.iter().filter(move |known| known.first_learned_at >= last)
}

fn insert_sorted(servers: &mut Sorted, known: &Arc<KnownServer>) {
    if let Err(index) = position(servers, &known.entry.id) {
        servers.insert(index, known.clone());
    }
}

fn remove_sorted(servers: &mut Sorted, id: &BackendId) {
    if let Ok(index) = position(servers, id) {
        servers.remove(index);
    }
}

fn position(servers: &Sorted, id: &BackendId) -> Result<usize, usize> {
    servers.binary_search_by(|known| known.entry.id.cmp(id))
}
