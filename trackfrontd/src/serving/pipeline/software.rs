//! The software version that a stream is bound to.

use trackfront_core::serving::directory::KnownServer;
use trackfront_core::serving::request::{Continued, Refusal};
use trackfront_core::serving::stream_origins::{StreamId, StreamOrigin};

use super::Job;
use crate::serving::stream_origins::{self, StreamSoftware};

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
        let software = stream_origins::software_of(&self.node, &self.service, stream).await;
        let request = &self.info.id;
        log::info!(request:%, software:?; "stream continued for a client");
        match software {
            StreamSoftware::Any => None,
            StreamSoftware::Version(software) => {
                *self.software.lock() = Some(software);
                None
            }
            StreamSoftware::Unknown => {
                let retry_after = self.spread(super::MIN_RETRY_AFTER);
                Some(Refusal::NoServer { cause: UNKNOWN_ORIGIN, retry_after })
            }
        }
    }

    /// Binds the request to the software of the server that sent its first event.
    pub fn bind_software(&self, server: &KnownServer) {
        let software = server.entry.software_id();
        self.software.lock().get_or_insert(software);
        if self.info.continues.is_none() && self.route.resumable {
            let origin = StreamOrigin { stream: StreamId::of(&self.info.id), software };
            stream_origins::stream_began(&self.node, &self.service, origin);
        }
    }
}
