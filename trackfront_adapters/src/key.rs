//! The deployment's key, which authenticates peers and operators.

use std::fmt;
use std::io;
use std::path::Path;

use http::HeaderMap;
use http::header::AUTHORIZATION;
use subtle::ConstantTimeEq;

/// The minimum length of a key in characters.
const MIN_KEY_CHARS: usize = 16;

/// The secret that the boxes and the operators of a deployment share. It is never printed.
#[derive(Clone)]
pub struct DeploymentKey(String);

impl fmt::Debug for DeploymentKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DeploymentKey(hidden)")
    }
}

impl DeploymentKey {
    /// Creates a key from its text.
    ///
    /// # Errors
    ///
    /// If it is too short.
    pub fn new(text: &str) -> Result<Self, String> {
        let text = text.trim();
        if text.len() < MIN_KEY_CHARS {
            return Err(format!(
                "a key needs {MIN_KEY_CHARS} characters or more; draw a longer one"
            ));
        }
        Ok(Self(text.to_string()))
    }

    /// Reads the key from a file.
    pub fn read(path: &Path) -> io::Result<Self> {
        let text = std::fs::read_to_string(path)?;
        Self::new(&text).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }

    /// Returns the value of the `authorization` header with this key.
    pub fn authorization(&self) -> String {
        format!("Bearer {}", self.0)
    }

    /// Returns whether the headers contain this key, in constant time.
    pub fn authenticates(&self, headers: &HeaderMap) -> bool {
        bearer(headers).is_some_and(|shown| shown.as_bytes().ct_eq(self.0.as_bytes()).into())
    }
}

/// Returns the token of an `authorization: Bearer` header.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get(AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ").map(str::trim)
}

#[cfg(test)]
mod tests;
