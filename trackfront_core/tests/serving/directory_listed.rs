//! Compares the directory's incremental index with one rebuilt from nothing after each of many
//! random changes. Few addresses are used, so that servers share them; then only the server that
//! was discovered last may be listed.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use trackfront_core::ids::{ModelName, ServiceName};
use trackfront_core::serving::directory::{
    Directory, KnownServer, ServerChange, ServerEntry, ServerState,
};
use trackfront_core::units::Moment;

use super::support::{HEARTBEAT, at, entry, residents};

const STEPS: u64 = 30_000;
const SERVERS: u32 = 12;
const ADDRESSES: u32 = 6;
const SERVICES: [&str; 2] = ["text", "plain"];
const MODELS: [&str; 3] = ["m", "n", "o"];

/// The maximum number of changes in one answer.
const MAX_CHANGES: usize = 4;

fn rebuilt_listing(directory: &Directory, service: &ServiceName) -> Vec<Arc<KnownServer>> {
    let mut learned: HashMap<&str, Moment> = HashMap::new();
    for known in directory.all() {
        let last = learned.entry(&known.entry.address).or_default();
        *last = (*last).max(known.first_learned_at);
    }
    let is_last =
        |known: &&Arc<KnownServer>| known.first_learned_at >= learned[known.entry.address.as_str()];
    let of_service = directory.all().filter(|known| known.entry.service == *service);
    let mut listed: Vec<_> = of_service.filter(is_last).cloned().collect();
    listed.sort_by(|a, b| a.entry.id.cmp(&b.entry.id));
    listed
}

fn random_change(directory: &Directory, version: u64, rng: &mut ChaCha8Rng) -> ServerChange {
    let key = format!("s{}", rng.random_range(0..SERVERS));
    if rng.random_bool(0.1) {
        return ServerChange::Removed { version: version.into(), key: key.as_str().into() };
    }
    let known = directory.all().find(|known| known.entry.key == key.as_str().into());
    // Most rows don't change the server's address.
    let same = known.filter(|_| rng.random_bool(0.8)).map(|known| known.entry.clone());
    let new = || ServerEntry {
        address: format!("10.0.0.{}:80", rng.random_range(0..ADDRESSES)),
        service: SERVICES.choose(rng).copied().expect("some").into(),
        id: format!("{key}@{}", version / 20).as_str().into(),
        started: Some(version / 20),
        ..entry(&key, &[])
    };
    let mut entry = same.unwrap_or_else(new);
    entry.sequence = version;
    if rng.random_bool(0.3) {
        entry.models = residents(&MODELS[..rng.random_range(0..=MODELS.len())]);
    }
    entry.state = if rng.random_bool(0.1) {
        ServerState::Draining { remaining: None }
    } else {
        ServerState::Ready
    };
    ServerChange::Set { version: version.into(), entry }
}

#[test]
fn index_equals_rebuilt_one_after_each_change() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut directory = Directory::new(HEARTBEAT);
    let (mut version, mut shared) = (0, 0);
    for step in 0..STEPS {
        let now = at(1_000 + step * 20);
        let count = rng.random_range(1..=MAX_CHANGES);
        let mut changes = Vec::new();
        for _ in 0..count {
            version += 1;
            changes.push(random_change(&directory, version, &mut rng));
        }
        if rng.random_bool(0.01) {
            directory.platform_recovered(HEARTBEAT * 3, now);
        }
        directory.apply(changes, version.into(), now);
        directory.drop_expired_rows(now);
        for service in SERVICES.map(ServiceName::from) {
            let expected = rebuilt_listing(&directory, &service);
            let listed = directory.of_service(&service);
            let same = listed.iter().zip(&expected).all(|(a, b)| Arc::ptr_eq(a, b));
            assert!(
                same && listed.len() == expected.len(),
                "step {step}: {listed:#?}\n{expected:#?}"
            );
        }
        for model in MODELS.map(ModelName::from) {
            let services = SERVICES.map(ServiceName::from);
            let all = services.iter().flat_map(|service| rebuilt_listing(&directory, service));
            let mut expected: Vec<_> =
                all.filter(|known| known.entry.models.contains_key(&model)).collect();
            expected.sort_by(|a, b| a.entry.id.cmp(&b.entry.id));
            let holding = directory.holding(&model);
            let same = holding.iter().zip(&expected).all(|(a, b)| Arc::ptr_eq(a, b));
            assert!(same && holding.len() == expected.len(), "step {step}: {model}");
        }
        let addresses: BTreeSet<&str> =
            directory.all().map(|known| known.entry.address.as_str()).collect();
        shared += usize::from(addresses.len() < directory.all().count());
    }
    assert!(shared > STEPS as usize / 2, "addresses were shared in {shared} steps");
}
