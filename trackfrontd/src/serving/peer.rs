//! The state of another box, as known to this one.

use std::time::Duration;

use trackfront_core::lease::LeaseAnnouncement;
use trackfront_core::store_version::StoreVersion;
use trackfront_core::units::Moment;

use super::delegates::ListedBox;

/// The time after its last digest for which a box counts as alive. Boxes send digests more often
/// than that.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The time after its last digest, or after it was listed, for which a silent box is still sent
/// messages as usual.
pub(super) const REACHABLE_TIME: Duration = Duration::from_secs(10);

/// The state of another box.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub listed_at: Moment,
    pub last_digest_at: Option<Moment>,
    pub listing: ListedBox,
    pub store_lost: bool,
    /// The row of the configuration in force there, as its last digest said.
    pub config_row: StoreVersion,
    /// A row that the box said to have in force and then did not hand out.
    pub denied_config_row: StoreVersion,
    pub announcement: Option<LeaseAnnouncement>,
    /// Since when the box has been expected to send digests to this one.
    pub expected_since: Option<Moment>,
    /// Whether the box should have sent digests to this one but did not.
    pub is_missing: bool,
}

impl Peer {
    /// Creates the state of a box that has sent no digest yet.
    pub fn new(listing: ListedBox, listed_at: Moment) -> Self {
        Self {
            listed_at,
            last_digest_at: None,
            listing,
            store_lost: false,
            config_row: StoreVersion::ZERO,
            denied_config_row: StoreVersion::ZERO,
            announcement: None,
            expected_since: None,
            is_missing: false,
        }
    }

    /// Returns when the last digest arrived, or when the box was listed if none has.
    pub fn last_seen_at(&self) -> Moment {
        self.last_digest_at.unwrap_or(self.listed_at)
    }

    /// Returns whether the box hands out a newer configuration than that of row `known`, as far as this one can tell.
    pub fn offers_config(&self, known: StoreVersion, now: Moment) -> bool {
        self.config_row > known && self.config_row != self.denied_config_row && self.is_alive(now)
    }

    /// Returns whether the box has sent a digest within [`PEER_TIMEOUT`].
    pub fn is_alive(&self, now: Moment) -> bool {
        self.last_digest_at.is_some_and(|at| now.since(at) < PEER_TIMEOUT)
    }
}

/// Which boxes send digests to this one.
#[derive(Clone, Copy)]
pub(super) struct DigestSources {
    pub is_whole_fleet: bool,
    pub is_whole_hall: bool,
    pub hall: u32,
}

impl DigestSources {
    /// Returns whether messages are sent to a box as usual. Boxes that send no digests to this one are reachable unless
    /// they are missing.
    pub fn is_reachable(self, peer: &Peer, now: Moment) -> bool {
        match self.include(peer) {
            true => now.since(peer.last_seen_at()) < REACHABLE_TIME,
            false => !peer.is_missing,
        }
    }

    /// Returns whether a box is up as far as this one can tell.
    pub fn is_up(self, peer: &Peer, now: Moment) -> bool {
        match self.include(peer) {
            true => peer.is_alive(now),
            false => !peer.is_missing,
        }
    }

    /// Returns whether a box sends digests to this one.
    fn include(self, peer: &Peer) -> bool {
        self.is_whole_fleet || (self.is_whole_hall && peer.listing.hall == self.hall)
    }
}
