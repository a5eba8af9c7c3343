//! Load of a service.

use serde::{Deserialize, Serialize};

/// Slots of a service at one instance, and the calls waiting for them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Calls that can be served concurrently.
    pub slots: u32,
    /// Slots that are free.
    pub free: u32,
    /// Calls waiting for a slot.
    pub waiting: u32,
}

impl Load {
    /// Returns the length of the queue per slot, in thousandths, once one more
    /// call has joined it; `u64::MAX` if the service has no slots.
    pub fn waiting_per_slot_milli(&self) -> u64 {
        let queued = u64::from(self.waiting) + 1;
        (queued * 1000).checked_div(u64::from(self.slots)).unwrap_or(u64::MAX)
    }
}
