//! The software version that a stream is bound to.

use trackfront_core::serving::directory::KnownServer;
use trackfront_core::serving::request::{Continued, Refusal};
use trackfront_core::serving::stream_origins::{StreamId, StreamOrigin, StreamSoftware};

use super::Job;
use crate::serving::stream_origins::{RelayedStream, lookup};

/// Why a stream is not continued.
const UNKNOWN_ORIGIN: &str = "nobody knows which software began the stream";

impl Job {
    /// Binds a request that continues a stream to the software that began it. Refuses it if that is unknown and matters.
    pub(super) async fn find_software(&self) -> Option<Refusal> {
        let continued = self.info.continues.as_ref().filter(|_| self.route.resumable)?;
        let stream = match continued {
            Continued::Named(attempt) => Some(StreamId::of(attempt)),
            Continued::Unnamed => None,
        };
        match lookup::software_of(&self.node, &self.info.id, &self.service, stream).await {
            StreamSoftware::Any => None,
            StreamSoftware::Version(software) => {
                *self.software.lock() = Some(software);
                None
            }
            StreamSoftware::Unknown(_) => {
                let retry_after = self.spread(super::MIN_RETRY_AFTER);
                Some(Refusal::NoServer { cause: UNKNOWN_ORIGIN, retry_after })
            }
        }
    }

    /// Binds the request to the software of the server that sent its first event. Returns the stream that this box relays
    /// from now on, if the client may take it up again.
    pub fn bind_software(&self, server: &KnownServer) -> Option<RelayedStream> {
        let software = *self.software.lock().get_or_insert(server.entry.software_id());
        let stream = match &self.info.continues {
            None => StreamId::of(&self.info.id),
            Some(Continued::Named(attempt)) => StreamId::of(attempt),
            Some(Continued::Unnamed) => return None,
        };
        let origin = StreamOrigin { stream, software };
        let node = self.node.clone();
        self.route.resumable.then(|| RelayedStream::begin(node, &self.service, origin))
    }
}
