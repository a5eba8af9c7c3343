//! Decoding of values read from the key-value service.

use base::emit;
use platform::Entry;
use serde::de::DeserializeOwned;

use crate::context::Context;

/// Decodes a value; logs an error and returns `None` if the value is malformed.
pub(crate) fn decode<T: DeserializeOwned>(ctx: &Context, entry: &Entry) -> Option<T> {
    work::decode(&entry.value)
        .inspect_err(|error| {
            emit!(ctx.log, error, RecordUnreadable; "key" => &entry.key, "error" => %error);
        })
        .ok()
}
