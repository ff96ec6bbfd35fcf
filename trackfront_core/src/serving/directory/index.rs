//! The servers that may be chosen, by service and by the models that they hold.
//!
//! Kept up to date by each change alone: most move no server, and of thousands of servers listing all anew for those
//! that do is most of what a small box can do.

use std::collections::HashMap;
use std::sync::Arc;

use super::KnownServer;
use crate::ids::{BackendId, ModelName, ServiceName};
use crate::units::Moment;

/// Servers in the order of their identifiers.
type Sorted = Vec<Arc<KnownServer>>;

/// The servers that may be chosen. An address has one server at a time: of several that say that they are there, the one
/// that was learned of last, as the row of one that crashed stays for a while. Versions do not tell, as what a server
/// wrote may arrive after its end.
#[derive(Debug, Default)]
pub struct ServerIndex {
    by_service: HashMap<ServiceName, Sorted>,
    by_model: HashMap<ModelName, Sorted>,
    /// All servers at each address.
    at_address: HashMap<String, Vec<Arc<KnownServer>>>,
}

impl ServerIndex {
    /// Returns the servers of a service.
    pub fn of_service(&self, service: &ServiceName) -> &[Arc<KnownServer>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the servers whose rows say that they hold a model.
    pub fn holding(&self, model: &ModelName) -> &[Arc<KnownServer>] {
        self.by_model.get(model).map_or(&[], Vec::as_slice)
    }

    /// Puts what a server says now in the place of what it said before.
    pub fn replace(&mut self, before: Option<&Arc<KnownServer>>, after: Option<&Arc<KnownServer>>) {
        if let (Some(before), Some(after)) = (before, after)
            && before.entry.address == after.entry.address
        {
            self.relist(&after.entry.address, |servers| {
                servers.retain(|known| known.entry.id != before.entry.id);
                servers.push(after.clone());
            });
            return;
        }
        if let Some(before) = before {
            let id = &before.entry.id;
            self.relist(&before.entry.address, |servers| {
                servers.retain(|known| known.entry.id != *id);
            });
        }
        if let Some(after) = after {
            self.relist(&after.entry.address, |servers| servers.push(after.clone()));
        }
    }

    /// Changes who is at an address, and lists anew those that may be chosen there.
    fn relist(&mut self, address: &str, change: impl FnOnce(&mut Vec<Arc<KnownServer>>)) {
        let mut servers = self.at_address.remove(address).unwrap_or_default();
        chosen(&servers).for_each(|known| self.take_off(known));
        change(&mut servers);
        chosen(&servers).for_each(|known| self.put(known));
        if !servers.is_empty() {
            self.at_address.insert(address.to_owned(), servers);
        }
    }

    fn put(&mut self, known: &Arc<KnownServer>) {
        insert(self.by_service.entry(known.entry.service.clone()).or_default(), known);
        for model in known.entry.models.keys() {
            insert(self.by_model.entry(model.clone()).or_default(), known);
        }
    }

    fn take_off(&mut self, known: &Arc<KnownServer>) {
        if let Some(servers) = self.by_service.get_mut(&known.entry.service) {
            remove(servers, &known.entry.id);
        }
        for model in known.entry.models.keys() {
            if let Some(servers) = self.by_model.get_mut(model) {
                remove(servers, &known.entry.id);
            }
        }
    }
}

/// Returns the servers at one address that may be chosen.
fn chosen(servers: &[Arc<KnownServer>]) -> impl Iterator<Item = &Arc<KnownServer>> {
    let last =
        servers.iter().map(|known| known.first_learned_at).max().unwrap_or(Moment::default());
    servers.iter().filter(move |known| known.first_learned_at >= last)
}

fn insert(servers: &mut Sorted, known: &Arc<KnownServer>) {
    if let Err(place) = position(servers, &known.entry.id) {
        servers.insert(place, known.clone());
    }
}

fn remove(servers: &mut Sorted, id: &BackendId) {
    if let Ok(place) = position(servers, id) {
        servers.remove(place);
    }
}

fn position(servers: &Sorted, id: &BackendId) -> Result<usize, usize> {
    servers.binary_search_by(|known| known.entry.id.cmp(id))
}
