//! Answers of servers on reused connections.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use trackfront_adapters::connect::TcpConnect;
use trackfront_adapters::upstream::{SendOptions, UpstreamPool};
use trackfront_core::ports::Clock;
use trackfront_core::units::{Moment, UnixMillis};

/// Figures that a faulty server may state: no number that is written in a header is out of the question.
const EXTREME_FIGURES: [&str; 9] = [
    "18446744073709551615",
    "18446744073709551614",
    "9223372036854775807",
    "99999999999999999999999999",
    "-1",
    "0",
    "1e400",
    "NaN",
    "",
];

const OPTIONS: SendOptions =
    SendOptions { connect_time: Duration::from_secs(5), max_idle: Duration::from_secs(5) };

/// The clock of a process that has run for a day.
struct OldClock;

#[async_trait]
impl Clock for OldClock {
    fn now(&self) -> Moment {
        Moment(Duration::from_secs(86_400))
    }

    fn unix(&self) -> UnixMillis {
        UnixMillis::default()
    }

    async fn sleep(&self, duration: Duration) {
        tokio::time::sleep(duration).await;
    }
}

/// Answers all requests on its connections with `head` and an empty body. Returns the address.
async fn serve(head: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let head = head.clone();
            tokio::spawn(async move {
                let mut request = [0; 1_024];
                while stream.read(&mut request).await.is_ok_and(|read| read > 0) {
                    if stream.write_all(head.as_bytes()).await.is_err() {
                        break;
                    }
                }
            });
        }
    });
    address
}

fn request() -> Option<Request<Full<Bytes>>> {
    let request = Request::get("/").header("host", "server").body(Full::default());
    Some(request.expect("the parts are valid"))
}

/// Guards against one spoiled number in a server's answer that ends every box which reads it (review/4): the sum of the
/// present and the stated time overflowed, and the panic ended the process with all requests of its other clients.
#[tokio::test]
async fn any_stated_idle_time_of_a_server_is_borne() {
    for figure in EXTREME_FIGURES {
        let head =
            format!("HTTP/1.1 200 OK\r\ncontent-length: 0\r\nkeep-alive: timeout={figure}\r\n\r\n");
        let address = serve(head).await;
        let pool = UpstreamPool::new(Arc::new(OldClock), Arc::new(TcpConnect));
        for _ in 0..3 {
            let answer = pool.send(&address, OPTIONS, request).await.expect(figure);
            answer.body.read(0).await.expect("an empty body");
        }
    }
}
