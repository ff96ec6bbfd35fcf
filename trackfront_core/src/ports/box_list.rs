//! The platform's list of boxes.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::HallName;

/// What the platform says of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The platform believes that the box is up.
    Live,
    /// The platform will take the box away.
    Leaving,
}

/// What runs on a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedRole {
    /// An entry box: a daemon of ours.
    Entry,
    /// A backend server.
    Backend,
}

/// A box in the platform's list: an entry box or a backend server's box.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBox {
    /// The IP address and port by which the box is known: an entry box's peer address, a
    /// backend server's own address.
    pub address: String,
    /// What runs on it.
    pub role: ListedRole,
    /// The hall of the box.
    pub hall: HallName,
    /// What the platform says of it.
    pub state: ListedState,
}

/// Why there is no list.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BoxListError {
    /// The list did not answer.
    #[error("the platform's box list cannot be reached: {0}; the last list stays in use")]
    Unavailable(String),
    /// The answer made no sense.
    #[error("the platform's box list answered with something else: {0}; check its address")]
    BadAnswer(String),
}

/// The platform's list of live and leaving boxes. It lags: a box in it may be gone, and a box
/// that is up may be missing.
#[async_trait]
pub trait BoxList: Send + Sync {
    /// Reads the list.
    async fn boxes(&self) -> Result<Vec<ListedBox>, BoxListError>;
}
