//! Ranks of requests while engines are short.

use trackfront_core::serving::in_flight::{InFlight, RankInFlight};
use trackfront_core::serving::urgency::{Standing, rank};

const LATE: Standing = Standing { is_late: true, is_over_share: false };
const OVER_SHARE: Standing = Standing { is_late: false, is_over_share: true };

#[test]
fn request_in_good_standing_keeps_its_rank() {
    for base in 0..10 {
        assert_eq!(rank(base, Standing::default()), base);
    }
}

/// Load: a burst refuses many clients, which come back while new ones still come.
#[test]
fn late_request_goes_behind_every_usual_kind() {
    for (late, usual) in [(0, 2), (1, 2), (2, 0), (3, 3)] {
        assert!(rank(late, LATE) > rank(usual, Standing::default()));
    }
    assert!(rank(0, LATE) < rank(2, LATE), "the kinds keep their order");
}

/// Load: one account sends many times its usual to engines that others wait for.
#[test]
fn account_over_its_share_goes_behind_late_requests_of_its_kind() {
    assert!(rank(1, OVER_SHARE) > rank(1, LATE));
    assert!(rank(1, OVER_SHARE) > rank(2, Standing::default()));
}

/// A kind with the least urgent rank has none behind it, and stays valid for engines.
#[test]
fn rank_stays_within_range() {
    for base in 0..=u8::MAX {
        let both = Standing { is_late: true, is_over_share: true };
        assert!(rank(base, both) <= 9);
        assert!(rank(base, both) >= base.min(9), "never more urgent");
    }
}

/// What goes behind adds nothing to the prefill that a usual request waits for, but for the chunk in progress.
#[test]
fn late_requests_delay_a_usual_one_by_a_fraction() {
    let mut there = InFlight::default();
    let queued = RankInFlight { requests: 4, prefill_ms: 800.0, decode_ms: 0.0 };
    there.by_rank[usize::from(rank(1, LATE))] = queued;
    assert!(there.prefill_ahead_ms(1) < 200.0);
    assert!(there.prefill_ahead_ms(rank(1, LATE)) >= 800.0);
}
