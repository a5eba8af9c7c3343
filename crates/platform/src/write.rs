//! Writes that resolve a lost answer by reading back.

use std::time::Duration;

use bytes::Bytes;
use tokio::time;

use crate::{
    error::{Error, Result},
    store::{Lease, Revision, Store, Swap},
};

/// Definite outcome of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The value was written at this revision.
    Written(Revision),
    /// The revision of the key was not the expected one, so nothing was written.
    Conflict,
}

/// Writes a key by compare-and-swap. If the write may have taken effect although
/// there was no answer, the key is read back to find out. `value` must therefore
/// differ from every value that others write.
///
/// # Errors
/// Fails with [`Error::NotRun`] only if the write had no effect, and with
/// [`Error::Unknown`] if reading back gave no definite outcome within `timeout`.
pub async fn write(
    store: &dyn Store,
    key: &str,
    expected: Revision,
    value: Bytes,
    lease: Option<Lease>,
    timeout: Duration,
) -> Result<Outcome> {
    const RETRY_BACKOFF: Duration = Duration::from_millis(50);
    let swap = Swap { key: key.to_owned(), expected, value: Some(value.clone()), lease };
    let unknown = match store.swap(swap).await {
        Ok(Some(revision)) => return Ok(Outcome::Written(revision)),
        Ok(None) => return Ok(Outcome::Conflict),
        Err(Error::Unknown { reason }) => Error::Unknown { reason },
        Err(error) => return Err(error),
    };
    let read_back = async {
        loop {
            match store.get(key).await {
                Ok(Some(entry)) if entry.value == value => return Outcome::Written(entry.revision),
                // A swap that is still in flight can only succeed on the
                // expected revision, so any other revision is a definite
                // conflict.
                Ok(Some(entry)) if entry.revision != expected => return Outcome::Conflict,
                Ok(None) if expected != Revision::ABSENT => return Outcome::Conflict,
                Ok(_) | Err(_) => {
                    // Repeating the swap is safe, as the expected revision and
                    // the value are unchanged.
                    time::sleep(RETRY_BACKOFF).await;
                    let swap =
                        Swap { key: key.to_owned(), expected, value: Some(value.clone()), lease };
                    if let Ok(Some(revision)) = store.swap(swap).await {
                        return Outcome::Written(revision);
                    }
                }
            }
        }
    };
    time::timeout(timeout, read_back).await.map_err(|_| unknown)
}
