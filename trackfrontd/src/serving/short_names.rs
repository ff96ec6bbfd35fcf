//! The 32-bit names by which messages between boxes refer to servers, halls and items.

use std::collections::HashMap;

use trackfront_core::ids::{BackendId, HallName, ServiceName};
use trackfront_core::serving::config::ServingConfig;
use trackfront_core::serving::request::ModelRef;

/// The servers and items with short names.
#[derive(Debug, Default)]
pub struct ShortNames {
    servers: HashMap<u32, BackendId>,
    items: HashMap<u32, ModelRef>,
}

impl ShortNames {
    /// Adds a server.
    pub fn add_server(&mut self, id: &BackendId) {
        self.servers.insert(short_server(id), id.clone());
    }

    /// Removes a server that left, unless another one has taken its short name.
    pub fn remove_server(&mut self, id: &BackendId) {
        let short = short_server(id);
        if self.servers.get(&short) == Some(id) {
            self.servers.remove(&short);
        }
    }

    /// Replaces the items by those of a configuration.
    pub fn set_items(&mut self, config: &ServingConfig) {
        let engines = config.services.values().filter_map(|service| service.engine.as_ref());
        let mut items = HashMap::new();
        for (name, model) in engines.flat_map(|engine| &engine.models) {
            let base = ModelRef { model: name.clone(), adapter: None };
            items.insert(short_item(&base), base);
            for adapter in &model.adapters {
                let item = ModelRef { model: name.clone(), adapter: Some(adapter.clone()) };
                items.insert(short_item(&item), item);
            }
        }
        self.items = items;
    }

    /// Returns the server with a short name.
    pub fn server(&self, short: u32) -> Option<&BackendId> {
        self.servers.get(&short)
    }

    /// Returns the item with a short name.
    pub fn item(&self, short: u32) -> Option<&ModelRef> {
        self.items.get(&short)
    }
}

/// Returns a server's short name.
pub fn short_server(id: &BackendId) -> u32 {
    short(id.as_str().as_bytes())
}

/// Returns a hall's short name.
pub fn short_hall(hall: &HallName) -> u32 {
    short(hall.as_str().as_bytes())
}

/// Returns a service's short name.
pub fn short_service(service: &ServiceName) -> u32 {
    short(service.as_str().as_bytes())
}

/// Returns an item's short name.
pub fn short_item(item: &ModelRef) -> u32 {
    let adapter = item.adapter.as_ref().map_or("", |adapter| adapter.as_str());
    short(format!("{}/{adapter}", item.model).as_bytes())
}

fn short(bytes: &[u8]) -> u32 {
    let hash = blake3::hash(bytes);
    u32::from_le_bytes(hash.as_bytes()[..4].try_into().expect("a hash has 32 bytes"))
}
