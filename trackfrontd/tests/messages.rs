//! Bogus and large messages between boxes.

use std::collections::BTreeSet;

use trackfront_core::serving::directory::{ResidentModel, ServerChange, ServerEntry, ServerState};
use trackfrontd::serving::feed_relay::FeedUpdate;
use trackfrontd::serving::messages::{RankLoadReport, ServerLoadReport};
use trackfrontd::serving::packing::pack;

/// Guards against an integer overflow by bogus request counts: datagrams are not authenticated, and
/// the counts are summed over the ranks of a server and over the boxes that report it.
#[test]
fn implausible_request_counts_do_not_overflow_sums() {
    let ranks = (0..10)
        .map(|rank| RankLoadReport {
            rank,
            requests: u32::MAX,
            prefill_ms: u32::MAX,
            decode_ms: u32::MAX,
        })
        .collect();
    let in_flight = ServerLoadReport { server: 1, ranks }.in_flight();
    assert!(in_flight.requests() < u32::MAX / 1_000, "a thousand boxes may report that");
}

/// Bounds the compressed size of a server change, since a hall's reader sends each one to every box
/// of the hall, sixty or so. Of 54 bytes, the start time in the incarnation's ID and beside its key
/// takes 11.
#[test]
fn packed_server_changes_are_small() {
    let names: Vec<String> =
        (0..24).map(|number| format!("i-{:08x}", number * 0x9E37_79B9u64)).collect();
    let change = |(index, name): (usize, &String)| ServerChange::Set {
        version: (1_000 + index as u64).into(),
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
            software: "v1".into(),
        },
    };
    let changes: Vec<ServerChange> = names.iter().enumerate().map(change).collect();
    let update =
        FeedUpdate::Servers { from: 999.into(), to: 1_023.into(), changes, expiry_grace_ms: 0 };
    let bytes = pack(&update).len() / names.len();
    println!("{bytes} bytes a change");
    assert!(bytes <= 60, "{bytes}");
}

fn held() -> ResidentModel {
    ResidentModel { version: 1, adapters: BTreeSet::from(["a1".into()]) }
}
