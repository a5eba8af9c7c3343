//! How busy a service is.

use serde::{Deserialize, Serialize};

/// A `Load` is the slots of a service at one instance and the calls that wait
/// for them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Calls that can be served at once.
    pub slots: u32,
    /// Slots that are free.
    pub free: u32,
    /// Calls that wait.
    pub waiting: u32,
}

impl Load {
    /// Gets the calls before a new one for each slot, in thousandths;
    /// `u64::MAX` without slots.
    pub fn waiting_per_slot_milli(&self) -> u64 {
        let ahead = u64::from(self.waiting) + 1;
        (ahead * 1000).checked_div(u64::from(self.slots)).unwrap_or(u64::MAX)
    }
}
