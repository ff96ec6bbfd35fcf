//! What other boxes tell, where it cannot be true.

use std::collections::BTreeSet;

use trackfront_core::serving::directory::{ResidentModel, ServerChange, ServerEntry, ServerState};
use trackfrontd::serving::feed_relay::FeedUpdate;
use trackfrontd::serving::messages::{RankLoadReport, ServerLoadReport};
use trackfrontd::serving::packing::pack;

/// Datagrams are not authenticated, so anybody on the network can send one with any counts. Their sum over the
/// ranks of a server, and over the boxes that tell of it, must not leave the range of its type.
#[test]
fn counts_of_requests_that_no_box_can_have_do_not_overflow_their_sums() {
    let ranks = (0..10)
        .map(|rank| RankLoadReport {
            rank,
            requests: u32::MAX,
            prefill_ms: u32::MAX,
            decode_ms: u32::MAX,
        })
        .collect();
    let share = ServerLoadReport { server: 1, ranks }.in_flight();
    assert!(share.requests() < u32::MAX / 1_000, "a thousand boxes may tell that");
}

/// What one change of a server has, in bytes, where many go together: in a hall of sixty boxes each is sent to
/// sixty. The start of the run, which stands in its identity and beside its key, takes 11 of these 54 bytes.
#[test]
fn changes_of_servers_are_small_once_packed() {
    let names: Vec<String> =
        (0..24).map(|number| format!("i-{:08x}", number * 0x9E37_79B9u64)).collect();
    let change = |(index, name): (usize, &String)| ServerChange::Set {
        version: 1_000 + index as u64,
        entry: ServerEntry {
            id: format!("{name}@{}", 1_700_000_000_000 + index * 37).into(),
            key: name.as_str().into(),
            started: Some(1_700_000_000_000 + index as u64 * 37),
            service: "huvo11a".into(),
            address: format!("10.1.64.{}:{}", index + 3, 8_500 + index),
            hall: "lima-surco".into(),
            slots: 64,
            state: ServerState::Ready,
            cold_remaining: std::time::Duration::ZERO,
            models: (0..3)
                .map(|model| (format!("daka{}", index * 7 + model).as_str().into(), held()))
                .collect(),
            sequence: index as u64,
            in_memory: BTreeSet::new(),
            on_disk: (0..5)
                .map(|model| format!("daka{}", index * 5 + model).as_str().into())
                .collect(),
        },
    };
    let changes: Vec<ServerChange> = names.iter().enumerate().map(change).collect();
    let relay = FeedUpdate::Servers { from: 999, to: 1_023, changes, lapses_ms: 0 };
    let bytes = pack(&relay).len() / names.len();
    println!("{bytes} bytes a change");
    assert!(bytes <= 60, "{bytes}");
}

fn held() -> ResidentModel {
    ResidentModel { version: 1, adapters: BTreeSet::from(["a1".into()]) }
}
