//! The platform's object store.

use async_trait::async_trait;
use bytes::Bytes;
use thiserror::Error;

/// An error of the object store.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ObjectError {
    /// The store did not answer; a write may have taken effect.
    #[error("the platform's object store cannot be reached: {0}; try again when it can")]
    Unavailable(String),
    /// The answer could not be parsed.
    #[error("the platform's object store answered with something else: {0}; check its address")]
    BadAnswer(String),
}

/// The platform's object store. Objects are written once under names that are never reused,
/// so a repeated write is harmless.
#[async_trait]
pub trait Objects: Send + Sync {
    /// Writes an object; after an error the object may or may not exist.
    async fn put(&self, name: &str, body: Bytes) -> Result<(), ObjectError>;

    /// Reads an object; `None` if it does not exist.
    async fn get(&self, name: &str) -> Result<Option<Bytes>, ObjectError>;

    /// Lists, in order, at most `limit` names that start with `prefix` and sort after `after`.
    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<String>, ObjectError>;
}
