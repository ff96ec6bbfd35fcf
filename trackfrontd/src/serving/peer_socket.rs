//! The UDP socket for messages between boxes, paced to the box's link.
//!
//! A datagram that finds the link's queue full is dropped silently. When a box sent 41 server
//! changes to a hall of 57 boxes, 0.4 MB at once over a link of 20 Mbit/s, the first 27 boxes
//! received the first 4.7 KB and no box received more: the others learned of a leaving server
//! seconds later.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};

use parking_lot::Mutex;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep_until};

use super::messages::Message;
use trackfront_core::units::secs_to_duration;

/// The largest datagram, in bytes.
pub const MAX_DATAGRAM: usize = 32 * 1024;

/// The largest fraction of the link for datagrams between boxes. The rest is left to requests and
/// snapshots.
const LINK_FRACTION: f64 = 0.5;

/// The most bytes sent to the link at once: half of the 127 KB that got through of the burst above.
const BURST_BYTES: usize = 64 * 1024;

/// The socket, which sends no faster than a fraction of the link's rate.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
    /// The port, the same at every box.
    port: u16,
    bytes_per_second: f64,
    /// When the link will have carried everything sent so far, at that rate.
    drained_at: Mutex<Instant>,
    /// The number of messages sent. It rotates the order of recipients, so that losses do not
    /// always hit the same boxes.
    sent: AtomicUsize,
}

impl PeerSocket {
    /// Binds the socket at `ip`, paced for a link of `link_mbps` megabits a second.
    pub async fn bind(ip: Ipv4Addr, port: u16, link_mbps: f64) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(SocketAddr::from((ip, port))).await?,
            port,
            bytes_per_second: link_mbps * 1e6 / 8.0 * LINK_FRACTION,
            drained_at: Mutex::new(Instant::now()),
            sent: AtomicUsize::new(0),
        })
    }

    /// Sends a message to each of `boxes`, as fast as the pacing permits.
    pub async fn send(&self, message: &Message, boxes: &[Ipv4Addr]) {
        let Some(bytes) = encode(message) else {
            return;
        };
        let first = self.sent.fetch_add(1, Ordering::Relaxed) % boxes.len().max(1);
        let (head, tail) = boxes.split_at(first);
        for ip in tail.iter().chain(head) {
            self.wait_for_room(bytes.len()).await;
            let sent = self.socket.send_to(&bytes, SocketAddr::from((*ip, self.port))).await;
            log_failure(*ip, sent);
        }
    }

    /// Sends a short message to one box at once, without pacing.
    pub fn send_now(&self, message: &Message, ip: Ipv4Addr) {
        if let Some(bytes) = encode(message) {
            let sent = self.socket.try_send_to(&bytes, SocketAddr::from((ip, self.port)));
            log_failure(ip, sent);
        }
    }

    /// Receives a datagram, and returns its length and the box that sent it. Returns `None` if the
    /// sender has no IPv4 address and thus is no box.
    pub async fn receive(&self, buffer: &mut [u8]) -> io::Result<Option<(usize, Ipv4Addr)>> {
        let (length, from) = self.socket.recv_from(buffer).await?;
        Ok(match from.ip() {
            IpAddr::V4(ip) => Some((length, ip)),
            IpAddr::V6(_) => None,
        })
    }

    /// Waits until the link has room for another `length` bytes.
    async fn wait_for_room(&self, length: usize) {
        let duration = |bytes: usize| secs_to_duration(bytes as f64 / self.bytes_per_second);
        let now = Instant::now();
        let drained_at = {
            let mut drained_at = self.drained_at.lock();
            *drained_at = (*drained_at).max(now) + duration(length);
            *drained_at
        };
        let may_send_at = drained_at - duration(BURST_BYTES).min(drained_at - now);
        if may_send_at > now {
            sleep_until(may_send_at).await;
        }
    }
}

/// Logs a failed send, which is no worse than a lost datagram: nothing depends on a single message.
fn log_failure(ip: Ipv4Addr, sent: io::Result<usize>) {
    if let Err(error) = sent {
        log::debug!(to:% = ip, error:% = error; "sending a message failed");
    }
}

fn encode(message: &Message) -> Option<Vec<u8>> {
    match bincode::serde::encode_to_vec(message, bincode::config::standard()) {
        Ok(bytes) if bytes.len() <= MAX_DATAGRAM => Some(bytes),
        Ok(bytes) => {
            log::warn!(bytes = bytes.len(); "message too large for a datagram; not sent");
            None
        }
        Err(error) => {
            log::error!(error:% = error; "encoding a message failed");
            None
        }
    }
}
