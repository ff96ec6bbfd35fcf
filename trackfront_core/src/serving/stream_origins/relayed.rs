//! The streams that this box relays or did so lately.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::time::Duration;

use crate::units::Moment;

use super::{AgedOrigin, SoftwareId, StreamId, StreamOrigin, StreamOrigins};

/// A stream that is being relayed, to as many clients as name it.
#[derive(Clone, Copy, Debug)]
struct Running {
    software: SoftwareId,
    relays: u32,
}

/// The streams that this box relays or did so lately. Those that it still relays are remembered however long they last.
#[derive(Debug, Default)]
pub struct RelayedStreams {
    running: HashMap<StreamId, Running>,
    ended: StreamOrigins,
}

impl RelayedStreams {
    /// Records that the box began to relay a stream. The first software of a stream counts.
    pub fn begin(&mut self, origin: StreamOrigin) {
        match self.running.entry(origin.stream) {
            Entry::Occupied(mut running) => running.get_mut().relays += 1,
            Entry::Vacant(vacant) => {
                vacant.insert(Running { software: origin.software, relays: 1 });
            }
        }
    }

    /// Records that the box no longer relays a stream, whose client may still take it up again.
    pub fn end(&mut self, stream: StreamId, now: Moment) {
        let Some(running) = self.running.get_mut(&stream) else { return };
        running.relays -= 1;
        let Running { software, relays } = *running;
        if relays == 0 {
            self.running.remove(&stream);
        }
        self.ended.record(StreamOrigin { stream, software }, now);
    }

    /// Returns the software that began a stream, if that is known.
    pub fn get(&self, stream: StreamId, now: Moment) -> Option<SoftwareId> {
        let running = self.running.get(&stream).map(|running| running.software);
        running.or_else(|| self.ended.get(stream, now))
    }

    /// Returns the streams that are running, or ended within `time`.
    pub fn within(&self, time: Duration, now: Moment) -> impl Iterator<Item = AgedOrigin> {
        let running = self.running.iter().map(|(stream, running)| {
            let origin = StreamOrigin { stream: *stream, software: running.software };
            AgedOrigin { origin, age: Duration::ZERO }
        });
        running.chain(self.ended.within(time, now))
    }
}
