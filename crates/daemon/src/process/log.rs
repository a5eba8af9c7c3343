//! Log output.

use std::sync::Mutex;

use slog::{Drain, Logger, o};

use crate::process::settings::{Log, LogFormat};

/// Limit on the lines queued for the writer; further lines are dropped and
/// counted.
const MAX_QUEUED_LINES: usize = 16_384;

/// Returns the logger of the process, which writes to standard error. Dropping
/// the guard flushes the queued lines.
pub(crate) fn logger(settings: &Log, instance: &str) -> (Logger, slog_async::AsyncGuard) {
    let (drain, guard) = match settings.form {
        LogFormat::Json => {
            let drain = Mutex::new(slog_json::Json::default(std::io::stderr())).fuse();
            slog_async::Async::new(drain).chan_size(MAX_QUEUED_LINES).build_with_guard()
        }
        LogFormat::Human => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::CompactFormat::new(decorator).build().fuse();
            slog_async::Async::new(drain).chan_size(MAX_QUEUED_LINES).build_with_guard()
        }
    };
    let drain = slog::LevelFilter::new(drain, settings.level.into()).fuse();
    (Logger::root(drain, o!("instance" => instance.to_owned())), guard)
}
