//! What is known of the targets' rights to run a step.
//!
//! Each round of decisions looks at all open targets for each step that waits,
//! so the rights are kept in the order of the targets, and are walked through
//! beside these.

use std::time::Duration;

use base::Name;

use crate::target::TargetId;

/// A `Permission` is what is known of a target's right to run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Permission {
    /// It may not, which doesn't change.
    Refused,
    /// It may, with this ticket until then.
    Allowed {
        /// The ticket.
        ticket: Name,
        /// When the ticket ends.
        expires_at: Duration,
    },
}

impl Permission {
    /// Tells whether it is a ticket that lasts longer than up to a time.
    pub(crate) fn has_ticket(&self, up_to: Duration) -> bool {
        matches!(self, Self::Allowed { expires_at, .. } if up_to < *expires_at)
    }
}

/// A `Permissions` is what is known of the targets' rights to run a step.
#[derive(Debug, Default)]
pub(crate) struct Permissions {
    /// In the order of the targets.
    entries: Vec<(TargetId, Permission)>,
}

/// A `Walk` gets the rights of targets that are asked for in their order.
pub(crate) struct Cursor<'a> {
    rest: &'a [(TargetId, Permission)],
}

impl Permissions {
    pub(crate) fn get(&self, target: TargetId) -> Option<&Permission> {
        self.position(target).ok().map(|position| &self.entries[position].1)
    }

    pub(crate) fn insert(&mut self, target: TargetId, permission: Permission) {
        match self.position(target) {
            Ok(position) => self.entries[position].1 = permission,
            Err(position) => self.entries.insert(position, (target, permission)),
        }
    }

    pub(crate) fn remove(&mut self, target: TargetId) {
        if let Ok(position) = self.position(target) {
            self.entries.remove(position);
        }
    }

    /// Tells whether there is a ticket that lasts longer than up to a time.
    pub(crate) fn has_ticket(&self, up_to: Duration) -> bool {
        self.entries.iter().any(|(_, permission)| permission.has_ticket(up_to))
    }

    pub(crate) fn cursor(&self) -> Cursor<'_> {
        Cursor { rest: &self.entries }
    }

    fn position(&self, target: TargetId) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&target, |(id, _)| *id)
    }
}

impl<'a> Cursor<'a> {
    /// Gets the right of a target; each one has to come after the last.
    pub(crate) fn next(&mut self, target: TargetId) -> Option<&'a Permission> {
        while let Some(((id, permission), rest)) = self.rest.split_first()
            && *id <= target
        {
            self.rest = rest;
            if *id == target {
                return Some(permission);
            }
        }
        None
    }
}
