//! Logging.

use std::sync::Mutex;

use slog::{Drain, Logger, o};

use crate::settings::Log;

/// Maximum number of lines queued for the writer thread; further lines are
/// dropped and counted.
const MAX_QUEUED_LINES: usize = 4096;

/// Creates the logger of the process. Lines are written to standard output by a
/// separate thread; dropping the guard flushes queued lines.
pub(crate) fn logger(settings: &Log, instance: &str) -> (Logger, slog_async::AsyncGuard) {
    let drain = Mutex::new(slog_json::Json::default(std::io::stdout())).fuse();
    let (drain, guard) =
        slog_async::Async::new(drain).chan_size(MAX_QUEUED_LINES).build_with_guard();
    let drain = slog::LevelFilter::new(drain, settings.level.into()).fuse();
    (Logger::root(drain, o!("instance" => instance.to_owned())), guard)
}
