//! The socket for datagrams between boxes. It sends no faster than the box's link carries.
//!
//! A datagram that finds the link's queue full is lost without a word. Of 41 changes of servers for a hall of
//! 57 boxes, 0.4 MB at once on a link of 20 Mbit/s, the first 27 boxes had the first 4.7 KB, and nobody more: the
//! others heard of a server that leaves seconds later.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep_until};

use super::messages::Message;

/// The largest datagram, in bytes.
pub const MAX_DATAGRAM: usize = 32 * 1024;

/// The part of the link that datagrams between boxes take at most; requests and copies have the rest.
const LINK_PART: f64 = 0.5;

/// How many bytes are handed to the link at once: half of what came through of the burst above, 127 KB.
const BURST_BYTES: usize = 64 * 1024;

/// The socket.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
    /// The port of every box.
    port: u16,
    bytes_per_second: f64,
    /// When the link is done with all that was sent so far, at that rate.
    done_at: Mutex<Instant>,
    /// How many messages were sent; each goes to another box first, so that what is lost all the same
    /// does not always strike the same ones.
    sent: AtomicUsize,
}

impl PeerSocket {
    /// Binds the socket of the box at `ip`, whose link carries `link_mbps` megabits a second.
    pub async fn bind(ip: Ipv4Addr, port: u16, link_mbps: f64) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(SocketAddr::from((ip, port))).await?,
            port,
            bytes_per_second: link_mbps * 1e6 / 8.0 * LINK_PART,
            done_at: Mutex::new(Instant::now()),
            sent: AtomicUsize::new(0),
        })
    }

    /// Sends a message to boxes, as fast as the link carries it.
    pub async fn send(&self, message: &Message, boxes: &[Ipv4Addr]) {
        let Some(bytes) = encode(message) else {
            return;
        };
        let first = self.sent.fetch_add(1, Ordering::Relaxed) % boxes.len().max(1);
        let (later, sooner) = boxes.split_at(first);
        for ip in sooner.iter().chain(later) {
            self.room_for(bytes.len()).await;
            let sent = self.socket.send_to(&bytes, SocketAddr::from((*ip, self.port))).await;
            log_failure(*ip, sent);
        }
    }

    /// Sends a short message to one box at once.
    pub fn send_now(&self, message: &Message, ip: Ipv4Addr) {
        if let Some(bytes) = encode(message) {
            let sent = self.socket.try_send_to(&bytes, SocketAddr::from((ip, self.port)));
            log_failure(ip, sent);
        }
    }

    /// Receives a datagram. Returns its length and the box that sent it; `None` if it is of no box.
    pub async fn receive(&self, buffer: &mut [u8]) -> io::Result<Option<(usize, Ipv4Addr)>> {
        let (length, from) = self.socket.recv_from(buffer).await?;
        Ok(match from.ip() {
            IpAddr::V4(ip) => Some((length, ip)),
            IpAddr::V6(_) => None,
        })
    }

    /// Waits until the link has room for `length` bytes more.
    async fn room_for(&self, length: usize) {
        let time = |bytes: usize| Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        let now = Instant::now();
        let done_at = {
            let mut done_at = self.done_at.lock();
            *done_at = (*done_at).max(now) + time(length);
            *done_at
        };
        let may_send_at = done_at - time(BURST_BYTES).min(done_at - now);
        if may_send_at > now {
            sleep_until(may_send_at).await;
        }
    }
}

/// Nothing depends on one message, so a failed send is as good as a lost one.
fn log_failure(ip: Ipv4Addr, sent: io::Result<usize>) {
    if let Err(error) = sent {
        log::debug!(to:% = ip, error:% = error; "message not sent");
    }
}

fn encode(message: &Message) -> Option<Vec<u8>> {
    match bincode::serde::encode_to_vec(message, bincode::config::standard()) {
        Ok(bytes) if bytes.len() <= MAX_DATAGRAM => Some(bytes),
        Ok(bytes) => {
            log::warn!(bytes = bytes.len(); "message too large, not sent");
            None
        }
        Err(error) => {
            log::error!(error:% = error; "message not encoded");
            None
        }
    }
}
