//! The settings of one box: its addresses, its location, the platform and the file with the key.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use thiserror::Error;
use trackfront_adapters::key::DeploymentKey;
use trackfront_core::ids::{HallName, RegionName};

/// The default number of worker threads.
const DEFAULT_WORKERS: usize = 4;

/// Why settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: cannot be read: {source}; name an existing file with --settings")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file is invalid.
    #[error("{path}: {message}; correct the key, docs/operations/settings.md lists them")]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The parser's message, with line and key.
        message: String,
    },
    /// The file with the key cannot be used.
    #[error("{path}: the deployment's key cannot be used: {source}; write a key into the file")]
    Key {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
}

/// The contents of the settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SettingsFile {
    place: Place,
    listen: Listen,
    platform: PlatformSettings,
    key: KeySettings,
    #[serde(default)]
    log: LogSettings,
    workers: Option<usize>,
}

/// The location of the box.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// The name of the box. Its identity has a random part, so it differs at each start.
    pub name: String,
    /// The region.
    pub region: RegionName,
    /// The hall.
    pub hall: HallName,
}

/// The addresses that the box listens on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for the command-line tool and metrics.
    pub operators: SocketAddr,
    /// The address for other boxes, as in the platform's list.
    pub peers: SocketAddr,
}

/// The addresses of the platform.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The table.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The box list.
    pub boxes: SocketAddr,
}

/// The location of the deployment's key.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeySettings {
    file: PathBuf,
}

/// The settings of the log.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The lowest level that is logged.
    pub level: log::LevelFilter,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: log::LevelFilter::Info }
    }
}

/// The validated settings of one box.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The location of the box.
    pub place: Place,
    /// The addresses that the box listens on.
    pub listen: Listen,
    /// The addresses of the platform.
    pub platform: PlatformSettings,
    /// The deployment's key.
    pub key: DeploymentKey,
    /// The settings of the log.
    pub log: LogSettings,
    /// The number of worker threads.
    pub workers: usize,
}

impl Settings {
    /// Reads and validates the settings in `path`. A relative path of the key file is relative to its
    /// directory.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: path.into(), source })?;
        let file: SettingsFile = toml::from_str(&text).map_err(|error| SettingsError::Invalid {
            path: path.into(),
            message: error.to_string(),
        })?;
        let key_path = path.parent().unwrap_or(Path::new(".")).join(&file.key.file);
        let key = DeploymentKey::read(&key_path)
            .map_err(|source| SettingsError::Key { path: key_path, source })?;
        let workers = file.workers.unwrap_or(DEFAULT_WORKERS);
        if workers == 0 {
            let message = "`workers` is 0 and at least 1 is needed".to_string();
            return Err(SettingsError::Invalid { path: path.into(), message });
        }
        Ok(Settings {
            place: file.place,
            listen: file.listen,
            platform: file.platform,
            key,
            log: file.log,
            workers,
        })
    }
}
