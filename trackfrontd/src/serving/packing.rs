//! The encoding of snapshots and large messages between boxes: `bincode`, compressed with deflate.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Bytes from another box that cannot be decoded.
#[derive(Debug, Error)]
#[error("{0}; check that both boxes run the same version")]
pub struct UnpackError(String);

/// Encodes and compresses a value.
pub fn pack(value: &impl Serialize) -> Bytes {
    let encoded = bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("our own types always encode");
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&encoded).expect("writing to memory never fails");
    encoder.finish().expect("writing to memory never fails").into()
}

/// Decompresses and decodes a value. `LIMIT` bounds the bytes that another box can make this one
/// allocate.
pub fn unpack<T: DeserializeOwned, const LIMIT: usize>(bytes: &[u8]) -> Result<T, UnpackError> {
    let invalid = |error: &dyn std::error::Error| UnpackError(error.to_string());
    let mut encoded = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(LIMIT as u64);
    decoder.read_to_end(&mut encoded).map_err(|error| invalid(&error))?;
    let config = bincode::config::standard().with_limit::<LIMIT>();
    let decoded = bincode::serde::decode_from_slice(&encoded, config);
    decoded.map(|(value, _)| value).map_err(|error| invalid(&error))
}
