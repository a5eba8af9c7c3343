//! Keys of the key-value service that are written by one owner at a time.
//!
//! A sheet is taken by writing the owner's term into it. From then on every
//! write of an earlier owner fails, since it expects an older revision. What
//! an owner has to remember before it acts is therefore never lost on the way
//! from one owner to the next.

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

/// A write goes on until its outcome is certain, through any outage.
const UNBOUNDED_TIMEOUT: Duration = Duration::from_secs(365 * 24 * 3600);

/// The sheet belongs to a later owner; the write surely had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a later owner holds the key"))]
pub struct Superseded;

/// A `Writer` is the right to write one key. A write consumes it until its
/// outcome is known, so that there is never more than one under way.
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

/// An `Acquisition` is a sheet with what an earlier owner wrote on it.
#[derive(Debug)]
pub struct Acquisition {
    /// The sheet.
    pub writer: Writer,
    /// What was last written; empty for a new sheet.
    pub body: Vec<u8>,
}

/// Takes the sheet of a key in the owner's term.
///
/// # Errors
/// Fails if a later owner has taken it.
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
        // A conflict means that the earlier owner has written meanwhile.
        if writer.swap(store, &body).await.is_ok() {
            return Ok(Acquisition { writer, body });
        }
    }
}

impl Writer {
    /// Writes the sheet. While the store fails the write is tried again.
    ///
    /// # Errors
    /// Fails if a later owner has taken the sheet; the write had no effect.
    pub async fn write(mut self, store: &dyn Store, body: Vec<u8>) -> Result<Self, Superseded> {
        self.swap(store, &body).await?;
        Ok(self)
    }

    async fn swap(&mut self, store: &dyn Store, body: &[u8]) -> Result<(), Superseded> {
        // The serial makes every value unlike all others of its key.
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
