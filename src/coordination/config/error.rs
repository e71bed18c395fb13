//! What is wrong with a replica's file.

use std::io;
use std::path::PathBuf;

/// A fault of a file.
#[derive(Debug, thiserror::Error)]
#[error("{}: {fault}", .file.display())]
pub struct ConfigError {
    /// The file.
    pub file: PathBuf,
    /// What is wrong with it.
    #[source]
    pub fault: ConfigFault,
}

/// What is wrong with a file's text.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFault {
    /// The file cannot be read.
    #[error("{0}")]
    Unreadable(#[source] io::Error),
    /// The text is no TOML.
    #[error("{0}")]
    Syntax(#[source] toml::de::Error),
    /// A key is unknown, missing or of another type.
    #[error("{key}: {source}")]
    Type {
        /// The key, with its path.
        key: String,
        /// What was expected, and what came.
        source: toml::de::Error,
    },
    /// A value is not what is expected.
    #[error("{key}: {}{expected}", .found.as_ref().map(|f| format!("{f}: ")).unwrap_or_default())]
    Invalid {
        /// The key, with its path.
        key: String,
        /// The value; nothing where none was given, or it does not help.
        found: Option<String>,
        /// What is expected.
        expected: String,
    },
}
