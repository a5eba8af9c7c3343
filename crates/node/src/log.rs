//! Log output.

use std::sync::Mutex;

use slog::{Drain, Logger, o};

use crate::settings::Log;

/// Lines that may wait for the writer; further ones are dropped and counted.
const MAX_QUEUED_LINES: usize = 4096;

/// Makes the logger of the process. It writes to standard output in a thread
/// of its own; dropping the guard writes out what still waits.
pub(crate) fn logger(settings: &Log, instance: &str) -> (Logger, slog_async::AsyncGuard) {
    let drain = Mutex::new(slog_json::Json::default(std::io::stdout())).fuse();
    let (drain, guard) =
        slog_async::Async::new(drain).chan_size(MAX_QUEUED_LINES).build_with_guard();
    let drain = slog::LevelFilter::new(drain, settings.level.into()).fuse();
    (Logger::root(drain, o!("instance" => instance.to_owned())), guard)
}
