//! The deployment's key, which peers and operators have to show.

use std::fmt;
use std::io;
use std::path::Path;

use http::HeaderMap;
use http::header::AUTHORIZATION;
use subtle::ConstantTimeEq;

/// The shortest key that is taken, in characters.
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
    /// Takes a key; one that is too short is refused.
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

    /// Returns the value of the `authorization` header that shows this key.
    pub fn authorization(&self) -> String {
        format!("Bearer {}", self.0)
    }

    /// Returns whether the headers show this key. The time taken does not depend on the key.
    pub fn is_shown_by(&self, headers: &HeaderMap) -> bool {
        bearer(headers).is_some_and(|shown| shown.as_bytes().ct_eq(self.0.as_bytes()).into())
    }
}

/// Returns the token of an `authorization: Bearer` header.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get(AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ").map(str::trim)
}

#[cfg(test)]
mod tests;
