//! Faults of a replica's configuration file.

use std::io;
use std::path::PathBuf;

/// A fault of a file, with the file's path.
#[derive(Debug, thiserror::Error)]
#[error("{}: {fault}", .file.display())]
pub struct ConfigError {
    /// The file.
    pub file: PathBuf,
    /// Description of the fault.
    #[source]
    pub fault: ConfigFault,
}

/// A fault in the text of a file.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFault {
    /// The file cannot be read.
    #[error("{0}")]
    Unreadable(#[source] io::Error),
    /// The text is no valid TOML.
    #[error("{0}")]
    Syntax(#[source] toml::de::Error),
    /// A key is unknown, missing or of another type.
    #[error("{key}: {source}")]
    Type {
        /// The key, with its path.
        key: String,
        /// Error of the deserializer.
        source: toml::de::Error,
    },
    /// The value of a key is not allowed.
    #[error("{key}: {}{expected}", .found.as_ref().map(|f| format!("{f}: ")).unwrap_or_default())]
    Invalid {
        /// The key, with its path.
        key: String,
        /// The value; `None` where none was given or it would not help.
        found: Option<String>,
        /// Description of the expected value.
        expected: String,
    },
}
