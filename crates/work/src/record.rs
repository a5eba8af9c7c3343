//! The stored form of records.

use serde::{Serialize, de::DeserializeOwned};
use snafu::Snafu;

/// A `DecodeError` is a record that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("malformed record: {reason}"))]
pub struct DecodeError {
    /// What the decoder says.
    pub reason: String,
}

/// Gets the stored form of a record.
pub fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(record, &mut bytes).expect("records have no unserialisable parts");
    bytes
}

/// Reads a record.
///
/// # Errors
/// Fails if the bytes are not such a record.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    ciborium::from_reader(bytes).map_err(|error| DecodeError { reason: error.to_string() })
}
