//! The platform's box list over HTTP.

use async_trait::async_trait;
use http::{Method, StatusCode};
use trackfront_core::ports::{BoxList, BoxListError, ListedBox};

use super::ANSWER_TIMEOUT;
use crate::http_client::{HttpClient, HttpError, request, with_body};
use crate::wire::platform::BOXES_PATH;

/// A client of the platform's box list at an address.
#[derive(Clone, Debug)]
pub struct HttpBoxList {
    client: HttpClient,
    address: String,
}

impl HttpBoxList {
    /// Creates a client of the list at `address`.
    pub fn new(client: HttpClient, address: impl Into<String>) -> Self {
        Self { client, address: address.into() }
    }
}

#[async_trait]
impl BoxList for HttpBoxList {
    async fn boxes(&self) -> Result<Vec<ListedBox>, BoxListError> {
        let unavailable = |error: HttpError| BoxListError::Unavailable(error.to_string());
        let request =
            with_body(request(Method::GET, &self.address, BOXES_PATH), "").map_err(unavailable)?;
        let answer = self.client.fetch(request, ANSWER_TIMEOUT).await.map_err(unavailable)?;
        if answer.status != StatusCode::OK {
            return Err(BoxListError::Unavailable(format!("status {}", answer.status)));
        }
        serde_json::from_slice(&answer.body)
            .map_err(|error| BoxListError::BadAnswer(error.to_string()))
    }
}
