//! The paths, headers and field names of the systems outside.
//!
//! Each external system has its own module, and no other code contains its names.

pub mod engine;
pub mod held_off;
pub mod operator;
pub mod platform;
