//! The decisions of trackfront, free of I/O.
//!
//! Nothing here reads a clock, opens a socket or generates random numbers. Time and randomness are
//! passed as arguments, and everything outside is accessed through the traits of [`ports`].

#![warn(clippy::all)]

pub mod accounts;
pub mod answer;
pub mod audit;
pub mod claims;
pub mod demand;
pub mod engine_load;
pub mod estimate;
pub mod fleet;
pub mod ids;
pub mod lease;
pub mod ledger;
pub mod members;
pub mod order;
pub mod outcome;
pub mod owner;
pub mod placement;
pub mod ports;
pub mod prefix;
pub mod quota;
pub mod retry;
pub mod routing;
pub mod serving;
pub mod store_version;
pub mod tree;
pub mod units;
