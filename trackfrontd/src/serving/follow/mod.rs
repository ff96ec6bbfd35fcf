//! Keeps the configuration and the server list up to date.
//!
//! One box of each hall follows the platform's feeds and relays the changes
//! ([`super::feed_relay`]). The others fetch snapshots of what they are missing from boxes of their
//! hall ([`super::exchange`]), and call the platform only if none of them has it. When the history
//! of a feed is gone, or after the platform was unavailable, everything is read again. An answer
//! that is older than the known state changes nothing.

mod config;
mod feed_client;
mod neighbours;
mod servers;

pub use config::{apply_hall_statuses, follow_config};
pub use servers::{Source, drop_expired_rows, follow_servers, handle_events};
