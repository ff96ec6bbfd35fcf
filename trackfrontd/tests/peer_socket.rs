//! The socket for datagrams between boxes.
//!
//! What was seen: after an outage of the store some boxes sent requests to a server up to 5 s after it had said
//! that it leaves, and some served by an old configuration; both have to be known within 4 s. The box that read
//! for its hall of 57 handed on 41 changes at once. The first 27 boxes in the order of addresses had the
//! first part, nobody the second, and the rest heard nothing: a datagram that finds a link's queue full is
//! lost without a word. What proved it: the newest version that each box of the hall logged by then.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout};
use trackfrontd::serving::feed_relay::FeedUpdate;
use trackfrontd::serving::messages::Message;
use trackfrontd::serving::peer_socket::PeerSocket;

/// The boxes of a large hall, beside the one that tells them.
const BOXES: usize = 56;

/// What the link carries: 1.25 MB/s.
const LINK_MBPS: f64 = 10.0;

/// What the queue of a link holds, as it was measured at a box that lost what came after.
const QUEUE_BYTES: f64 = 127_000.0;

/// A message of about 10 KB, as changes of servers have unpacked.
fn large_message() -> Message {
    Message::PackedFeedUpdate(vec![7; 10_000])
}

fn ip(last: usize) -> Ipv4Addr {
    let run = std::process::id();
    Ipv4Addr::new(127, 60 + (run / 250 % 100) as u8, (run % 250) as u8, last as u8)
}

/// Starts boxes that note when a datagram came, and how long it was.
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
async fn a_burst_never_has_more_on_its_way_than_a_links_queue_holds() {
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
    // What the queue holds if the link takes from it at its full speed.
    let mut queued: f64 = 0.0;
    let mut before = seen[0].0;
    for (at, length) in seen {
        let taken = at.duration_since(before).as_secs_f64() * LINK_MBPS * 1e6 / 8.0;
        queued = (queued - taken).max(0.0) + length as f64;
        before = at;
        assert!(queued < QUEUE_BYTES, "{queued} bytes wait");
    }
}

/// Notes which box a datagram came to.
async fn note(ip: Ipv4Addr, port: u16, seen: Arc<parking_lot::Mutex<Vec<Ipv4Addr>>>) {
    let socket = UdpSocket::bind(SocketAddr::from((ip, port))).await.expect("free");
    let mut buffer = vec![0; 32 * 1024];
    tokio::spawn(async move {
        while socket.recv_from(&mut buffer).await.is_ok() {
            seen.lock().push(ip);
        }
    });
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_boxes_are_told_first_each_time() {
    let port = 18_183;
    let seen = Arc::default();
    let boxes = [ip(101), ip(102)];
    for ip in boxes {
        note(ip, port, Arc::clone(&seen)).await;
    }
    // Beyond the burst that goes at once, 0.1 s lie between two datagrams.
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
async fn a_short_message_to_one_box_does_not_wait_behind_a_burst() {
    let port = 18_184;
    let one = UdpSocket::bind(SocketAddr::from((ip(111), port))).await.expect("free");
    let socket = Arc::new(PeerSocket::bind(ip(202), port, 0.5).await.expect("free"));
    let busy = socket.clone();
    let burst = tokio::spawn(async move {
        let boxes: Vec<Ipv4Addr> = (120..150).map(ip).collect();
        busy.send(&large_message(), &boxes).await;
    });
    sleep(Duration::from_millis(50)).await;
    socket.send_now(&Message::FeedUpdate(FeedUpdate::Config { row: 1 }), ip(111));
    let mut buffer = [0; 64];
    let came = timeout(Duration::from_millis(900), one.recv_from(&mut buffer)).await;
    assert!(came.is_ok(), "it came at once");
    assert!(!burst.is_finished(), "the burst goes on");
    burst.abort();
}
