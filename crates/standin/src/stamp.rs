//! Who owns a target.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::Failure;
use tonic::Status;
use wire::{pb, status_of};

use crate::observer::Observer;

/// Time after which a refused request may be sent again.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Gets the clock of all targets, in milliseconds.
pub(crate) fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// A `Fence` refuses what comes from earlier owners or too late.
#[derive(Debug, Default)]
pub(crate) struct Fence {
    owner: String,
    term: u64,
}

impl Fence {
    /// Accepts the stamp of a claim; a higher term takes the target over.
    pub(crate) fn claim(&mut self, stamp: &pb::Stamp, observer: &Observer) -> Result<(), Status> {
        check_time(stamp)?;
        if stamp.term > self.term {
            self.term = stamp.term;
            self.owner = stamp.owner.clone();
        }
        self.check_owner(&stamp.owner, stamp.term, observer)
    }

    /// Accepts the stamp of the present owner.
    pub(crate) fn check(&self, stamp: &pb::Stamp, observer: &Observer) -> Result<(), Status> {
        check_time(stamp)?;
        self.check_owner(&stamp.owner, stamp.term, observer)
    }

    pub(crate) fn check_owner(
        &self,
        owner: &str,
        term: u64,
        observer: &Observer,
    ) -> Result<(), Status> {
        if term == self.term && owner == self.owner {
            return Ok(());
        }
        observer.fence();
        Err(status_of(&Failure::conflict(format!("the target is owned in term {}", self.term))))
    }
}

fn check_time(stamp: &pb::Stamp) -> Result<(), Status> {
    if stamp.not_after_ms != 0 && now_ms() > stamp.not_after_ms {
        return Err(status_of(&Failure::busy(RETRY_AFTER, "the request came too late")));
    }
    Ok(())
}
