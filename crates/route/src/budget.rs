//! Budget of retries.

use std::sync::Mutex;

/// Retries available before any first attempt has been counted, and the maximum
/// that can accumulate.
const MAX_BURST_RETRIES: u64 = 20;

/// First attempts that add one retry to the budget.
const ATTEMPTS_PER_RETRY: u64 = 10;

/// Token bucket that limits retries to a tenth of the first attempts, so that
/// retries do not amplify an overload.
#[derive(Debug)]
pub struct Budget {
    /// Available tokens; a retry costs [`ATTEMPTS_PER_RETRY`] of them.
    tokens: Mutex<u64>,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: Mutex::new(MAX_BURST_RETRIES * ATTEMPTS_PER_RETRY) }
    }
}

impl Budget {
    /// Counts a first attempt, which adds one token.
    pub fn deposit(&self) {
        let mut tokens = self.tokens.lock().expect("no lock holder panics");
        *tokens = (*tokens + 1).min(MAX_BURST_RETRIES * ATTEMPTS_PER_RETRY);
    }

    /// Takes one retry out of the budget; returns `false` if none is available.
    pub fn withdraw(&self) -> bool {
        let mut tokens = self.tokens.lock().expect("no lock holder panics");
        let left = tokens.checked_sub(ATTEMPTS_PER_RETRY);
        *tokens = left.unwrap_or(*tokens);
        left.is_some()
    }
}
