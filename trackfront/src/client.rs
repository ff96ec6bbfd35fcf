//! Talks to the operator listeners of boxes.

use std::path::Path;
use std::time::Duration;

use anyhow::Context;
use getrandom::u64 as random_u64;
use http::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use trackfront_adapters::http_client::{Answer, HttpClient, HttpError, request, with_body};
use trackfront_adapters::key::DeploymentKey;
use trackfront_adapters::wire::operator::{
    APPLY_PATH, AUDIT_PATH, ApplyAnswer, ApplyRequest, OperatorError, STATUS_PATH, Status,
    TREE_PATH,
};
use trackfront_core::audit::AuditRecord;
use trackfront_core::ids::TxnId;
use trackfront_core::tree::Snapshot;

/// How long a box may take to answer.
const ANSWER_TIME: Duration = Duration::from_secs(15);

/// How often an apply whose fate is unknown is asked for again.
const APPLY_ATTEMPTS: u32 = 4;

/// How long to wait between two of those.
const APPLY_PAUSE: Duration = Duration::from_millis(500);

/// Why no box answered as asked.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ClientError {
    /// No box was named.
    #[error("no box is named; give an operator address with --box")]
    NoBox,
    /// No box answered.
    #[error("no box answers: {0}; check --box and that the boxes run")]
    NoAnswer(String),
    /// A box refused.
    #[error("{address} refuses with status {status}: {detail}")]
    Refused {
        /// The box.
        address: String,
        /// The HTTP status.
        status: u16,
        /// Its reason.
        detail: String,
    },
    /// A box answered with something else.
    #[error(
        "{address} answers with something else: {detail}; check that it is an operator address"
    )]
    BadAnswer {
        /// The box.
        address: String,
        /// What is wrong.
        detail: String,
    },
}

/// A client of one deployment.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    client: HttpClient,
    boxes: Vec<String>,
    key: DeploymentKey,
}

impl OperatorClient {
    /// Makes a client of the boxes at these operator addresses.
    pub fn new(boxes: Vec<String>, key: DeploymentKey) -> Self {
        Self { client: HttpClient::default(), boxes, key }
    }

    /// Makes a client with the key in `key_file`.
    pub fn with_key_file(boxes: Vec<String>, key_file: &Path) -> anyhow::Result<Self> {
        let key = DeploymentKey::read(key_file)
            .with_context(|| format!("cannot use the key in {}", key_file.display()))?;
        Ok(Self::new(boxes, key))
    }

    /// Reads the status of the first box that answers.
    pub async fn status(&self) -> Result<Status, ClientError> {
        self.get(STATUS_PATH).await?.ok_or_else(|| self.nothing(STATUS_PATH))
    }

    /// Reads the tree in force on the first box that answers; `None` before the first.
    pub async fn tree(&self) -> Result<Option<Snapshot>, ClientError> {
        self.get(TREE_PATH).await
    }

    /// Reads the audit trail since a time.
    pub async fn audit(&self, since_ms: u64) -> Result<Vec<AuditRecord>, ClientError> {
        let path = format!("{AUDIT_PATH}?since_ms={since_ms}");
        self.get(&path).await?.ok_or_else(|| self.nothing(&path))
    }

    /// Applies a tree. Where the answer is lost, the same transaction is asked for again, which
    /// applies it once and tells what became of it.
    pub async fn apply(&self, wanted: &ApplyRequest) -> Result<ApplyAnswer, ClientError> {
        let body = serde_json::to_vec(wanted).expect("our own types always encode");
        let mut last = Err(ClientError::NoBox);
        for attempt in 0..APPLY_ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(APPLY_PAUSE).await;
            }
            last = self.apply_once(&body, attempt as usize).await;
            match &last {
                Ok(ApplyAnswer::Unknown { .. }) | Err(ClientError::NoAnswer(_)) => {}
                _ => break,
            }
        }
        last
    }

    /// Asks one box, another one at each attempt.
    async fn apply_once(&self, body: &[u8], attempt: usize) -> Result<ApplyAnswer, ClientError> {
        let mut boxes = self.boxes.clone();
        let count = boxes.len().max(1);
        boxes.rotate_left(attempt % count);
        let mut last = ClientError::NoBox;
        for address in &boxes {
            match self.ask(address, Method::POST, APPLY_PATH, body).await {
                Ok(answer) => return self.decode(address, &answer),
                Err(error @ HttpError::NotSent(_)) => {
                    last = ClientError::NoAnswer(error.to_string());
                }
                Err(HttpError::Lost(detail)) => return Ok(ApplyAnswer::Unknown { detail }),
            }
        }
        Err(last)
    }

    /// Draws the identifier of a new transaction.
    pub fn draw_txn(&self) -> anyhow::Result<TxnId> {
        let number = random_u64().context("the system gives no random numbers")?;
        Ok(TxnId::from(format!("apply-{number:016x}")))
    }

    /// Reads from the first box that answers; `None` if it has nothing there.
    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>, ClientError> {
        let mut last = ClientError::NoBox;
        for address in &self.boxes {
            match self.ask(address, Method::GET, path, &[]).await {
                Ok(answer) if answer.status == StatusCode::NOT_FOUND => return Ok(None),
                Ok(answer) => return self.decode(address, &answer).map(Some),
                Err(error) => last = ClientError::NoAnswer(format!("{address}: {error}")),
            }
        }
        Err(last)
    }

    async fn ask(
        &self,
        address: &str,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Result<Answer, HttpError> {
        let builder = request(method, address, path)
            .header(http::header::AUTHORIZATION, self.key.authorization());
        let request = with_body(builder, body.to_vec())?;
        self.client.fetch(request, ANSWER_TIME).await
    }

    fn decode<T: DeserializeOwned>(
        &self,
        address: &str,
        answer: &Answer,
    ) -> Result<T, ClientError> {
        if answer.status != StatusCode::OK {
            let detail = serde_json::from_slice::<OperatorError>(&answer.body)
                .map_or_else(|_| "no reason given".to_string(), |error| error.error);
            let status = answer.status.as_u16();
            return Err(ClientError::Refused { address: address.to_string(), status, detail });
        }
        serde_json::from_slice(&answer.body).map_err(|error| ClientError::BadAnswer {
            address: address.to_string(),
            detail: error.to_string(),
        })
    }

    fn nothing(&self, path: &str) -> ClientError {
        ClientError::BadAnswer {
            address: self.boxes.join(", "),
            detail: format!("nothing is at {path}"),
        }
    }
}

/// Prints a value as one line of JSON.
pub fn print_json(value: &impl Serialize) {
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}
