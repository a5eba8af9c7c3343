//! Workers that are alike.

use std::collections::BTreeSet;

use base::{Name, Resources};
use smallvec::SmallVec;

use crate::{cell::Id, request::Request};

/// A `Group` is the workers of one kind, label set and capacity.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) kind: Name,
    pub(crate) labels: SmallVec<[Name; 4]>,
    pub(crate) capacity: Resources,
    /// All workers of the group, ready or not.
    pub(crate) count: u32,
    /// The ready workers by their least free fraction, in millionths.
    pub(crate) ready: BTreeSet<(u64, Id)>,
}

impl Group {
    /// Tells whether the group has the kind and the labels asked for.
    pub(crate) fn is_like(&self, request: &Request) -> bool {
        request.kind.as_ref().is_none_or(|kind| *kind == self.kind)
            && request.labels.iter().all(|label| self.labels.contains(label))
    }

    /// Gets how much the group offers that the request doesn't need. Groups
    /// that offer less are tried first, so that scarce workers stay free.
    pub(crate) fn surplus(&self, request: &Request) -> (u32, usize) {
        let accelerators = self.capacity.accelerators.saturating_sub(request.size.accelerators);
        let unneeded = if request.size.accelerators > 0 { 0 } else { accelerators };
        (unneeded, self.labels.len().saturating_sub(request.labels.len()))
    }
}
