//! Permissions of targets to run a step, as learned from advice.
//!
//! Each round of decisions visits all open targets in order for each waiting
//! step. The permissions are therefore sorted by target and read with a cursor.

use std::time::Duration;

use base::Name;

use crate::target::TargetId;

/// Known permission of a target to run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Permission {
    /// The target may not run the step; this never changes.
    Refused,
    /// The target may run the step, with a ticket that expires.
    Allowed {
        /// Ticket to present to the target.
        ticket: Name,
        /// Time of expiry of the ticket.
        expires_at: Duration,
    },
}

impl Permission {
    /// Returns whether there is a ticket that is valid beyond `valid_at`.
    pub(crate) fn has_ticket(&self, valid_at: Duration) -> bool {
        matches!(self, Self::Allowed { expires_at, .. } if valid_at < *expires_at)
    }
}

/// Known permissions of targets to run a step.
#[derive(Debug, Default)]
pub(crate) struct Permissions {
    /// Sorted by target.
    entries: Vec<(TargetId, Permission)>,
}

/// Sequential lookup of permissions by ascending target.
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

    /// Returns whether any target has a ticket that is valid beyond `valid_at`.
    pub(crate) fn has_ticket(&self, valid_at: Duration) -> bool {
        self.entries.iter().any(|(_, permission)| permission.has_ticket(valid_at))
    }

    pub(crate) fn cursor(&self) -> Cursor<'_> {
        Cursor { rest: &self.entries }
    }

    fn position(&self, target: TargetId) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&target, |(id, _)| *id)
    }
}

impl<'a> Cursor<'a> {
    /// Returns the permission of a target. Targets must be passed in ascending
    /// order.
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
