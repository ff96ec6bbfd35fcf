//! Small stand-ins for the systems around trackfront, each able to misbehave on command.
//!
//! They speak the published interfaces of [`trackfront_adapters::wire`] over loopback. Each
//! takes its faults as JSON on `PUT /standin/faults` or through its handle.

#![warn(clippy::all)]

pub mod box_list;
pub mod boxes;
pub mod control;
pub mod deployment;
pub mod engine;
pub mod memory;
pub mod objects;
pub mod plain;
pub mod server;
pub mod small;
pub mod table;
