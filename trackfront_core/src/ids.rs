//! Identifiers, each with its own type.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Declares a cheaply cloned name type.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &self.0)
            }
        }
    };
}

name_type! {
    /// The name of a region in the tree.
    RegionName
}
name_type! {
    /// The name of a hall (availability zone).
    HallName
}
name_type! {
    /// The version of a server's software. Versions have no order.
    SoftwareVersion
}
name_type! {
    /// The key of a server's entries, which all its incarnations share.
    ServerKey
}
name_type! {
    /// The name of a service in the tree.
    ServiceName
}
name_type! {
    /// The name of a model in the tree.
    ModelName
}
name_type! {
    /// The name of an adapter in the tree.
    AdapterName
}
name_type! {
    /// The name of a client account.
    AccountName
}
name_type! {
    /// The version label of a model's or adapter's weights.
    Version
}
name_type! {
    /// The identifier of a backend server: a model engine or one server of a plain service.
    BackendId
}
name_type! {
    /// The identity of one run of an entry box; a box that restarts gets a new one.
    NodeId
}
name_type! {
    /// The identifier of one request, unique over all boxes.
    RequestId
}
name_type! {
    /// The identifier of one transaction on the platform's table.
    TxnId
}
name_type! {
    /// The identifier of one order to an engine.
    OrderId
}

/// A service in a region, whose placement, memory and leases are independent of other shards.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId {
    /// The region of the shard.
    pub region: RegionName,
    /// The service of the shard.
    pub service: ServiceName,
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.region, self.service)
    }
}

/// A version of a model or of one of its adapters, which can be resident on an engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ItemKey {
    /// The model.
    pub model: ModelName,
    /// The adapter on top of the model; `None` for the model's own weights.
    pub adapter: Option<AdapterName>,
    /// The version of the weights.
    pub version: Version,
}

impl ItemKey {
    /// Returns whether this is a model without an adapter.
    pub fn is_model(&self) -> bool {
        self.adapter.is_none()
    }
}

impl fmt::Display for ItemKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{}@{}", self.model, adapter, self.version),
            None => write!(f, "{}@{}", self.model, self.version),
        }
    }
}

/// The number of a committed tree, which only increases.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A fencing token, the epoch of a lease. The largest one wins.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fence(pub u64);

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Returns a random identifier with `prefix`.
pub fn draw_id(prefix: &str, rng: &mut impl rand::Rng) -> String {
    format!("{prefix}-{:016x}", rng.next_u64())
}
