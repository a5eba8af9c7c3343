//! Levels of the log.

use serde::{Deserialize, Serialize};

/// A `Level` is the lowest level that is written to the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Errors only.
    Error,
    /// Also what somebody should look at.
    Warning,
    /// Also each decision.
    #[default]
    Info,
    /// Also what helps to debug.
    Debug,
}

impl From<Level> for slog::Level {
    fn from(level: Level) -> Self {
        match level {
            Level::Error => Self::Error,
            Level::Warning => Self::Warning,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
        }
    }
}
