//! The platform's table over HTTP.

use async_trait::async_trait;
use http::{Method, StatusCode};
use serde::Serialize;
use trackfront_core::ports::{CommitOutcome, Row, RowKey, Table, TableError, Transaction};

use super::ANSWER_TIMEOUT;
use crate::http_client::{Answer, HttpClient, HttpError, request, with_body};
use crate::wire::platform::{COMMIT_PATH, CommitAnswer, CommitBody, ROWS_PATH, ReadBody, RowBody};

/// The platform's table at an address.
#[derive(Clone, Debug)]
pub struct HttpTable {
    client: HttpClient,
    address: String,
}

impl HttpTable {
    /// Creates a client of the table at `address`.
    pub fn new(client: HttpClient, address: impl Into<String>) -> Self {
        Self { client, address: address.into() }
    }

    async fn post(&self, path: &str, body: &impl Serialize) -> Result<Answer, HttpError> {
        let bytes = serde_json::to_vec(body).expect("our own types always encode");
        let request = with_body(request(Method::POST, &self.address, path), bytes)?;
        self.client.fetch(request, ANSWER_TIMEOUT).await
    }

    async fn rows(&self, body: &ReadBody) -> Result<Vec<Row>, TableError> {
        let answer = self
            .post(ROWS_PATH, body)
            .await
            .map_err(|error| TableError::Unavailable(error.to_string()))?;
        match answer.status {
            StatusCode::OK => {}
            StatusCode::TOO_MANY_REQUESTS => return Err(TableError::RateLimited),
            status => return Err(TableError::Unavailable(format!("status {status}"))),
        }
        let rows: Vec<RowBody> = serde_json::from_slice(&answer.body)
            .map_err(|error| TableError::BadAnswer(error.to_string()))?;
        Ok(rows.into_iter().map(Row::from).collect())
    }
}

#[async_trait]
impl Table for HttpTable {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>, TableError> {
        Ok(self.rows(&ReadBody::Key(key.clone())).await?.into_iter().next())
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, TableError> {
        self.rows(&ReadBody::Prefix(prefix.to_string())).await
    }

    async fn commit(&self, txn: &Transaction) -> CommitOutcome {
        let body = CommitBody::from(txn);
        let answer = match self.post(COMMIT_PATH, &body).await {
            Ok(answer) => answer,
            Err(HttpError::NotSent(detail)) => {
                return CommitOutcome::NotApplied(TableError::Unavailable(detail));
            }
            Err(HttpError::Lost(detail)) => {
                return CommitOutcome::Unknown(TableError::Unavailable(detail));
            }
        };
        if answer.status == StatusCode::TOO_MANY_REQUESTS {
            return CommitOutcome::NotApplied(TableError::RateLimited);
        }
        match serde_json::from_slice::<CommitAnswer>(&answer.body) {
            Ok(answer) => answer.into(),
            Err(error) => CommitOutcome::Unknown(TableError::BadAnswer(error.to_string())),
        }
    }
}
