//! The decisions behind the request pipeline: routing, server selection, retries and placement.
//!
//! The modules do no I/O and read no clock; moments are passed as arguments. The runtime around
//! them is `trackfrontd::serving`. They depend only on [`crate::accounts`], [`crate::ids`],
//! [`crate::units`], [`crate::lease`] and, for the order of coordinators, [`crate::quota`].

pub mod adapter_use;
pub mod adapter_wait;
pub mod admission;
pub mod affinity;
pub mod choice;
pub mod cold;
pub mod config;
pub mod coordinated_choice;
pub mod coordinated_load;
mod counted_engine;
pub mod crashes;
pub mod decode_speed;
pub mod demand;
pub mod directory;
mod engine_speed;
pub mod events;
pub mod fair_share;
pub mod fingerprint;
pub mod forecast;
pub mod halls;
pub mod in_flight;
pub mod key_freshness;
pub mod load;
pub mod memory_budget;
pub mod notices;
pub mod orders;
pub mod overload;
pub mod permits;
pub mod planner;
pub mod reach;
pub mod refusal_retries;
pub mod relays;
pub mod request;
pub mod retry_budget;
pub mod room;
pub mod sampling;
pub mod saturation;
mod server_load;
pub mod stream_origins;
pub mod urgency;
