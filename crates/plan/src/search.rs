//! Bounds on the searches for targets in one round.
//!
//! A search looks at the targets of a pool, so the number of searches in a round
//! is limited. Steps that cannot start for a reason that is known without a
//! search, as a limit of their team, do not count. Part of the searches rotates
//! among the steps that rank too low for the others, so that each waiting step
//! is considered within a few rounds, whatever ranks before it.

use std::collections::HashSet;

use base::{Name, Resources};
use work::{Step, StepKey};

use crate::target::Sharing;

/// One in this many searches rotates among lower-ranked steps.
const ROTATION_DIVISOR: usize = 4;

/// Maximum number of shapes to remember, which bounds the cost of a look-up.
const MAX_FULL_SHAPES: usize = 32;

/// What a task of a step needs of a target, apart from the step's own history.
#[derive(Clone, Debug, PartialEq)]
struct Shape {
    service: Name,
    label: Option<Name>,
    sharing: Sharing,
    size: Resources,
}

/// Shapes of tasks that no target has room for in this round. Room only shrinks
/// during a round, so larger tasks of the same kind need no search.
#[derive(Debug, Default)]
pub(crate) struct FullShapes(Vec<Shape>);

impl FullShapes {
    /// Records that no target of a pool has room for a task of the step.
    pub(crate) fn insert(&mut self, service: &Name, step: &Step) {
        if self.0.len() < MAX_FULL_SHAPES {
            self.0.push(Shape {
                service: service.clone(),
                label: step.label.clone(),
                sharing: Sharing::of(step),
                size: step.size,
            });
        }
    }

    /// Returns whether it is known that no target of a pool has room for a task
    /// of the step.
    pub(crate) fn covers(&self, service: &Name, step: &Step) -> bool {
        self.0.iter().any(|full| {
            full.size.fits(&step.size)
                && full.service == *service
                && full.label == step.label
                && full.sharing == Sharing::of(step)
        })
    }
}

/// Allotment of the searches of one round to steps in order of rank.
#[derive(Debug)]
pub(crate) struct SearchBudget {
    /// Searches left for the steps that rank first.
    first: usize,
    /// Searches left for the rotation.
    rotating: usize,
}

impl SearchBudget {
    pub(crate) fn new(searches: usize) -> Self {
        let rotating = (searches / ROTATION_DIVISOR).max(1);
        Self { first: searches.saturating_sub(rotating), rotating }
    }

    /// Returns whether the next step may be searched for, where `searched` are
    /// the lower-ranked steps that have had their turn.
    pub(crate) fn allows(&self, key: &StepKey, searched: &HashSet<StepKey>) -> bool {
        self.first > 0 || self.rotating > 0 && !searched.contains(key)
    }

    /// Counts a search for a step.
    pub(crate) fn count(&mut self, key: &StepKey, searched: &mut HashSet<StepKey>) {
        if self.first > 0 {
            self.first -= 1;
        } else {
            self.rotating = self.rotating.saturating_sub(1);
            searched.insert(key.clone());
        }
    }

    /// Returns whether no further step may be searched for.
    pub(crate) fn is_spent(&self) -> bool {
        self.first == 0 && self.rotating == 0
    }
}
