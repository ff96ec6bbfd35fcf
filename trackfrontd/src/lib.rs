//! The entry box of trackfront, which runs between callers and backend servers.
//!
//! [`daemon`] starts all parts: [`follower`] keeps the accepted tree in force, [`peering`] exchanges
//! heartbeats with other boxes, [`shards`] places models and grants claims for the shards that this box
//! owns, [`reader`] reads the load of engines, [`gateway`] answers callers, and [`operators`] answers the
//! command-line tool.

#![warn(clippy::all)]

pub mod cache_events;
pub mod cli;
pub mod daemon;
pub mod follower;
pub mod gateway;
pub mod in_force;
pub mod limits;
pub mod logging;
pub mod node;
pub mod operators;
pub mod outputs;
pub mod outside;
pub mod peering;
pub mod quotas;
pub mod reader;
pub mod serving;
pub mod settings;
pub mod shards;
pub mod shared;
