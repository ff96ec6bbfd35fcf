//! The ports of trackfront on real libraries.
//!
//! Everything that knows an outside system's paths, field names or headers stands in
//! [`wire`]; the modules beside it turn those into the traits of [`trackfront_core::ports`].

#![warn(clippy::all)]

pub mod audit;
pub mod back_off;
pub mod body_end;
pub mod clock;
pub mod connect;
pub mod engine;
pub mod head_limit;
pub mod http_client;
pub mod http_server;
pub mod interface;
pub mod keep_alive;
pub mod key;
pub mod metrics;
mod open_connections;
pub mod peers;
pub mod plain;
pub mod platform;
pub mod resettable;
pub mod serving_metrics;
pub mod tunnel;
pub mod upstream;
pub mod wire;
