//! A serving node: the request pipeline and placement behind a deployment's own interfaces.
//!
//! [`node`] holds what the box knows; [`follow`] keeps it up to date from the platform,
//! [`gossip`], [`feed_relay`] and [`exchange`] from other boxes, which [`boxes`] lists; [`delegates`] says who
//! speaks for a hall and [`peer_tracker`] who is alive; [`cold`] keeps what is sent to cold servers bounded, [`notices`] hears
//! what servers say of themselves and [`permits`] keeps the limits that they name; [`config_freshness`] tells
//! how new the configuration is; [`quota`] keeps the limits of client accounts with other boxes, and
//! [`crashes`] holds off requests that crash servers; [`pipeline`] and [`response_relay`] answer requests,
//! [`listeners`] takes them; [`lease`], [`placement`] and [`order_task`] give orders to engines;
//! [`run`] wires it all.
//! This folder depends on the decisions in `trackfront_core::serving` and on the traits in
//! `trackfront_adapters::interface`; it knows no names or formats of any deployment.

pub mod boxes;
mod cold;
pub mod config_freshness;
pub mod crashes;
pub mod delegates;
pub mod exchange;
pub mod feed_relay;
pub mod follow;
pub mod gossip;
pub mod lease;
pub mod listeners;
pub mod log_queue;
pub mod messages;
pub mod missing_items;
pub mod node;
pub mod notices;
mod order_holder;
pub mod order_task;
pub mod order_tracker;
pub mod overlay;
pub mod packing;
pub mod peer_socket;
pub mod peer_tracker;
pub mod permits;
pub mod pipeline;
pub mod placement;
pub mod quota;
pub mod response_relay;
pub mod run;
pub mod settings;
pub mod suspension;
pub mod unusable_rows;
