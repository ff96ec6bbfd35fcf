//! What other boxes tell, where it cannot be true.

use trackfrontd::serving::messages::{ToldRank, ToldShare};

/// Datagrams are not authenticated, so anybody on the network can send one with any counts. Their sum over the
/// ranks of a server, and over the boxes that tell of it, must not leave the range of its type.
#[test]
fn counts_of_requests_that_no_box_can_have_do_not_overflow_their_sums() {
    let ranks = (0..10)
        .map(|rank| ToldRank {
            rank,
            requests: u32::MAX,
            reading_ms: u32::MAX,
            making_ms: u32::MAX,
        })
        .collect();
    let share = ToldShare { server: 1, ranks }.share();
    assert!(share.requests() < u32::MAX / 1_000, "a thousand boxes may tell that");
}
