//! Following of keys in the key-value service.
//!
//! Keys are followed by a watch and, in case the watch misses a change, by full
//! reads at regular intervals. Both run independently, so that neither waits for
//! an answer to the other.

use std::time::Duration;

use futures::future::BoxFuture;
use platform::{Error, Revision};
use tokio::time;

use crate::context::RETRY_BACKOFF;

/// Read or poll; returns the revision that was reached.
pub(crate) type Step<'a> = BoxFuture<'a, Result<Revision, Error>>;

/// Reads the current entries, then applies changes from there on. `fail` is
/// told of errors.
pub(crate) async fn follow<'a>(
    read: impl Fn() -> Step<'a>,
    poll: impl Fn(Revision) -> Step<'a>,
    fail: impl Fn(&Error),
) {
    let mut reached = None;
    loop {
        let result = match reached {
            Some(revision) => poll(revision).await,
            None => read().await,
        };
        match result {
            Ok(revision) => reached = Some(revision),
            Err(error) => {
                fail(&error);
                if error == Error::Forgotten {
                    reached = None;
                }
                time::sleep(RETRY_BACKOFF).await;
            }
        }
    }
}

/// Reads the current entries at regular intervals.
pub(crate) async fn reread<'a>(
    interval: Duration,
    read: impl Fn() -> Step<'a>,
    fail: impl Fn(&Error),
) {
    loop {
        time::sleep(interval).await;
        if let Err(error) = read().await {
            fail(&error);
        }
    }
}
