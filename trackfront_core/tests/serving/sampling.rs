//! Many boxes that know nothing of what the others send, before servers that are all alike.

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
fn no_server_gets_twice_its_even_part() {
    let servers = known((0..SERVERS).map(|one| in_hall(format!("s{one:02}"), "a")).collect());
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut got: HashMap<String, usize> = HashMap::new();
    for _ in 0..REQUESTS {
        let some = sample_servers(servers.iter(), &"a".into(), |_| true, &mut rng);
        let some: Vec<_> = some.into_iter().cloned().collect();
        // Each request comes to a box that knows nothing of the load.
        let chosen = case(Vec::new(), info(Some(item("m", None)), 1_000)).choose_among(&some);
        let id = chosen.expect("there are some").server.entry.id.to_string();
        *got.entry(id).or_default() += 1;
    }
    let most = got.values().max().copied().unwrap_or_default();
    assert!(most <= 2 * REQUESTS / SERVERS, "{most} of {REQUESTS} at one of {SERVERS}");
}

#[test]
fn servers_of_the_own_hall_go_first_while_one_is_usable() {
    let servers =
        known(vec![in_hall("x".into(), "a"), in_hall("y".into(), "b"), in_hall("z".into(), "b")]);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..50 {
        let some = sample_servers(servers.iter(), &"a".into(), |_| true, &mut rng);
        assert_eq!(some.len(), 1);
        assert_eq!(some[0].entry.id, "x".into());
        let without = |server: &_| !std::ptr::eq(server, servers[0].as_ref());
        let some = sample_servers(servers.iter(), &"a".into(), without, &mut rng);
        assert!(some.len() == 2 && some.iter().all(|server| server.entry.hall == "b".into()));
    }
    assert!(sample_servers(servers.iter(), &"a".into(), |_| false, &mut rng).is_empty());
}
