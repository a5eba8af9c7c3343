//! Fencing of requests to a target by owner and term.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::Failure;
use tonic::Status;
use wire::{pb, status_of};

use crate::observer::Observer;

/// Back-off that callers are told to observe after a refused request.
const RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// Returns the clock that all targets share, in milliseconds since the Unix
/// epoch.
pub(crate) fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Check that refuses requests of earlier owners and outdated requests.
#[derive(Debug, Default)]
pub(crate) struct Fence {
    owner: String,
    term: u64,
}

impl Fence {
    /// Checks the stamp of a claim. A claim with a higher term takes over the
    /// target.
    ///
    /// # Errors
    /// Returns an error if the stamp has expired, or if owner or term aren't the
    /// current ones.
    pub(crate) fn claim(&mut self, stamp: &pb::Stamp, observer: &Observer) -> Result<(), Status> {
        check_expiry(stamp)?;
        if stamp.term > self.term {
            self.term = stamp.term;
            self.owner = stamp.owner.clone();
        }
        self.check_owner(&stamp.owner, stamp.term, observer)
    }

    /// Checks that a stamp is from the current owner and hasn't expired.
    ///
    /// # Errors
    /// Returns an error if the stamp has expired, or if owner or term aren't the
    /// current ones.
    pub(crate) fn check(&self, stamp: &pb::Stamp, observer: &Observer) -> Result<(), Status> {
        check_expiry(stamp)?;
        self.check_owner(&stamp.owner, stamp.term, observer)
    }

    /// Checks that owner and term are the current ones.
    pub(crate) fn check_owner(
        &self,
        owner: &str,
        term: u64,
        observer: &Observer,
    ) -> Result<(), Status> {
        if term == self.term && owner == self.owner {
            return Ok(());
        }
        observer.record_fenced();
        Err(status_of(&Failure::conflict(format!("the target is owned in term {}", self.term))))
    }
}

fn check_expiry(stamp: &pb::Stamp) -> Result<(), Status> {
    if stamp.not_after_ms != 0 && now_ms() > stamp.not_after_ms {
        return Err(status_of(&Failure::busy(RETRY_BACKOFF, "the request came too late")));
    }
    Ok(())
}
