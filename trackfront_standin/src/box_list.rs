//! A stand-in for the platform's lagging list of boxes.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use http::{Method, Request};
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::time::Instant;
use trackfront_adapters::wire::platform::BOXES_PATH;
use trackfront_core::ports::{BoxList, BoxListError, ListedBox};

use crate::control::FaultSwitch;
use crate::server::{Answer, Listening, json_body, not_found, ok};

/// A handle on a running box list.
#[derive(Clone)]
pub struct BoxListStandin {
    states: Arc<Mutex<States>>,
    lag: Duration,
    /// The list's faults.
    pub faults: FaultSwitch,
}

#[derive(Default)]
struct States {
    shown: Vec<ListedBox>,
    coming: VecDeque<(Instant, Vec<ListedBox>)>,
}

impl BoxListStandin {
    /// Makes an empty list that shows each change after `lag`.
    pub fn new(lag: Duration) -> Self {
        Self { states: Arc::default(), lag, faults: FaultSwitch::default() }
    }

    /// Serves the list on `listener`.
    pub fn start(&self, listener: TcpListener) -> std::io::Result<Listening> {
        let list = self.clone();
        Listening::start(listener, move |request| {
            let list = list.clone();
            async move { list.handle(request).await }
        })
    }

    /// Sets the list; it is shown after the lag.
    pub fn set(&self, boxes: Vec<ListedBox>) {
        self.states.lock().coming.push_back((Instant::now() + self.lag, boxes));
    }

    /// Returns the list as it will be shown once the lag is over.
    pub fn coming(&self) -> Vec<ListedBox> {
        let states = self.states.lock();
        states.coming.back().map_or(&states.shown, |(_, boxes)| boxes).clone()
    }

    /// Returns the list as it is shown now.
    pub fn shown(&self) -> Vec<ListedBox> {
        let mut states = self.states.lock();
        while states.coming.front().is_some_and(|(at, _)| *at <= Instant::now()) {
            if let Some((_, boxes)) = states.coming.pop_front() {
                states.shown = boxes;
            }
        }
        states.shown.clone()
    }

    async fn handle(&self, request: Request<Incoming>) -> Answer {
        self.faults.before().await?;
        match (request.method(), request.uri().path()) {
            (&Method::GET, BOXES_PATH) => ok(&self.shown()),
            (&Method::PUT, BOXES_PATH) => match json_body(request).await {
                Ok(boxes) => {
                    self.set(boxes);
                    ok(&"set")
                }
                Err(answer) => *answer,
            },
            _ => not_found(),
        }
    }
}

#[async_trait]
impl BoxList for BoxListStandin {
    async fn boxes(&self) -> Result<Vec<ListedBox>, BoxListError> {
        let reached = self.faults.before().await;
        reached.map_err(|abort| BoxListError::Unavailable(abort.to_string()))?;
        Ok(self.shown())
    }
}
