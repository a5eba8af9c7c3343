//! Request bodies, charged before they are read.

use std::sync::Arc;

use base::Failure;

use super::{gate::Pass, ledger::Refusal};

/// Smallest charge for a part of a body without a declared length.
const MIN_CHARGE_BYTES: usize = 4 << 10;

/// Memory that a byte of a body takes while its job is recorded: in the job, in
/// its record, in the record's base64 form, and in the request to the store.
const COPIES: usize = 5;

/// Memory that a step takes besides its text while its job is recorded. A parsed
/// step has about 150 bytes and is converted once, its record has about 200, and
/// that record is copied as in [`COPIES`].
const STEP_BYTES: usize = 1024;

/// Size of the record of a step without any content, rounded down. A test compares
/// it with the encoding.
pub const MIN_STEP_RECORD_BYTES: usize = 150;

/// Body that is being received. The buffer is its own, so that a small chunk does
/// not keep the larger buffer in which it arrived.
#[derive(Debug)]
pub struct Body {
    held: Held,
    declared: Option<usize>,
    max_bytes: usize,
    bytes: Vec<u8>,
}

/// Charge for a request; released when dropped.
#[derive(Debug)]
pub struct Held {
    pass: Arc<Pass>,
    bytes: usize,
}

impl Held {
    fn grow(&mut self, bytes: usize) -> Result<(), Failure> {
        if bytes > self.bytes {
            self.pass.charge(bytes - self.bytes)?;
            self.bytes = bytes;
        }
        Ok(())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.pass.release(self.bytes);
    }
}

impl Body {
    /// Begins a body of at most `max_bytes`, and charges its declared length.
    ///
    /// # Errors
    /// Fails if the declared length is over the limit, and temporarily if there is
    /// no room.
    pub fn begin(
        pass: &Arc<Pass>,
        declared: Option<u64>,
        max_bytes: usize,
    ) -> Result<Self, Failure> {
        let declared = declared.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        let mut body = Self {
            held: Held { pass: Arc::clone(pass), bytes: 0 },
            declared,
            max_bytes,
            bytes: Vec::new(),
        };
        if let Some(length) = declared {
            body.check(length)?;
            body.held.grow(length)?;
        }
        Ok(body)
    }

    /// Adds received bytes.
    ///
    /// # Errors
    /// As for [`Body::begin`].
    pub fn push(&mut self, part: &[u8]) -> Result<(), Failure> {
        let length = self.bytes.len() + part.len();
        self.check(length)?;
        if length > self.bytes.capacity() {
            let max = self.declared.unwrap_or(self.max_bytes).max(length);
            let capacity = (2 * length).max(MIN_CHARGE_BYTES).min(max);
            self.held.grow(capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    /// Returns the bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Charges what a job of this body with `steps` steps takes until it is
    /// recorded, before it is parsed. Steps whose record would exceed `record_bytes`
    /// in any case are refused.
    ///
    /// # Errors
    /// As for [`Body::begin`].
    pub fn charge_job(&mut self, steps: usize, record_bytes: usize) -> Result<(), Failure> {
        if steps.saturating_mul(MIN_STEP_RECORD_BYTES) > record_bytes {
            self.held.pass.refuse(Refusal::TooLarge);
            return Err(Failure::invalid("the job has too many steps"));
        }
        self.held.grow(self.bytes.len() * COPIES + steps * STEP_BYTES)
    }

    /// Drops the bytes and returns the charge, to be kept until the request is
    /// answered.
    pub fn into_held(self) -> Held {
        self.held
    }

    fn check(&self, length: usize) -> Result<(), Failure> {
        if length <= self.max_bytes {
            return Ok(());
        }
        self.held.pass.refuse(Refusal::TooLarge);
        let max_bytes = self.max_bytes;
        Err(Failure::invalid(format!("body: length limit exceeded, {max_bytes} bytes")))
    }
}
