//! Writes whose outcome is made certain.

use std::time::Duration;

use bytes::Bytes;
use tokio::time;

use crate::{
    error::{Error, Result},
    store::{Lease, Revision, Store, Swap},
};

/// An `Outcome` is the certain result of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The value was written and has this revision.
    Written(Revision),
    /// The key had another revision.
    Conflict,
}

/// Writes a key by compare-and-swap. An answer that was lost after the write
/// may have taken effect is resolved by reading back, so `value` must differ
/// from every value that others write.
///
/// # Errors
/// Fails with [`Error::NotRun`] only if the write surely had no effect and
/// with [`Error::Unknown`] if reading back kept failing until `patience` was
/// over.
pub async fn write(
    store: &dyn Store,
    key: &str,
    expected: Revision,
    value: Bytes,
    lease: Option<Lease>,
    patience: Duration,
) -> Result<Outcome> {
    const PAUSE: Duration = Duration::from_millis(50);
    let swap = Swap { key: key.to_owned(), expected, value: Some(value.clone()), lease };
    let first = match store.swap(swap).await {
        Ok(Some(revision)) => return Ok(Outcome::Written(revision)),
        Ok(None) => return Ok(Outcome::Conflict),
        Err(Error::Unknown { reason }) => Error::Unknown { reason },
        Err(error) => return Err(error),
    };
    let read_back = async {
        loop {
            match store.get(key).await {
                Ok(Some(entry)) if entry.value == value => return Outcome::Written(entry.revision),
                // A swap still under way could only succeed on the expected
                // revision, so any other one settles the matter.
                Ok(Some(entry)) if entry.revision != expected => return Outcome::Conflict,
                Ok(None) if expected != Revision::ABSENT => return Outcome::Conflict,
                Ok(_) | Err(_) => {
                    // Sending the same swap again is safe: it has the same
                    // expected revision and the same value.
                    time::sleep(PAUSE).await;
                    let swap =
                        Swap { key: key.to_owned(), expected, value: Some(value.clone()), lease };
                    if let Ok(Some(revision)) = store.swap(swap).await {
                        return Outcome::Written(revision);
                    }
                }
            }
        }
    };
    time::timeout(patience, read_back).await.map_err(|_| first)
}
