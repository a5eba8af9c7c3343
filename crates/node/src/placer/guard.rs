//! Conditional writes that fence off late execution of earlier writes.
//!
//! A write that was not answered may still be executed seconds later if its
//! condition holds, and would undo what was recorded since. Each write is
//! therefore conditional on the revision of the guard key. The write after an
//! unanswered one also rewrites the guard, so that a late execution of the
//! unanswered write finds its condition violated.
//!
//! Writes run concurrently, but only one at a time rewrites the guard, because
//! two would conflict with each other. Writes that start meanwhile wait for the
//! outcome and use it.

use std::{
    pin::pin,
    sync::{Mutex, MutexGuard},
};

use base::emit;
use bytes::Bytes;
use platform::{Commit, CommitOutcome, Entry, Error, Revision, Write};
use tokio::sync::Notify;

use crate::{context::Context, keys, leadership::Leadership};

/// Reason why a write is not known to have been made.
pub(crate) enum WriteError {
    /// Another instance leads.
    Lost,
    /// The key-value service returned an error, or the write was in conflict.
    Failed(Error),
}

/// State of the guard key.
#[derive(Debug, Default)]
pub(crate) struct Guard {
    state: Mutex<State>,
    /// Notified when a write that renews the guard has an outcome.
    renewal_done: Notify,
}

#[derive(Clone, Copy, Debug)]
struct State {
    revision: Revision,
    validity: Validity,
    /// Number of the last renewal of the guard.
    number: u64,
}

/// Whether the guard's revision prevents late execution of earlier writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Validity {
    /// No write conditional on this revision has gone unanswered.
    Valid,
    /// A write conditional on this revision was not answered and may still be
    /// executed.
    Doubtful,
    /// A write that renews the guard is in flight.
    Renewing,
}

impl Default for State {
    fn default() -> Self {
        Self { revision: Revision::ABSENT, validity: Validity::Valid, number: 0 }
    }
}

impl Guard {
    /// Sets the revision that was read in this term. Writes of earlier terms
    /// need no fencing by the guard, because they are conditional on their own
    /// leader keys.
    pub(crate) fn reset(&self, revision: Revision) {
        self.set(revision, Validity::Valid);
    }

    /// Admits a write; waits while another write renews the guard. Returns the
    /// guard's revision, and whether the admitted write must renew the guard.
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

    /// Records that a write conditional on `revision` was not answered.
    fn mark_doubtful(&self, revision: Revision) {
        let mut state = self.lock();
        if state.revision == revision && state.validity == Validity::Valid {
            state.validity = Validity::Doubtful;
        }
    }

    /// Records the outcome of a write that renews the guard.
    fn finish_renewal(&self, revision: Revision, validity: Validity) {
        self.set(revision, validity);
        self.renewal_done.notify_waiters();
    }

    fn set(&self, revision: Revision, validity: Validity) {
        let mut state = self.lock();
        *state = State { revision, validity, ..*state };
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while holding the lock")
    }
}

/// Renewal of the guard in flight. Leaves the guard doubtful if dropped without
/// an outcome.
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

/// Makes a write on condition that the leadership is still held. Writes that
/// are not answered cannot take effect after a later write has succeeded.
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
    match ctx.services.store.commit(commit).await {
        Ok(CommitOutcome::Done(_)) => Ok(()),
        Ok(CommitOutcome::Conflict(entries)) => Err(leadership.conflict_error(&entries, revision)),
        Err(error @ Error::NotRun { .. }) => Err(WriteError::Failed(error)),
        Err(error) => {
            leadership.guard.mark_doubtful(revision);
            Err(WriteError::Failed(error))
        }
    }
}

/// Makes a write that also renews the guard.
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
    match ctx.services.store.commit(commit).await {
        Ok(CommitOutcome::Done(revision)) => {
            emit!(ctx.log, info, GuardRewritten; "term" => leadership.term);
            renewal.outcome = (revision, Validity::Valid);
            Ok(())
        }
        Ok(CommitOutcome::Conflict(entries)) => {
            if revision_of(&entries, keys::LEADER) != leadership.revision {
                return Err(WriteError::Lost);
            }
            // An earlier write was executed late and changed the guard; other
            // earlier writes may still follow.
            renewal.outcome = (revision_of(&entries, keys::GUARD), Validity::Doubtful);
            Err(not_run_error("the guard has changed"))
        }
        Err(error @ Error::NotRun { .. }) => Err(WriteError::Failed(error)),
        Err(error) => {
            if let Ok(Some(entry)) = ctx.services.store.get(keys::GUARD).await
                && entry.value == value
            {
                // The guard has the value of this renewal, so the write was made.
                renewal.outcome = (entry.revision, Validity::Valid);
                return Ok(());
            }
            Err(WriteError::Failed(error))
        }
    }
}

impl Leadership {
    /// Determines why a write conditional on `used_revision` of the guard was
    /// in conflict.
    fn conflict_error(&self, entries: &[Entry], used_revision: Revision) -> WriteError {
        if revision_of(entries, keys::LEADER) != self.revision {
            return WriteError::Lost;
        }
        let mut state = self.guard.lock();
        if state.revision == used_revision && state.validity != Validity::Renewing {
            // No write of this process with a known or pending outcome changed the
            // guard, so an earlier renewal was executed late, and others may
            // follow.
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
