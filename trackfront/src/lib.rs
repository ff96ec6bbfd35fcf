//! The commands of the operators' tool, for the tool itself and for programs that apply trees.

#![warn(clippy::all)]

pub mod base;
pub mod cli;
pub mod client;
pub mod commands;
pub mod exit;
pub mod logs;
pub mod losses;
pub mod story;
