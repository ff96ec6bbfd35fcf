//! How connections that fell silent without a reset are found out.
//!
//! A machine or a link that is gone sends no reset: what is written to such a connection is never
//! acknowledged, and what is awaited on it never comes. The system finds the first out by the time that
//! bytes stay unacknowledged, the second by probes. A client's own time-out is shorter where it knows how
//! long an answer takes.

use std::time::Duration;

use hyper_util::client::legacy::connect::HttpConnector;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long bytes or a probe may stay unacknowledged until the system gives a connection up: several
/// retransmissions on a link that loses packets.
const UNACKNOWLEDGED: Duration = Duration::from_secs(4);

/// How long a connection rests before it is probed. Thirty connections at rest cost some
/// 2 KB/s, worked out from a probe and its answer.
const PROBE_AFTER: Duration = Duration::from_secs(2);

/// How long after a probe that is not answered the next one follows.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// How many probes go unanswered until a connection is given up, where the system does not go by
/// [`UNACKNOWLEDGED`].
const PROBES: u32 = 2;

/// Has the system watch a connection.
pub fn watch(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes =
        TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_EVERY).with_retries(PROBES);
    let watched = socket
        .set_tcp_keepalive(&probes)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED)));
    if let Err(error) = watched {
        // Without it a silent connection is found out by time-outs only.
        log::debug!(error:% = error; "connection not watched");
    }
}

/// Has the system watch every connection that `connector` opens.
pub fn watch_all(connector: &mut HttpConnector) {
    connector.set_keepalive(Some(PROBE_AFTER));
    connector.set_keepalive_interval(Some(PROBE_EVERY));
    connector.set_keepalive_retries(Some(PROBES));
    connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED));
}
