//! The UDP socket for messages between boxes.
//!
//! Guards against bursts that overflow a link's queue, which drops datagrams silently. After an
//! outage of the store, the feed reader of a hall of 57 boxes relayed 41 changes at once. The first
//! 27 boxes in order of address received the first part, nobody the second, and the rest nothing,
//! as the newest version logged by each box showed. Some boxes sent requests to a server up to 5 s
//! after it had announced that it leaves, and some served an old configuration; boxes have to know
//! both within 4 s.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout};
use trackfrontd::serving::feed_relay::FeedUpdate;
use trackfrontd::serving::messages::Message;
use trackfrontd::serving::peer_socket::PeerSocket;

/// The boxes of a large hall, except for the sender.
const BOXES: usize = 56;

/// The rate of the link: 1.25 MB/s.
const LINK_MBPS: f64 = 10.0;

/// The capacity of a link's queue; datagrams beyond it are dropped.
const QUEUE_BYTES: f64 = 127_000.0;

/// A message of about 10 KB, the size of uncompressed server changes.
fn large_message() -> Message {
    Message::PackedFeedUpdate(vec![7; 10_000])
}

fn ip(last: usize) -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(127, 60 + (process / 250 % 100) as u8, (process % 250) as u8, last as u8)
}

/// Starts boxes that record the time and the length of each received datagram.
async fn hall(port: u16, seen: &Arc<parking_lot::Mutex<Vec<(Instant, usize)>>>) -> Vec<Ipv4Addr> {
    let mut boxes = Vec::new();
    for last in 1..=BOXES {
        let socket = UdpSocket::bind(SocketAddr::from((ip(last), port))).await.expect("free");
        let seen = seen.clone();
        tokio::spawn(async move {
            let mut buffer = vec![0; 32 * 1024];
            while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
                seen.lock().push((Instant::now(), length));
            }
        });
        boxes.push(ip(last));
    }
    boxes
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn burst_fits_the_queue_of_the_link() {
    let port = 18_182;
    let seen = Arc::default();
    let boxes = hall(port, &seen).await;
    let socket = PeerSocket::bind(ip(200), port, LINK_MBPS).await.expect("free");
    for _ in 0..2 {
        socket.send(&large_message(), &boxes).await;
    }
    sleep(Duration::from_millis(200)).await;
    let seen = seen.lock().clone();
    assert_eq!(seen.len(), 2 * BOXES, "nothing is lost");
    // The bytes in the queue if the link drains it at its full rate.
    let mut queued: f64 = 0.0;
    let mut last_at = seen[0].0;
    for (at, length) in seen {
        let drained = at.duration_since(last_at).as_secs_f64() * LINK_MBPS * 1e6 / 8.0;
        queued = (queued - drained).max(0.0) + length as f64;
        last_at = at;
        assert!(queued < QUEUE_BYTES, "{queued} bytes wait");
    }
}

/// Records the recipient of each datagram.
async fn record_recipients(ip: Ipv4Addr, port: u16, seen: Arc<parking_lot::Mutex<Vec<Ipv4Addr>>>) {
    let socket = UdpSocket::bind(SocketAddr::from((ip, port))).await.expect("free");
    let mut buffer = vec![0; 32 * 1024];
    tokio::spawn(async move {
        while socket.recv_from(&mut buffer).await.is_ok() {
            seen.lock().push(ip);
        }
    });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn first_recipient_rotates() {
    let port = 18_183;
    let seen = Arc::default();
    let boxes = [ip(101), ip(102)];
    for ip in boxes {
        record_recipients(ip, port, Arc::clone(&seen)).await;
    }
    // After the initial burst, datagrams are sent 0.1 s apart.
    let socket = PeerSocket::bind(ip(201), port, 5.0).await.expect("free");
    for _ in 0..4 {
        socket.send(&Message::PackedFeedUpdate(vec![7; 30_000]), &boxes).await;
    }
    sleep(Duration::from_millis(100)).await;
    let seen = seen.lock().clone();
    let firsts: Vec<Ipv4Addr> = seen.iter().step_by(2).copied().collect();
    assert_eq!(firsts[1..], [ip(102), ip(101), ip(102)], "{seen:?}");
}

#[tokio::test]
async fn short_message_to_one_box_does_not_wait_for_a_burst() {
    let port = 18_184;
    let recipient = UdpSocket::bind(SocketAddr::from((ip(111), port))).await.expect("free");
    let socket = Arc::new(PeerSocket::bind(ip(202), port, 0.5).await.expect("free"));
    let busy = socket.clone();
    let burst = tokio::spawn(async move {
        let boxes: Vec<Ipv4Addr> = (120..150).map(ip).collect();
        busy.send(&large_message(), &boxes).await;
    });
    sleep(Duration::from_millis(50)).await;
    socket.send_now(&Message::FeedUpdate(FeedUpdate::Config { row: 1.into() }), ip(111));
    let mut buffer = [0; 64];
    let received = timeout(Duration::from_millis(900), recipient.recv_from(&mut buffer)).await;
    assert!(received.is_ok(), "it came at once");
    assert!(!burst.is_finished(), "the burst goes on");
    burst.abort();
}
