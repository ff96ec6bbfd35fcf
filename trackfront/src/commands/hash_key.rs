//! `trackfront hash-key`

use std::io::Read;

use anyhow::{Context, bail};
use trackfront_core::accounts::KeyHash;

use crate::exit::Exit;

/// Prints the hash of the key on standard input.
pub fn run() -> anyhow::Result<Exit> {
    let mut key = String::new();
    std::io::stdin().read_to_string(&mut key).context("cannot read the key")?;
    let key = key.trim();
    if key.is_empty() {
        bail!("there is no key on standard input; pipe one in");
    }
    println!("{}", KeyHash::of(key.as_bytes()).to_hex());
    Ok(Exit::Done)
}
