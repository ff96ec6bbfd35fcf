//! The interface to a server of a plain service.

use async_trait::async_trait;
use bytes::Bytes;
use http_parts::{Header, Method};
use thiserror::Error;

use crate::ids::RequestId;
use crate::outcome::Outcome;

/// The parts of HTTP that a plain call needs, independent of an HTTP library.
pub mod http_parts {
    /// A request method in capitals, such as `POST`.
    pub type Method = String;

    /// One header, name in lower case.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub struct Header {
        /// The name.
        pub name: String,
        /// The value's bytes.
        pub value: Vec<u8>,
    }
}

/// A call to a plain service, forwarded unchanged.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// The request's identifier.
    pub id: RequestId,
    /// The method.
    pub method: Method,
    /// The path, relative to the service, and the query.
    pub path_and_query: String,
    /// The caller's headers, without the hop-by-hop headers and the caller's key.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Bytes,
}

/// A plain service's answer.
#[derive(Clone, Debug)]
pub struct PlainReply {
    /// The request that this answers, if the server states it.
    pub request: Option<RequestId>,
    /// The status.
    pub status: u16,
    /// The headers, without the hop-by-hop headers.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Bytes,
    /// Whether the server stated where the body ends, so that it is known to be complete.
    pub is_end_stated: bool,
}

/// An error of a call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlainError {
    /// The server could not be reached; nothing was sent.
    #[error("the server cannot be reached: {0}; another server may be tried")]
    Unreachable(String),
    /// The call was sent, but no complete answer arrived.
    #[error("the server broke off: {0}; the call may have run")]
    Broke(String),
}

impl PlainError {
    /// Returns whether the call may have run.
    pub fn outcome(&self) -> Outcome {
        match self {
            PlainError::Unreachable(_) => Outcome::NotRun,
            PlainError::Broke(_) => Outcome::Unknown,
        }
    }
}

/// A server of a plain service.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// Makes the call once; the adapter never retries it.
    async fn call(&self, call: PlainCall) -> Result<PlainReply, PlainError>;
}
