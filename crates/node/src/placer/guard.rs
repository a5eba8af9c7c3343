//! Changes of what is recorded, under conditions.
//!
//! A change that isn't answered may be made seconds later, if its condition
//! still holds, and would undo what was recorded since. So each change has the
//! condition that a key, the guard, is as it was; after one without an answer
//! the next one writes the guard anew. What comes late then finds that its
//! condition no longer holds.
//!
//! Changes are made side by side, and only one at a time writes the guard: two
//! would each find it changed by the other. Those that come meanwhile wait for
//! the outcome and share it.

use std::{
    pin::pin,
    sync::{Mutex, MutexGuard},
};

use base::emit;
use bytes::Bytes;
use platform::{Commit, Committed, Entry, Error, Revision, Write};
use tokio::sync::Notify;

use crate::{context::Context, keys, leadership::Leadership};

/// An `Unwritten` is why a change was not made for certain.
pub(crate) enum WriteError {
    /// Another instance leads.
    Lost,
    /// The key-value service did not answer as it should.
    Failed(Error),
}

/// A `Guard` is what is known of the guard's key.
#[derive(Debug, Default)]
pub(crate) struct Guard {
    state: Mutex<State>,
    /// Told when a change that writes the guard has an outcome.
    renewal_done: Notify,
}

#[derive(Clone, Copy, Debug)]
struct State {
    revision: Revision,
    validity: Validity,
    /// Number of the last change.
    number: u64,
}

/// A `Trust` is whether the guard's revision keeps late changes from being made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Validity {
    /// No change under this revision is without an answer.
    Valid,
    /// One is, and may still be made.
    Doubtful,
    /// The guard is being written anew.
    Renewing,
}

impl Default for State {
    fn default() -> Self {
        Self { revision: Revision::ABSENT, validity: Validity::Valid, number: 0 }
    }
}

impl Guard {
    /// Begins with the revision that was read in this term: the changes of
    /// earlier ones have conditions on their leads.
    pub(crate) fn reset(&self, revision: Revision) {
        self.set(revision, Validity::Valid);
    }

    /// Takes part in the next change; waits while another one writes the guard.
    /// Gets the guard's revision, and whether this change is to write it.
    async fn acquire(&self) -> Result<(Revision, bool), WriteError> {
        let mut renewal_done = pin!(self.renewal_done.notified());
        renewal_done.as_mut().enable();
        let state = {
            let mut state = self.lock();
            let before = *state;
            if before.validity == Validity::Doubtful {
                state.validity = Validity::Renewing;
            }
            before
        };
        if state.validity != Validity::Renewing {
            return Ok((state.revision, state.validity == Validity::Doubtful));
        }
        renewal_done.await;
        let State { revision, validity, .. } = *self.lock();
        if validity == Validity::Valid {
            return Ok((revision, false));
        }
        Err(not_run_error("the guard could not be written"))
    }

    fn next_number(&self) -> u64 {
        let mut state = self.lock();
        state.number += 1;
        state.number
    }

    /// Takes note of a change under a revision without an answer.
    fn mark_doubtful(&self, revision: Revision) {
        let mut state = self.lock();
        if state.revision == revision && state.validity == Validity::Valid {
            state.validity = Validity::Doubtful;
        }
    }

    /// Takes note of how a change that wrote the guard ended.
    fn finish_renewal(&self, revision: Revision, validity: Validity) {
        self.set(revision, validity);
        self.renewal_done.notify_waiters();
    }

    fn set(&self, revision: Revision, validity: Validity) {
        let mut state = self.lock();
        *state = State { revision, validity, ..*state };
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// A `Renewal` is the change that writes the guard anew. Dropped without an
/// outcome, it leaves the guard doubtful.
struct GuardRenewal<'a> {
    guard: &'a Guard,
    outcome: (Revision, Validity),
}

impl Drop for GuardRenewal<'_> {
    fn drop(&mut self) {
        let (revision, validity) = self.outcome;
        self.guard.finish_renewal(revision, validity);
    }
}

/// Makes a change under the condition that the lead is still held, and that no
/// change without an answer can follow it.
pub(crate) async fn write(
    ctx: &Context,
    leadership: &Leadership,
    mut commit: Commit,
) -> Result<(), WriteError> {
    let (revision, is_renewal) = leadership.guard.acquire().await?;
    commit.expected.push((keys::LEADER.to_owned(), leadership.revision));
    commit.expected.push((keys::GUARD.to_owned(), revision));
    if is_renewal {
        return write_with_guard(ctx, leadership, commit, revision).await;
    }
    match ctx.services.records.commit(commit).await {
        Ok(Committed::Done(_)) => Ok(()),
        Ok(Committed::Conflict(entries)) => Err(leadership.conflict_error(&entries, revision)),
        Err(error @ Error::NotRun { .. }) => Err(WriteError::Failed(error)),
        Err(error) => {
            leadership.guard.mark_doubtful(revision);
            Err(WriteError::Failed(error))
        }
    }
}

/// Makes a change that also writes the guard anew.
async fn write_with_guard(
    ctx: &Context,
    leadership: &Leadership,
    mut commit: Commit,
    revision: Revision,
) -> Result<(), WriteError> {
    let mut renewal =
        GuardRenewal { guard: &leadership.guard, outcome: (revision, Validity::Doubtful) };
    let value = Bytes::from(work::encode(&(leadership.term, leadership.guard.next_number())));
    let write = Write { key: keys::GUARD.to_owned(), value: value.clone(), lease: None };
    commit.writes.push(write);
    match ctx.services.records.commit(commit).await {
        Ok(Committed::Done(revision)) => {
            emit!(ctx.log, info, GuardRenewed; "term" => leadership.term);
            renewal.outcome = (revision, Validity::Valid);
            Ok(())
        }
        Ok(Committed::Conflict(entries)) => {
            if revision_of(&entries, keys::LEADER) != leadership.revision {
                return Err(WriteError::Lost);
            }
            // It was written late by an earlier change, as others still may.
            renewal.outcome = (revision_of(&entries, keys::GUARD), Validity::Doubtful);
            Err(not_run_error("the guard has changed"))
        }
        Err(error @ Error::NotRun { .. }) => Err(WriteError::Failed(error)),
        Err(error) => {
            if let Ok(Some(entry)) = ctx.services.records.get(keys::GUARD).await
                && entry.value == value
            {
                // The change was made with the guard's.
                renewal.outcome = (entry.revision, Validity::Valid);
                return Ok(());
            }
            Err(WriteError::Failed(error))
        }
    }
}

impl Leadership {
    /// Finds out what a change under a revision of the guard was in conflict
    /// with.
    fn conflict_error(&self, entries: &[Entry], used_revision: Revision) -> WriteError {
        if revision_of(entries, keys::LEADER) != self.revision {
            return WriteError::Lost;
        }
        let mut state = self.guard.lock();
        if state.revision == used_revision && state.validity != Validity::Renewing {
            // Not by one of this process whose outcome is known or comes: it was
            // written late, and once more is under way perhaps.
            let revision = revision_of(entries, keys::GUARD);
            *state = State { revision, validity: Validity::Doubtful, ..*state };
        }
        not_run_error("the guard has changed")
    }
}

fn revision_of(entries: &[Entry], key: &str) -> Revision {
    let entry = entries.iter().find(|entry| entry.key == key);
    entry.map_or(Revision::ABSENT, |entry| entry.revision)
}

fn not_run_error(reason: &str) -> WriteError {
    WriteError::Failed(Error::NotRun { reason: reason.to_owned() })
}
