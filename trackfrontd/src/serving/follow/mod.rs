//! Keeps the configuration and the servers up to date from the platform.
//!
//! One box of each hall follows the platform's feeds and relays what comes ([`super::feed_relay`]); the
//! others fetch from boxes of their hall what they lack ([`super::exchange`]) and call the platform
//! where none of them has it. When a feed's history is gone, or the platform was away, everything is
//! read again. An answer that is older than what is known changes nothing.

mod config;
mod feed_client;
mod servers;

pub use config::{apply_hall_statuses, follow_config};
pub use servers::{Source, drop_expired_rows, follow_servers, handle_events};
