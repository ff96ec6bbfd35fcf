//! The platform's object store.

use async_trait::async_trait;
use bytes::Bytes;
use thiserror::Error;

/// Why the object store gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ObjectError {
    /// The store did not answer; a write may have taken effect.
    #[error("the platform's object store cannot be reached: {0}; try again when it can")]
    Unavailable(String),
    /// The answer made no sense.
    #[error("the platform's object store answered with something else: {0}; check its address")]
    BadAnswer(String),
}

/// The platform's object store. Objects are written once under names that are never reused,
/// so a repeated write is harmless.
#[async_trait]
pub trait Objects: Send + Sync {
    /// Writes an object; after an error it may or may not be there.
    async fn put(&self, name: &str, body: Bytes) -> Result<(), ObjectError>;

    /// Reads an object; `None` if there is none.
    async fn get(&self, name: &str) -> Result<Option<Bytes>, ObjectError>;

    /// Lists the names that start with `prefix` and sort after `after`, in order, at most
    /// `limit` of them.
    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<String>, ObjectError>;
}
