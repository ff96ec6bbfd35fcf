//! The detection of connections that were lost without a reset.
//!
//! A failed machine or link sends no reset. Data written to such a connection is never acknowledged, and data
//! from it never arrives. The kernel detects the former by a timeout for unacknowledged data and the latter by
//! keep-alive probes. Clients that know the duration of an answer have shorter timeouts of their own.

use std::time::Duration;

use hyper_util::client::legacy::connect::HttpConnector;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// The maximum time without an acknowledgement before the kernel closes a connection, long enough for several
/// retransmissions on a lossy link.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(4);

/// The idle time after which a connection is probed. Thirty idle connections cost some 2 KB/s, by the size of
/// a probe and its answer.
const PROBE_DELAY: Duration = Duration::from_secs(2);

/// The interval of unanswered probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered probes after which a connection is closed, on systems that ignore
/// [`ACKNOWLEDGE_TIMEOUT`] for probes.
const MAX_PROBES: u32 = 2;

/// Enables the detection for a connection.
pub fn enable(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_DELAY)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    let enabled = socket
        .set_tcp_keepalive(&probes)
        .and_then(|()| socket.set_tcp_user_timeout(Some(ACKNOWLEDGE_TIMEOUT)));
    if let Err(error) = enabled {
        // Without it, lost connections are only detected by timeouts.
        log::debug!(error:% = error; "connection not watched");
    }
}

/// Enables the detection for all connections that `connector` opens.
pub fn enable_for_all(connector: &mut HttpConnector) {
    connector.set_keepalive(Some(PROBE_DELAY));
    connector.set_keepalive_interval(Some(PROBE_INTERVAL));
    connector.set_keepalive_retries(Some(MAX_PROBES));
    connector.set_tcp_user_timeout(Some(ACKNOWLEDGE_TIMEOUT));
}
