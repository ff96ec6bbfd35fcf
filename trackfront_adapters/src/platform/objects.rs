//! The platform's object store over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, StatusCode};
use trackfront_core::ports::{ObjectError, Objects};

use super::ANSWER_TIMEOUT;
use crate::http_client::{
    Answer, AnswerTimeouts, HttpClient, HttpError, request, transfer_time, with_body,
};
use crate::wire::platform::{OBJECT_LIST_PATH, OBJECTS_PATH};

/// The timeout for reading an object: the largest snapshot of a tree, 8 MB, on a link of 10 Mbit/s.
const READ_TIMEOUT: Duration = Duration::from_secs(8);

/// A client of the platform's object store at an address.
#[derive(Clone, Debug)]
pub struct HttpObjects {
    client: HttpClient,
    address: String,
}

impl HttpObjects {
    /// Uses the store at `address`.
    pub fn new(client: HttpClient, address: impl Into<String>) -> Self {
        Self { client, address: address.into() }
    }

    async fn ask(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, ObjectError> {
        let unavailable = |error: HttpError| ObjectError::Unavailable(error.to_string());
        let head = ANSWER_TIMEOUT + transfer_time(body.len());
        let patience = AnswerTimeouts { head, whole: head + READ_TIMEOUT };
        let request = with_body(request(method, &self.address, path), body).map_err(unavailable)?;
        let answer = self.client.fetch_large(request, patience).await.map_err(unavailable)?;
        match answer.status {
            StatusCode::OK | StatusCode::NOT_FOUND => Ok(answer),
            status => Err(ObjectError::Unavailable(format!("status {status}"))),
        }
    }
}

#[async_trait]
impl Objects for HttpObjects {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), ObjectError> {
        let answer = self.ask(Method::PUT, &format!("{OBJECTS_PATH}{name}"), body).await?;
        match answer.status {
            StatusCode::OK => Ok(()),
            status => Err(ObjectError::BadAnswer(format!("status {status} to a write"))),
        }
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, ObjectError> {
        let answer = self.ask(Method::GET, &format!("{OBJECTS_PATH}{name}"), Bytes::new()).await?;
        Ok((answer.status == StatusCode::OK).then_some(answer.body))
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<String>, ObjectError> {
        let path = format!("{OBJECT_LIST_PATH}?prefix={prefix}&after={after}&limit={limit}");
        let answer = self.ask(Method::GET, &path, Bytes::new()).await?;
        serde_json::from_slice(&answer.body)
            .map_err(|error| ObjectError::BadAnswer(error.to_string()))
    }
}
