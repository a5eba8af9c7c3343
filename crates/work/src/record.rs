//! Encoding of stored records.

use serde::{Serialize, de::DeserializeOwned};
use snafu::Snafu;

/// Failure to decode a stored record.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("malformed record: {reason}"))]
pub struct DecodeError {
    /// Message of the CBOR decoder.
    pub reason: String,
}

/// Encodes a record as CBOR.
pub fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(record, &mut bytes).expect("records have no unserialisable parts");
    bytes
}

/// Decodes a record from CBOR.
///
/// # Errors
/// Fails if the bytes are not an encoded `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    ciborium::from_reader(bytes).map_err(|error| DecodeError { reason: error.to_string() })
}
