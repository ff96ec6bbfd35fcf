//! A serving node: the request pipeline and placement behind a deployment's own interfaces.
//!
//! - [`node`] holds the shared state. [`follow`] updates it from the platform's feeds; [`gossip`],
//!   [`feed_relay`] and [`exchange`] update it from other boxes.
//! - [`boxes`] lists the boxes, [`delegates`] selects the delegates of each hall, and
//!   [`peer_tracker`] tracks which are alive.
//! - [`listeners`] accepts connections; [`pipeline`] and [`response_relay`] answer requests.
//! - [`cold`] bounds the load on cold servers, [`notices`] collects the notices of servers, and
//!   [`permits`] enforces the limits that servers name. [`engine_loads`] shares the load of engines.
//! - [`config_freshness`] tracks whether the configuration is the newest, [`quota`] enforces the
//!   limits of client accounts together with other boxes, and [`crashes`] quarantines requests that
//!   crash servers.
//! - [`lease`], [`placement`] and [`order_task`] send orders to engines.
//! - [`run`] starts and stops all of it.
//!
//! This module builds on the decisions in `trackfront_core::serving` and the traits in
//! `trackfront_adapters::interface`; it contains no names or formats of a particular deployment.

pub mod boxes;
mod cold;
pub mod config_freshness;
pub mod config_rows;
pub mod crashes;
pub mod delegates;
pub mod engine_loads;
pub mod exchange;
pub mod exit;
pub mod feed_relay;
pub mod follow;
pub mod gossip;
pub mod lease;
pub mod listeners;
pub mod log_queue;
mod long_relay;
pub mod messages;
pub mod missing_items;
pub mod node;
pub mod notices;
mod order_holder;
pub mod order_task;
pub mod order_tracker;
pub mod overlay;
pub mod overload;
pub mod packing;
mod peer;
pub mod peer_socket;
pub mod peer_tracker;
pub mod permits;
pub mod pipeline;
pub mod placement;
pub mod quota;
pub mod reach;
pub mod response_relay;
pub mod restoration;
pub mod room;
pub mod run;
pub mod settings;
pub mod short_names;
pub mod stream_origins;
pub mod suspension;
pub mod unusable_rows;
