//! The platform's list of boxes.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::HallName;

/// The state of a box in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The platform considers the box to be up.
    Live,
    /// The platform is going to remove the box.
    Leaving,
}

/// The kind of program that runs on a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedRole {
    /// An entry box, which runs this project's daemon.
    Entry,
    /// A backend server.
    Backend,
}

/// A box in the platform's list: an entry box or a backend server's box.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBox {
    /// The IP address and port: the peer address of an entry box, the service address of a
    /// backend server.
    pub address: String,
    /// The kind of program that runs on the box.
    pub role: ListedRole,
    /// The hall of the box.
    pub hall: HallName,
    /// The box's state as listed.
    pub state: ListedState,
}

/// An error of reading the platform's box list.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BoxListError {
    /// The list did not answer.
    #[error("the platform's box list cannot be reached: {0}; the last list stays in use")]
    Unavailable(String),
    /// The answer could not be parsed.
    #[error("the platform's box list answered with something else: {0}; check its address")]
    BadAnswer(String),
}

/// The platform's list of live and leaving boxes. The list lags: a listed box may have
/// stopped, and a box that is up may be missing.
#[async_trait]
pub trait BoxList: Send + Sync {
    /// Reads the list.
    async fn boxes(&self) -> Result<Vec<ListedBox>, BoxListError>;
}
