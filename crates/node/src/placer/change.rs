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
use platform::{Commit, CommitOutcome, Entry, Error, Revision, Write};
use tokio::sync::Notify;

use crate::{context::Context, keys, lead::Lead};

/// An `Unwritten` is why a change was not made for certain.
pub(crate) enum Unwritten {
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
    renewed: Notify,
}

#[derive(Clone, Copy, Debug)]
struct State {
    revision: Revision,
    trust: Trust,
    /// Number of the last change.
    number: u64,
}

/// A `Trust` is whether the guard's revision keeps late changes from being made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trust {
    /// No change under this revision is without an answer.
    Sound,
    /// One is, and may still be made.
    Doubtful,
    /// The guard is being written anew.
    Renewing,
}

impl Default for State {
    fn default() -> Self {
        Self { revision: Revision::ABSENT, trust: Trust::Sound, number: 0 }
    }
}

impl Guard {
    /// Begins with the revision that was read in this term: the changes of
    /// earlier ones have conditions on their leads.
    pub(crate) fn begin(&self, revision: Revision) {
        self.set(revision, Trust::Sound);
    }

    /// Takes part in the next change; waits while another one writes the guard.
    /// Gets the guard's revision, and whether this change is to write it.
    async fn join(&self) -> Result<(Revision, bool), Unwritten> {
        let mut renewed = pin!(self.renewed.notified());
        renewed.as_mut().enable();
        let state = {
            let mut state = self.lock();
            let before = *state;
            if before.trust == Trust::Doubtful {
                state.trust = Trust::Renewing;
            }
            before
        };
        if state.trust != Trust::Renewing {
            return Ok((state.revision, state.trust == Trust::Doubtful));
        }
        renewed.await;
        let State { revision, trust, .. } = *self.lock();
        if trust == Trust::Sound {
            return Ok((revision, false));
        }
        Err(not_run("the guard could not be written"))
    }

    fn next_number(&self) -> u64 {
        let mut state = self.lock();
        state.number += 1;
        state.number
    }

    /// Takes note of a change under a revision without an answer.
    fn doubt(&self, revision: Revision) {
        let mut state = self.lock();
        if state.revision == revision && state.trust == Trust::Sound {
            state.trust = Trust::Doubtful;
        }
    }

    /// Takes note of how a change that wrote the guard ended.
    fn renewed(&self, revision: Revision, trust: Trust) {
        self.set(revision, trust);
        self.renewed.notify_waiters();
    }

    fn set(&self, revision: Revision, trust: Trust) {
        let mut state = self.lock();
        *state = State { revision, trust, ..*state };
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// A `Renewal` is the change that writes the guard anew. Dropped without an
/// outcome, it leaves the guard doubtful.
struct Renewal<'a> {
    guard: &'a Guard,
    outcome: (Revision, Trust),
}

impl Drop for Renewal<'_> {
    fn drop(&mut self) {
        let (revision, trust) = self.outcome;
        self.guard.renewed(revision, trust);
    }
}

/// Makes a change under the condition that the lead is still held, and that no
/// change without an answer can follow it.
pub(crate) async fn write(ctx: &Context, lead: &Lead, mut commit: Commit) -> Result<(), Unwritten> {
    let (revision, is_renewal) = lead.guard.join().await?;
    commit.expected.push((keys::LEAD.to_owned(), lead.revision));
    commit.expected.push((keys::GUARD.to_owned(), revision));
    if is_renewal {
        return renew(ctx, lead, commit, revision).await;
    }
    match ctx.edges.records.commit(commit).await {
        Ok(CommitOutcome::Done(_)) => Ok(()),
        Ok(CommitOutcome::Conflict(entries)) => Err(lead.conflict(&entries, revision)),
        Err(error @ Error::NotRun { .. }) => Err(Unwritten::Failed(error)),
        Err(error) => {
            lead.guard.doubt(revision);
            Err(Unwritten::Failed(error))
        }
    }
}

/// Makes a change that also writes the guard anew.
async fn renew(
    ctx: &Context,
    lead: &Lead,
    mut commit: Commit,
    revision: Revision,
) -> Result<(), Unwritten> {
    let mut renewal = Renewal { guard: &lead.guard, outcome: (revision, Trust::Doubtful) };
    let value = Bytes::from(work::encode(&(lead.term, lead.guard.next_number())));
    let write = Write { key: keys::GUARD.to_owned(), value: value.clone(), lease: None };
    commit.writes.push(write);
    match ctx.edges.records.commit(commit).await {
        Ok(CommitOutcome::Done(revision)) => {
            emit!(ctx.log, info, GuardRewritten; "term" => lead.term);
            renewal.outcome = (revision, Trust::Sound);
            Ok(())
        }
        Ok(CommitOutcome::Conflict(entries)) => {
            if revision_of(&entries, keys::LEAD) != lead.revision {
                return Err(Unwritten::Lost);
            }
            // It was written late by an earlier change, as others still may.
            renewal.outcome = (revision_of(&entries, keys::GUARD), Trust::Doubtful);
            Err(not_run("the guard has changed"))
        }
        Err(error @ Error::NotRun { .. }) => Err(Unwritten::Failed(error)),
        Err(error) => {
            if let Ok(Some(entry)) = ctx.edges.records.get(keys::GUARD).await
                && entry.value == value
            {
                // The change was made with the guard's.
                renewal.outcome = (entry.revision, Trust::Sound);
                return Ok(());
            }
            Err(Unwritten::Failed(error))
        }
    }
}

impl Lead {
    /// Finds out what a change under a revision of the guard was in conflict
    /// with.
    fn conflict(&self, entries: &[Entry], used: Revision) -> Unwritten {
        if revision_of(entries, keys::LEAD) != self.revision {
            return Unwritten::Lost;
        }
        let mut state = self.guard.lock();
        if state.revision == used && state.trust != Trust::Renewing {
            // Not by one of this process whose outcome is known or comes: it was
            // written late, and once more is under way perhaps.
            let revision = revision_of(entries, keys::GUARD);
            *state = State { revision, trust: Trust::Doubtful, ..*state };
        }
        not_run("the guard has changed")
    }
}

fn revision_of(entries: &[Entry], key: &str) -> Revision {
    let entry = entries.iter().find(|entry| entry.key == key);
    entry.map_or(Revision::ABSENT, |entry| entry.revision)
}

fn not_run(reason: &str) -> Unwritten {
    Unwritten::Failed(Error::NotRun { reason: reason.to_owned() })
}
