//! Random sampling of servers by boxes that do not know each other's load.

use std::collections::HashMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use trackfront_core::serving::directory::ServerEntry;
use trackfront_core::serving::sampling::sample_servers;

use super::choice::case;
use super::support::{entry, info, item, known};

const SERVERS: usize = 40;
const REQUESTS: usize = 2_000;

fn in_hall(id: String, hall: &str) -> ServerEntry {
    let address = format!("{id}:80");
    ServerEntry { hall: hall.into(), address, ..entry(&id, &["m"]) }
}

#[test]
fn no_server_gets_twice_its_even_share() {
    let servers = known((0..SERVERS).map(|one| in_hall(format!("s{one:02}"), "a")).collect());
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut requests: HashMap<String, usize> = HashMap::new();
    for _ in 0..REQUESTS {
        let sample = sample_servers(servers.iter(), &"a".into(), |_| true, &mut rng);
        let sample: Vec<_> = sample.into_iter().cloned().collect();
        // Each request arrives at a box without any load figures.
        let chosen = case(Vec::new(), info(Some(item("m", None)), 1_000)).choose_among(&sample);
        let id = chosen.expect("the sample has servers").server.entry.id.to_string();
        *requests.entry(id).or_default() += 1;
    }
    let most = requests.values().max().copied().unwrap_or_default();
    assert!(most <= 2 * REQUESTS / SERVERS, "{most} of {REQUESTS} at one of {SERVERS}");
}

#[test]
fn own_hall_is_sampled_while_it_has_a_usable_server() {
    let servers =
        known(vec![in_hall("x".into(), "a"), in_hall("y".into(), "b"), in_hall("z".into(), "b")]);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..50 {
        let sample = sample_servers(servers.iter(), &"a".into(), |_| true, &mut rng);
        assert_eq!(sample.len(), 1);
        assert_eq!(sample[0].entry.id, "x".into());
        let without = |server: &_| !std::ptr::eq(server, servers[0].as_ref());
        let sample = sample_servers(servers.iter(), &"a".into(), without, &mut rng);
        assert!(sample.len() == 2 && sample.iter().all(|server| server.entry.hall == "b".into()));
    }
    assert!(sample_servers(servers.iter(), &"a".into(), |_| false, &mut rng).is_empty());
}
