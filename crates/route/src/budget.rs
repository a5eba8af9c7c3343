//! A bound on retries.

use std::sync::Mutex;

/// Retries that may be made without any first attempt before them.
const BURST: u64 = 20;

/// First attempts that pay for one retry.
const ATTEMPTS_PER_RETRY: u64 = 10;

/// A `Budget` lets retries be at most a tenth of the first attempts, so that
/// retries never multiply an overload.
#[derive(Debug)]
pub struct Budget {
    /// In tenths of a retry.
    tokens: Mutex<u64>,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: Mutex::new(BURST * ATTEMPTS_PER_RETRY) }
    }
}

impl Budget {
    /// Counts a first attempt.
    pub fn deposit(&self) {
        let mut tokens = self.tokens.lock().expect("no holder panics");
        *tokens = (*tokens + 1).min(BURST * ATTEMPTS_PER_RETRY);
    }

    /// Takes one retry; gets `false` if there is none left.
    pub fn withdraw(&self) -> bool {
        let mut tokens = self.tokens.lock().expect("no holder panics");
        let paid = tokens.checked_sub(ATTEMPTS_PER_RETRY);
        *tokens = paid.unwrap_or(*tokens);
        paid.is_some()
    }
}
