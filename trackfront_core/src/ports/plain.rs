//! A server of a plain service.

use async_trait::async_trait;
use bytes::Bytes;
use http_parts::{Header, Method};
use thiserror::Error;

use crate::ids::RequestId;
use crate::outcome::Outcome;

/// The few parts of HTTP that a plain call carries, without an HTTP library.
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

/// A call to a plain service, passed on as it came.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// The request's identifier.
    pub id: RequestId,
    /// The method.
    pub method: Method,
    /// The path and query below the service.
    pub path_and_query: String,
    /// The caller's headers, less those of the connection and the caller's key.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Bytes,
}

/// A plain service's whole answer.
#[derive(Clone, Debug)]
pub struct PlainReply {
    /// The request that the server says this answers, where it says so.
    pub request: Option<RequestId>,
    /// The status.
    pub status: u16,
    /// The headers, less those of the connection.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Bytes,
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlainError {
    /// Nothing was sent.
    #[error("the server cannot be reached: {0}; another server may be tried")]
    Unreachable(String),
    /// The call was sent and no whole answer came.
    #[error("the server broke off: {0}; the call may have run")]
    Broke(String),
}

impl PlainError {
    /// Returns what is known about the run.
    pub fn outcome(&self) -> Outcome {
        match self {
            PlainError::Unreachable(_) => Outcome::NotRun,
            PlainError::Broke(_) => Outcome::Unknown,
        }
    }
}

/// One server of a plain service.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// Makes the call once; the adapter never repeats it by itself.
    async fn call(&self, call: PlainCall) -> Result<PlainReply, PlainError>;
}
