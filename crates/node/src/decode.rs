//! Records as they are read from the key-value service.

use base::emit;
use platform::Entry;
use serde::de::DeserializeOwned;

use crate::context::Context;

/// Reads a record; logs it if it can't be read.
pub(crate) fn decode<T: DeserializeOwned>(ctx: &Context, entry: &Entry) -> Option<T> {
    work::decode(&entry.value)
        .inspect_err(|error| {
            emit!(ctx.log, error, RecordUnreadable; "key" => &entry.key, "error" => %error);
        })
        .ok()
}
