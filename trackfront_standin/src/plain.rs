//! A stand-in for a plain service that counts how often it ran each key.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use trackfront_adapters::http_server::{Abort, json};
use trackfront_adapters::wire::engine::REQUEST_ID_HEADER;
use trackfront_core::ids::RequestId;
use trackfront_core::ports::{PlainCall, PlainError, PlainReply, PlainService};

use crate::control::FAULTS_PATH;
use crate::server::{Answer, Listening, body, json_body, ok};

/// The header that names a call that may not be repeated.
const KEY_HEADER: &str = "idempotency-key";

/// The faults of a plain service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlainFaults {
    /// How long each call runs, in milliseconds.
    pub latency_ms: u64,
    /// How many of the next calls are dropped before they run.
    pub drop_before: u32,
    /// How many of the next replies are lost after the call ran.
    pub lose_replies: u32,
    /// How many of the next replies name another request.
    pub wrong_ids: u32,
    /// Every connection is refused.
    pub down: bool,
}

/// What a call is answered with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainAnswer {
    /// The server's name.
    pub server: String,
    /// The path that was called.
    pub path: String,
    /// The body that came with the call.
    pub body: String,
    /// How often the server has run this key, with this call.
    pub runs: u32,
}

/// A handle on a running plain service.
#[derive(Clone)]
pub struct PlainStandin {
    name: String,
    runs: Arc<Mutex<HashMap<String, u32>>>,
    faults: Arc<Mutex<PlainFaults>>,
}

impl PlainStandin {
    /// Makes a server called `name`. Servers that share `runs` count together.
    pub fn new(name: impl Into<String>, runs: Arc<Mutex<HashMap<String, u32>>>) -> Self {
        Self { name: name.into(), runs, faults: Arc::default() }
    }

    /// Serves it on `listener`.
    pub fn start(&self, listener: TcpListener) -> std::io::Result<Listening> {
        let server = self.clone();
        Listening::start(listener, move |request| {
            let server = server.clone();
            async move { server.handle(request).await }
        })
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: PlainFaults) {
        *self.faults.lock() = faults;
    }

    /// Returns how often each key was run.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.runs.lock().clone()
    }

    async fn handle(&self, request: Request<Incoming>) -> Answer {
        if request.uri().path() == FAULTS_PATH {
            return match json_body::<PlainFaults>(request).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    ok(&self.runs())
                }
                Err(answer) => *answer,
            };
        }
        let header = |name: &str| {
            request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_string)
        };
        let id = header(REQUEST_ID_HEADER);
        let key = header(KEY_HEADER);
        let path = request.uri().path_and_query().map(ToString::to_string).unwrap_or_default();
        let body = String::from_utf8_lossy(&body(request).await?).into_owned();
        let (named, answer) = self.answer(id, key, path, body).await?;
        let mut response = json(StatusCode::OK, &answer);
        if let Some(value) = named.and_then(|id| id.parse().ok()) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        Ok(response)
    }

    /// Runs a call and returns its answer with the request that it names.
    async fn answer(
        &self,
        id: Option<String>,
        key: Option<String>,
        path: String,
        body: String,
    ) -> Result<(Option<String>, PlainAnswer), Abort> {
        if take(&mut self.faults.lock().drop_before) {
            return Err(Abort);
        }
        let runs = self.run(key.or_else(|| id.clone()).unwrap_or_default());
        let latency = Duration::from_millis(self.faults.lock().latency_ms);
        tokio::time::sleep(latency).await;
        let mut faults = self.faults.lock();
        if take(&mut faults.lose_replies) {
            return Err(Abort);
        }
        let wrong = take(&mut faults.wrong_ids);
        let named = if wrong { Some("another-request".to_string()) } else { id };
        Ok((named, PlainAnswer { server: self.name.clone(), path, body, runs }))
    }

    /// Runs the call: the effect that may happen only once for each key.
    fn run(&self, key: String) -> u32 {
        let mut runs = self.runs.lock();
        let count = runs.entry(key).or_default();
        *count += 1;
        *count
    }
}

#[async_trait]
impl PlainService for PlainStandin {
    async fn call(&self, call: PlainCall) -> Result<PlainReply, PlainError> {
        if self.faults.lock().down {
            return Err(PlainError::Unreachable("the server is down".into()));
        }
        let key = call.headers.iter().find(|header| header.name == KEY_HEADER);
        let key = key.map(|header| String::from_utf8_lossy(&header.value).into_owned());
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let answered = self.answer(Some(call.id.to_string()), key, call.path_and_query, body).await;
        let (named, answer) = answered.map_err(|abort| PlainError::Broke(abort.to_string()))?;
        Ok(PlainReply {
            request: named.map(RequestId::from),
            status: StatusCode::OK.as_u16(),
            headers: Vec::new(),
            body: serde_json::to_vec(&answer).expect("our own types always encode").into(),
            is_end_stated: true,
        })
    }
}

/// Takes one from a count, if there is one left.
fn take(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}
