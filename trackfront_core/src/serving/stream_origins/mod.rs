//! The software versions that began streams.
//!
//! What two versions of a server's software write does not fit together, so a stream may only be continued by the version
//! that began it. A client that continues one names the attempt that brought its first event. Boxes remember the streams
//! that they relay ([`RelayedStreams`]) and those that others told them ([`StreamOrigins`]), and [`StreamEvidence`] decides
//! what follows for a stream that none of them knows.

mod evidence;
mod history;
mod relayed;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use evidence::{Lookup, StreamEvidence, StreamSoftware, UnknownCause};
pub use history::{SoftwareHistory, SoftwareInUse};
pub use relayed::RelayedStreams;

use crate::ids::{RequestId, SoftwareVersion};
use crate::units::Moment;

/// How long a stream is remembered after the last sign of life from the box that relays it, and how long two versions of a
/// service count as being in use after the last of one was seen. Longer than clients take up streams again.
pub const STREAM_TTL: Duration = Duration::from_secs(60);

/// The number of groups of streams; the streams of a group have the same keepers and one row in the platform's table.
pub const STREAM_BUCKETS: usize = 64;

/// The most streams that are remembered besides those being relayed, at about 100 bytes each.
const MAX_STREAMS: usize = 8_192;

/// The short form of a version of a server's software.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SoftwareId(pub u32);

impl SoftwareId {
    /// Returns the short form of a version.
    pub fn of(version: &SoftwareVersion) -> Self {
        let hash = blake3::hash(version.as_str().as_bytes());
        Self(u32::from_le_bytes(hash.as_bytes()[..4].try_into().expect("a hash has 32 bytes")))
    }
}

/// A stream, by the client's attempt that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Returns the identifier of the stream that an attempt began.
    pub fn of(attempt: &RequestId) -> Self {
        let hash = blake3::hash(attempt.as_str().as_bytes());
        Self(u64::from_le_bytes(hash.as_bytes()[..8].try_into().expect("a hash has 32 bytes")))
    }

    /// Returns the group of the stream, less than [`STREAM_BUCKETS`].
    pub fn bucket(self) -> usize {
        (self.0 % STREAM_BUCKETS as u64) as usize
    }
}

/// A stream and the software that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamId,
    /// The software.
    pub software: SoftwareId,
}

/// An origin, and how long ago the box that relays the stream last gave a sign of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgedOrigin {
    /// The origin.
    pub origin: StreamOrigin,
    /// The age of the last sign.
    pub age: Duration,
}

/// The streams of which there was a sign within [`STREAM_TTL`].
#[derive(Debug, Default)]
pub struct StreamOrigins {
    by_stream: HashMap<StreamId, (SoftwareId, Moment)>,
    by_age: BTreeSet<(Moment, StreamId)>,
}

impl StreamOrigins {
    /// Records which software began a stream. The first software of a stream counts.
    pub fn record(&mut self, origin: StreamOrigin, now: Moment) -> bool {
        self.record_aged(AgedOrigin { origin, age: Duration::ZERO }, now)
    }

    /// Records which software began a stream, and how long ago there was a sign of it. The first software of a stream
    /// counts, and its latest sign. Returns whether the stream is new.
    pub fn record_aged(&mut self, aged: AgedOrigin, now: Moment) -> bool {
        self.forget_old(now);
        let StreamOrigin { stream, software } = aged.origin;
        let at = now.before(aged.age);
        let known = self.by_stream.get(&stream).copied();
        if let Some((known_software, latest)) = known {
            if known_software != software || latest >= at {
                return false;
            }
            self.by_age.remove(&(latest, stream));
        }
        self.by_age.insert((at, stream));
        self.by_stream.insert(stream, (software, at));
        if self.by_age.len() > MAX_STREAMS {
            self.drop_oldest();
        }
        known.is_none()
    }

    /// Returns the software that began a stream, if that is known.
    pub fn get(&self, stream: StreamId, now: Moment) -> Option<SoftwareId> {
        let (software, at) = self.by_stream.get(&stream)?;
        (now.since(*at) < STREAM_TTL).then_some(*software)
    }

    /// Returns all streams that are remembered.
    pub fn all(&self) -> impl Iterator<Item = StreamOrigin> {
        self.by_stream
            .iter()
            .map(|(stream, (software, _))| StreamOrigin { stream: *stream, software: *software })
    }

    /// Returns the streams of which there was a sign within `time`.
    pub fn within(&self, time: Duration, now: Moment) -> impl Iterator<Item = AgedOrigin> {
        self.by_stream.iter().filter_map(move |(stream, (software, at))| {
            let origin = StreamOrigin { stream: *stream, software: *software };
            let age = now.since(*at);
            (age < time).then_some(AgedOrigin { origin, age })
        })
    }

    fn forget_old(&mut self, now: Moment) {
        while self.by_age.first().is_some_and(|(at, _)| now.since(*at) >= STREAM_TTL) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, stream)) = self.by_age.pop_first() {
            self.by_stream.remove(&stream);
        }
    }
}
