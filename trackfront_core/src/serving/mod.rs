//! The decisions behind the request pipeline: routes, servers, load, choice, retries, placement.
//!
//! Every module is free of I/O and of clocks; moments come in as arguments. The runtime around
//! them stands in `trackfrontd::serving`. This folder depends on [`crate::accounts`], [`crate::ids`],
//! [`crate::units`], [`crate::lease`] and, for the order of keepers, [`crate::quota`] only.

pub mod adapter_use;
pub mod affinity;
pub mod choice;
pub mod cold;
pub mod config;
pub mod crashes;
pub mod decode_speed;
pub mod demand;
pub mod directory;
pub mod fingerprint;
pub mod forecast;
pub mod halls;
pub mod in_flight;
pub mod key_freshness;
pub mod load;
pub mod notices;
pub mod orders;
pub mod permits;
pub mod planner;
pub mod refusal_retries;
pub mod request;
pub mod retry_budget;
pub mod sampling;
pub mod saturation;
