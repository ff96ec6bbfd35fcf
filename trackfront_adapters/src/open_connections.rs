//! The open connections of a listener, and which of them rest.
//!
//! A listener serves a bounded number of connections. Clients keep theirs for further requests, so that a listener may be
//! full of connections that rest: the one that has rested longest is then closed for a new one.

use std::collections::{BTreeMap, HashMap};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::http_server::{Body, BodyError};

/// The open connections of a listener.
#[derive(Clone, Debug, Default)]
pub struct OpenConnections(Arc<Mutex<Connections>>);

#[derive(Debug, Default)]
struct Connections {
    last_number: u64,
    open: HashMap<u64, OpenState>,
    /// The connections that rest, by when they began to: the first one has rested longest.
    resting: BTreeMap<u64, u64>,
}

#[derive(Debug)]
struct OpenState {
    close: Arc<Notify>,
    /// The requests whose responses have not been written.
    requests: usize,
    /// Its key in [`Connections::resting`].
    resting_since: Option<u64>,
}

impl Connections {
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn rest(&mut self, id: u64) {
        let since = self.next_number();
        if let Some(state) = self.open.get_mut(&id) {
            state.resting_since = Some(since);
            self.resting.insert(since, id);
        }
    }

    fn stop_resting(&mut self, id: u64) {
        let since = self.open.get_mut(&id).and_then(|state| state.resting_since.take());
        since.map(|since| self.resting.remove(&since));
    }
}

impl OpenConnections {
    /// Adds a connection, which rests until its first request.
    pub fn add(&self) -> OpenConnection {
        let mut connections = self.0.lock();
        let id = connections.next_number();
        let close = Arc::new(Notify::new());
        let state = OpenState { close: close.clone(), requests: 0, resting_since: None };
        connections.open.insert(id, state);
        connections.rest(id);
        OpenConnection { all: self.clone(), id, close }
    }

    /// Asks the connection that has rested longest to close. Returns whether there is one.
    pub fn close_longest_resting(&self) -> bool {
        let mut connections = self.0.lock();
        let Some((_, id)) = connections.resting.pop_first() else {
            return false;
        };
        if let Some(state) = connections.open.get_mut(&id) {
            state.resting_since = None;
            state.close.notify_one();
        }
        true
    }

    /// Asks all connections to close once their requests are answered.
    pub fn close_all(&self) {
        self.0.lock().open.values().for_each(|state| state.close.notify_one());
    }
}

/// An open connection, until this is dropped.
pub struct OpenConnection {
    all: OpenConnections,
    id: u64,
    close: Arc<Notify>,
}

impl OpenConnection {
    /// Waits until the connection is asked to close.
    pub async fn close_asked(&self) {
        self.close.notified().await;
    }

    /// Returns what counts the requests of this connection.
    pub fn requests(&self) -> Requests {
        Requests { all: self.all.clone(), id: self.id }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut connections = self.all.0.lock();
        connections.stop_resting(self.id);
        connections.open.remove(&self.id);
    }
}

/// Counts the requests of a connection.
#[derive(Clone)]
pub struct Requests {
    all: OpenConnections,
    id: u64,
}

impl Requests {
    /// Counts a request until this is dropped.
    pub fn begin(&self) -> OpenRequest {
        let mut connections = self.all.0.lock();
        connections.stop_resting(self.id);
        if let Some(state) = connections.open.get_mut(&self.id) {
            state.requests += 1;
        }
        drop(connections);
        OpenRequest(self.clone())
    }
}

/// A request whose response has not been written.
pub struct OpenRequest(Requests);

impl OpenRequest {
    /// Counts the request until the body of its response is dropped.
    pub fn until_written(self, response: Response<Body>) -> Response<Body> {
        response.map(|body| CountedBody { body, _request: self }.boxed_unsync())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let mut connections = self.0.all.0.lock();
        let Some(state) = connections.open.get_mut(&self.0.id) else {
            return;
        };
        state.requests -= 1;
        if state.requests == 0 {
            connections.rest(self.0.id);
        }
    }
}

/// The body of a response whose request is counted.
struct CountedBody {
    body: Body,
    _request: OpenRequest,
}

impl HttpBody for CountedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
