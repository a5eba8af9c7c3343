//! Log levels.

use serde::{Deserialize, Serialize};

/// Lowest severity that is written to the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Errors only.
    Error,
    /// Errors and conditions that an operator should look at.
    Warning,
    /// Warnings and each decision.
    #[default]
    Info,
    /// Everything, including details for debugging.
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
