//! How boxes pack what they hand each other: `bincode`, deflated.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Why bytes of another box cannot be unpacked.
#[derive(Debug, Error)]
#[error("{0}; check that both boxes run the same version")]
pub struct UnpackError(String);

/// Packs a value.
pub fn pack(value: &impl Serialize) -> Bytes {
    let plain = bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("our own types always encode");
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&plain).expect("memory takes all that is written");
    encoder.finish().expect("memory takes all that is written").into()
}

/// Unpacks a value of at most `LIMIT` bytes: no box makes another reserve more.
pub fn unpack<T: DeserializeOwned, const LIMIT: usize>(bytes: &[u8]) -> Result<T, UnpackError> {
    let broken = |error: &dyn std::error::Error| UnpackError(error.to_string());
    let mut plain = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(LIMIT as u64);
    decoder.read_to_end(&mut plain).map_err(|error| broken(&error))?;
    let config = bincode::config::standard().with_limit::<LIMIT>();
    let decoded = bincode::serde::decode_from_slice(&plain, config);
    decoded.map(|(value, _)| value).map_err(|error| broken(&error))
}
