//! Groups of interchangeable workers.

use std::collections::BTreeSet;

use base::{Name, Resources};
use smallvec::SmallVec;

use crate::{cell::Id, request::Request};

/// Workers of one kind, label set and capacity.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) kind: Name,
    pub(crate) labels: SmallVec<[Name; 4]>,
    pub(crate) capacity: Resources,
    /// Number of workers in the group, ready or not.
    pub(crate) count: u32,
    /// Ready workers, ordered by their smallest free fraction in millionths.
    pub(crate) ready: BTreeSet<(u64, Id)>,
}

impl Group {
    /// Returns whether the group has the kind and the labels of the request.
    pub(crate) fn is_match(&self, request: &Request) -> bool {
        request.kind.as_ref().is_none_or(|kind| *kind == self.kind)
            && request.labels.iter().all(|label| self.labels.contains(label))
    }

    /// Returns the accelerators and the number of labels that the group offers
    /// and the request does not need. Groups with a smaller surplus are tried
    /// first, so that workers with scarce features stay free.
    pub(crate) fn surplus(&self, request: &Request) -> (u32, usize) {
        let accelerators = self.capacity.accelerators.saturating_sub(request.size.accelerators);
        let unused = if request.size.accelerators > 0 { 0 } else { accelerators };
        (unused, self.labels.len().saturating_sub(request.labels.len()))
    }
}
