//! The paths, headers and field names of the systems outside.
//!
//! The users' own systems are met here and nowhere else: another system is another module.

pub mod engine;
pub mod held_off;
pub mod operator;
pub mod platform;
