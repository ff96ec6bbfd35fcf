//! The rank with which a request is sent to an engine.
//!
//! Routes and accounts give ranks to kinds of requests. When engines are short, two things count within a kind as well: an
//! answer that can no longer be in time should not delay one that can, and an account that uses more than its share
//! should not delay the others. Engines read the prompts of lower ranks first, so such requests get what is left.

use crate::serving::in_flight::LEAST_URGENT;

/// The number of ranks that routes and accounts use; the others are for requests that go behind them.
const RANKS_OF_ROUTES: u8 = 4;

/// What a request's rank depends on beside its kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Whether its answer is late already, because its client was refused before.
    pub is_late: bool,
    /// Whether its account uses more than its share of an engine that others wait for.
    pub is_over_share: bool,
}

/// Returns the rank of a request whose route or account has the rank `base`. Among the late ones the kinds keep their
/// order.
pub fn rank(base: u8, standing: Standing) -> u8 {
    if !standing.is_late && !standing.is_over_share {
        return base;
    }
    let behind = base.min(RANKS_OF_ROUTES) + RANKS_OF_ROUTES + u8::from(standing.is_over_share);
    behind.max(base).min(LEAST_URGENT)
}
