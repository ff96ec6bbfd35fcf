//! What all stand-ins share: a listener, a body reader, and answers.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::watch;
use trackfront_adapters::http_server::{Abort, Body, json, read_body, response, serve};

/// The largest body that a stand-in takes, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// How long a body may take to arrive.
const BODY_TIME: Duration = Duration::from_secs(10);

/// What a stand-in answers.
pub type Answer = Result<Response<Body>, Abort>;

/// A running listener; it stops when this is dropped.
#[derive(Debug)]
pub struct Listening {
    /// The address that it listens on.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

impl Listening {
    /// Serves `handler` on `listener`.
    pub fn start<H, F>(listener: TcpListener, handler: H) -> std::io::Result<Listening>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Answer> + Send + 'static,
    {
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(serve(listener, handler, stopped));
        Ok(Listening { address, stop, task })
    }

    /// Stops as a process does that is killed: at once, with every connection.
    pub fn kill(&self) {
        self.stop.send_replace(true);
        self.task.abort();
    }
}

impl Drop for Listening {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads a whole body.
pub async fn body(request: Request<Incoming>) -> Result<Bytes, Abort> {
    read_body(request.into_body(), MAX_BODY_BYTES, BODY_TIME).await.map_err(|_| Abort)
}

/// Reads a whole body as JSON; anything else is answered with status 400.
pub async fn json_body<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, Box<Answer>> {
    let bytes = body(request).await.map_err(|abort| Box::new(Err(abort)))?;
    serde_json::from_slice(&bytes).map_err(|error| {
        Box::new(Ok(response(StatusCode::BAD_REQUEST, "text/plain", error.to_string())))
    })
}

/// Answers with JSON.
pub fn ok(value: &impl serde::Serialize) -> Answer {
    Ok(json(StatusCode::OK, value))
}

/// Answers that there is nothing here.
pub fn not_found() -> Answer {
    Ok(response(StatusCode::NOT_FOUND, "text/plain", "nothing here"))
}

/// Returns the value of a query's parameter.
pub fn query<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    request.uri().query()?.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })
}
