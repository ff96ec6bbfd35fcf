//! A stand-in for the platform's object store.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use trackfront_adapters::http_server::{Abort, response};
use trackfront_adapters::wire::platform::{OBJECT_LIST_PATH, OBJECTS_PATH};
use trackfront_core::ports::{ObjectError, Objects};

use crate::control::{FAULTS_PATH, FaultSwitch, PlatformFaults};
use crate::server::{Answer, Listening, body, json_body, not_found, ok, query};

/// How many names a list has at most.
const MAX_LIST: usize = 1_000;

/// A handle on a running object store.
#[derive(Clone, Default)]
pub struct ObjectStandin {
    objects: Arc<Mutex<BTreeMap<String, Bytes>>>,
    /// The store's faults.
    pub faults: FaultSwitch,
}

impl ObjectStandin {
    /// Serves the store on `listener`.
    pub fn start(&self, listener: TcpListener) -> std::io::Result<Listening> {
        let store = self.clone();
        Listening::start(listener, move |request| {
            let store = store.clone();
            async move { store.handle(request).await }
        })
    }

    /// Overwrites an object, to stand for damage in the store.
    pub fn damage(&self, prefix: &str, change: impl Fn(&mut Vec<u8>)) {
        for (_, body) in self.objects.lock().iter_mut().filter(|(name, _)| name.starts_with(prefix))
        {
            let mut bytes = body.to_vec();
            change(&mut bytes);
            *body = bytes.into();
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Answer {
        if request.uri().path() == FAULTS_PATH {
            return match json_body::<PlatformFaults>(request).await {
                Ok(faults) => {
                    self.faults.set(faults);
                    ok(&self.objects.lock().len())
                }
                Err(answer) => *answer,
            };
        }
        self.faults.before().await?;
        let path = request.uri().path().to_string();
        if path == OBJECT_LIST_PATH {
            let prefix = query(&request, "prefix").unwrap_or_default();
            let after = query(&request, "after").unwrap_or_default();
            let limit = query(&request, "limit").and_then(|limit| limit.parse().ok());
            return ok(&self.names(prefix, after, limit.unwrap_or(MAX_LIST)));
        }
        let Some(name) = path.strip_prefix(OBJECTS_PATH).map(str::to_string) else {
            return not_found();
        };
        match *request.method() {
            Method::PUT => {
                let bytes = body(request).await?;
                self.objects.lock().insert(name, bytes);
                self.faults.after()?;
                ok(&"written")
            }
            _ => {
                let found = self.objects.lock().get(&name).cloned();
                match found {
                    Some(bytes) => Ok(response(StatusCode::OK, "application/octet-stream", bytes)),
                    None => not_found(),
                }
            }
        }
    }

    fn names(&self, prefix: &str, after: &str, limit: usize) -> Vec<String> {
        self.objects
            .lock()
            .range((Bound::Included(prefix.to_string()), Bound::Unbounded))
            .map(|(name, _)| name)
            .take_while(|name| name.starts_with(prefix))
            .filter(|name| name.as_str() > after)
            .take(limit.min(MAX_LIST))
            .cloned()
            .collect()
    }
}

#[async_trait]
impl Objects for ObjectStandin {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), ObjectError> {
        self.faults.before().await.map_err(unavailable)?;
        self.objects.lock().insert(name.to_string(), body);
        self.faults.after().map_err(unavailable)
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, ObjectError> {
        self.faults.before().await.map_err(unavailable)?;
        Ok(self.objects.lock().get(name).cloned())
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<String>, ObjectError> {
        self.faults.before().await.map_err(unavailable)?;
        Ok(self.names(prefix, after, limit))
    }
}

fn unavailable(abort: Abort) -> ObjectError {
    ObjectError::Unavailable(abort.to_string())
}
