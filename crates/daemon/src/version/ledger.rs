//! Keys of the key-value service that one owner at a time may write.
//!
//! An owner acquires a key by writing its term there. Writes of an earlier
//! owner then fail, since they expect an older revision. State that an owner
//! records before it acts is therefore complete for the next owner.

use std::time::Duration;

use base::Name;
use bytes::Bytes;
use platform::{Error, Outcome, Revision, Store};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use snafu::Snafu;
use tokio::time;

/// Time between attempts while the store fails.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a write. One year is in effect no limit: a write is retried
/// through any outage until the outcome is known.
const UNBOUNDED_TIMEOUT: Duration = Duration::from_secs(365 * 24 * 3600);

/// Error of a write that had no effect, since a later owner holds the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a later owner holds the key"))]
pub struct Superseded;

/// Exclusive right of an owner to write one key. A write consumes the writer
/// until the outcome is known, so that at most one write is in flight.
#[derive(Debug)]
pub struct Writer {
    key: String,
    term: u64,
    owner: Name,
    serial: u64,
    revision: Revision,
}

#[derive(Serialize, Deserialize)]
struct Envelope {
    term: u64,
    owner: Name,
    serial: u64,
    body: ByteBuf,
}

impl Envelope {
    fn encode(&self) -> Bytes {
        let mut out = Vec::new();
        ciborium::into_writer(self, &mut out).expect("envelope fields are CBOR-encodable");
        out.into()
    }
}

/// Newly acquired key with the value of the previous owner.
#[derive(Debug)]
pub struct Acquisition {
    /// Writer of the key.
    pub writer: Writer,
    /// Body that was last written; empty for a new key.
    pub body: Vec<u8>,
}

/// Acquires a key for an owner in the owner's term. While the store fails, the
/// attempt is repeated.
///
/// # Errors
/// Fails if an owner of a later term has acquired the key.
pub async fn acquire(
    store: &dyn Store,
    key: String,
    term: u64,
    owner: Name,
) -> Result<Acquisition, Superseded> {
    loop {
        let Ok(entry) = store.get(&key).await else {
            time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        let revision = entry.as_ref().map_or(Revision::ABSENT, |entry| entry.revision);
        let previous: Option<Envelope> =
            entry.and_then(|entry| ciborium::from_reader(&entry.value[..]).ok());
        if previous.as_ref().is_some_and(|previous| previous.term > term) {
            return Err(Superseded);
        }
        let (serial, body) = previous
            .map_or((0, Vec::new()), |previous| (previous.serial, previous.body.into_vec()));
        let mut writer = Writer { key: key.clone(), term, owner: owner.clone(), serial, revision };
        // On a conflict, the previous owner has written since the read: read
        // again.
        if writer.swap(store, &body).await.is_ok() {
            return Ok(Acquisition { writer, body });
        }
    }
}

impl Writer {
    /// Writes the body and returns the writer for the next write. While the
    /// store fails, the write is repeated.
    ///
    /// # Errors
    /// Fails if a later owner has acquired the key; the write then had no
    /// effect.
    pub async fn write(mut self, store: &dyn Store, body: Vec<u8>) -> Result<Self, Superseded> {
        self.swap(store, &body).await?;
        Ok(self)
    }

    async fn swap(&mut self, store: &dyn Store, body: &[u8]) -> Result<(), Superseded> {
        // With the serial, no two values of a key are equal, so that reading a
        // value back shows whose write took effect.
        self.serial += 1;
        let envelope = Envelope {
            term: self.term,
            owner: self.owner.clone(),
            serial: self.serial,
            body: ByteBuf::from(body),
        };
        let value = envelope.encode();
        loop {
            let value = value.clone();
            match platform::write(store, &self.key, self.revision, value, None, UNBOUNDED_TIMEOUT)
                .await
            {
                Ok(Outcome::Written(revision)) => {
                    self.revision = revision;
                    return Ok(());
                }
                Ok(Outcome::Conflict) => return Err(Superseded),
                Err(
                    Error::NotRun { .. } | Error::Unknown { .. } | Error::Forgotten | Error::Lapsed,
                ) => {
                    time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }
}
