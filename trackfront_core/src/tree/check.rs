//! Validates a built tree: references, unique names, value ranges and accelerator memory.

use std::collections::HashMap;

use crate::ids::{BackendId, RegionName, ServiceName};
use crate::placement::{PackError, Room, pack};
use crate::units::Mib;

use super::error::{TreeError, TreeErrorKind, TreeErrors};
use super::policy::{Policy, Sourced};
use super::{Service, ServiceKind, Tree};

/// The largest priority that a policy may set.
const MAX_PRIORITY: u8 = 9;

/// The length of a hexadecimal BLAKE3 hash in characters.
const HASH_HEX_CHARS: usize = 64;

/// Checks the whole tree and returns every error that was found.
pub fn check(tree: &Tree) -> Result<(), TreeErrors> {
    let mut errors = Vec::new();
    check_callers(tree, &mut errors);
    check_backend_names(tree, &mut errors);
    for region in tree.regions.keys() {
        check_target_names(tree, region, &mut errors);
    }
    for (shard, service) in tree.shards() {
        let file = format!("{}/{}/service.toml", shard.region, shard.service);
        check_policies(tree, service, &mut errors);
        check_fit(&file, service, &shard.service, &mut errors);
    }
    errors.dedup();
    if errors.is_empty() { Ok(()) } else { Err(TreeErrors(errors)) }
}

/// Creates an error for a whole file.
fn file_error(file: impl Into<String>, kind: TreeErrorKind) -> TreeError {
    TreeError { file: file.into(), line: None, key: None, kind }
}

/// Creates an error for an inherited value, located where the value was set.
fn value_error<T>(key: &str, value: &Sourced<T>, kind: TreeErrorKind) -> TreeError {
    TreeError {
        file: value.file.as_deref().unwrap_or("(built in)").to_string(),
        line: Some(value.line),
        key: Some(key.to_string()),
        kind,
    }
}

fn check_callers(tree: &Tree, errors: &mut Vec<TreeError>) {
    let mut seen: HashMap<&str, &str> = HashMap::new();
    for (name, caller) in &tree.callers {
        let hash = caller.key_blake3.as_str();
        if hash.len() != HASH_HEX_CHARS || !hash.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            let kind = TreeErrorKind::BadValue {
                problem: format!("`key_blake3` of caller `{name}` is not a BLAKE3 hash"),
                remedy: "give the 64 hexadecimal digits of the key's hash".into(),
            };
            errors.push(file_error("root.toml", kind));
        }
        if let Some(other) = seen.insert(hash, name.as_str()) {
            let kind = TreeErrorKind::DuplicateName {
                name: format!("the key of {name}"),
                other: format!("caller {other}"),
            };
            errors.push(file_error("root.toml", kind));
        }
    }
}

fn check_backend_names(tree: &Tree, errors: &mut Vec<TreeError>) {
    let mut ids: HashMap<&BackendId, String> = HashMap::new();
    let mut addresses: HashMap<&str, &BackendId> = HashMap::new();
    for (shard, service) in tree.shards() {
        let file = format!("{}/{}/service.toml", shard.region, shard.service);
        for (id, backend) in &service.backends {
            if let Some(other) = ids.insert(id, file.clone()) {
                let kind = TreeErrorKind::DuplicateName { name: id.to_string(), other };
                errors.push(file_error(&file, kind));
            }
            if let Some(other) = addresses.insert(&backend.address, id) {
                let kind = TreeErrorKind::DuplicateName {
                    name: backend.address.clone(),
                    other: format!("backend server {other}"),
                };
                errors.push(file_error(&file, kind));
            }
        }
    }
}

/// Checks that each name that callers use identifies a single model or adapter of the region.
fn check_target_names(tree: &Tree, region: &RegionName, errors: &mut Vec<TreeError>) {
    let mut seen = HashMap::new();
    for (name, target) in tree.targets(region) {
        if let Some(other) = seen.insert(name, target.model_name) {
            let kind = TreeErrorKind::DuplicateName {
                name: name.to_string(),
                other: format!("model {other} or one of its adapters"),
            };
            errors.push(file_error(format!("{region}/.../{}", target.model_name), kind));
        }
    }
}

fn check_policies(tree: &Tree, service: &Service, errors: &mut Vec<TreeError>) {
    check_policy(tree, &service.policy, errors);
    for (_, model) in service.models() {
        check_policy(tree, &model.policy, errors);
        for adapter in model.adapters.values() {
            check_policy(tree, &adapter.policy, errors);
        }
    }
}

fn check_policy(tree: &Tree, policy: &Policy, errors: &mut Vec<TreeError>) {
    if policy.priority.value > MAX_PRIORITY {
        let kind = TreeErrorKind::BadValue {
            problem: format!("{} is over {MAX_PRIORITY}", policy.priority.value),
            remedy: "give a priority from 0 to 9".into(),
        };
        push_once(errors, value_error("priority", &policy.priority, kind));
    }
    let positive = [
        ("first_token_ms", &policy.first_token_ms),
        ("token_gap_ms", &policy.token_gap_ms),
        ("deadline_ms", &policy.deadline_ms),
        ("max_body_kib", &policy.max_body_kib),
    ];
    for (key, value) in positive.into_iter().filter(|(_, value)| value.value == 0) {
        let kind = TreeErrorKind::BadValue {
            problem: "zero would refuse every request".into(),
            remedy: "give a number above zero".into(),
        };
        push_once(errors, value_error(key, value, kind));
    }
    let unknown = policy.callers.value.iter().filter(|name| {
        name.as_str() != "*" && !tree.callers.keys().any(|caller| caller.as_str() == *name)
    });
    for name in unknown {
        let kind = TreeErrorKind::NoSuch {
            what: "caller",
            name: name.clone(),
            remedy: "add it to `callers` in root.toml".into(),
        };
        push_once(errors, value_error("callers", &policy.callers, kind));
    }
}

/// Adds an error unless it is recorded: an inherited value is checked at every level below it.
fn push_once(errors: &mut Vec<TreeError>, error: TreeError) {
    if !errors.contains(&error) {
        errors.push(error);
    }
}

/// Checks that all bundles still fit after losing any `spare_engines` engines.
///
/// Only the loss of the engines with the most memory is checked. It is the worst case: in every
/// other one, the rooms that remain are at least as large.
fn check_fit(file: &str, service: &Service, name: &ServiceName, errors: &mut Vec<TreeError>) {
    if !matches!(service.kind, ServiceKind::Engines { .. }) {
        return;
    }
    let mut rooms = rooms(service);
    rooms.sort_by_key(|room| room.free.0 * room.accelerators as u64);
    let spare = service.policy.spare_engines.value as usize;
    rooms.truncate(rooms.len().saturating_sub(spare));
    if let Err(PackError { item, wanted, largest }) = pack(&rooms, &service.bundles()) {
        let kind = TreeErrorKind::DoesNotFit {
            problem: format!(
                "service `{name}` does not fit with {spare} engines lost: {item} with its \
                 adapters needs {wanted} on each accelerator and {largest} is the most left"
            ),
        };
        errors.push(file_error(file, kind));
    }
}

/// Returns the memory for weights on each of a service's engines while nothing is loaded: that of
/// the accelerators less the KV cache floor.
pub fn rooms(service: &Service) -> Vec<Room> {
    let floor = Mib(service.policy.kv_floor_mib.value);
    service
        .backends
        .iter()
        .map(|(id, backend)| Room {
            engine: id.clone(),
            accelerators: backend.accelerators.len(),
            free: backend
                .accelerators
                .iter()
                .min()
                .copied()
                .unwrap_or_default()
                .saturating_sub(floor),
        })
        .collect()
}
