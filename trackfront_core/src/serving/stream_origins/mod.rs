//! The software versions that began streams.
//!
//! What two versions of a server's software write does not fit together, so a stream may only be continued by the version
//! that began it. A client that continues one names the attempt that brought its first event. Each box remembers the
//! streams that it began to relay and those that other boxes told it.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{RequestId, ServiceName, SoftwareVersion};
use crate::units::Moment;

/// How long a stream is remembered after its first event, and how long two versions of a service count as being in use
/// after the last of one was seen. Longer than clients take up streams again.
pub const STREAM_TTL: Duration = Duration::from_secs(60);

/// The most streams that are remembered, at about 60 bytes each.
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
}

/// A stream and the software that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamId,
    /// The software.
    pub software: SoftwareId,
}

/// The streams that began within [`STREAM_TTL`].
#[derive(Debug, Default)]
pub struct StreamOrigins {
    by_stream: HashMap<StreamId, (SoftwareId, Moment)>,
    by_age: VecDeque<(StreamId, Moment)>,
}

impl StreamOrigins {
    /// Records which software began a stream. The first record of a stream counts.
    pub fn record(&mut self, origin: StreamOrigin, now: Moment) {
        self.forget_old(now);
        if self.by_stream.contains_key(&origin.stream) {
            return;
        }
        if self.by_age.len() >= MAX_STREAMS {
            self.drop_oldest();
        }
        self.by_stream.insert(origin.stream, (origin.software, now));
        self.by_age.push_back((origin.stream, now));
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

    fn forget_old(&mut self, now: Moment) {
        while self.by_age.front().is_some_and(|(_, at)| now.since(*at) >= STREAM_TTL) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((stream, _)) = self.by_age.pop_front() {
            self.by_stream.remove(&stream);
        }
    }
}

/// Which versions of its software each service was seen to use lately.
#[derive(Debug, Default)]
pub struct SoftwareInUse {
    seen: HashMap<ServiceName, HashMap<SoftwareId, Moment>>,
}

impl SoftwareInUse {
    /// Records the versions of a service's servers.
    pub fn record(
        &mut self,
        service: &ServiceName,
        versions: impl IntoIterator<Item = SoftwareId>,
        now: Moment,
    ) {
        let seen = self.seen.entry(service.clone()).or_default();
        seen.extend(versions.into_iter().map(|version| (version, now)));
        seen.retain(|_, at| now.since(*at) < STREAM_TTL);
    }

    /// Returns whether a service uses several versions, or did so within [`STREAM_TTL`].
    pub fn is_mixed(&self, service: &ServiceName) -> bool {
        self.seen.get(service).is_some_and(|seen| seen.len() > 1)
    }
}
