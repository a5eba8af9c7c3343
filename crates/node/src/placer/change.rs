//! Changes of what is recorded, under conditions.
//!
//! A change that isn't answered may be made seconds later, if its condition
//! still holds, and would undo what was recorded since. So each change has the
//! condition that a key, the guard, is as it was; after one without an answer
//! the next one writes the guard anew. What comes late then finds that its
//! condition no longer holds.

use std::sync::{Mutex, MutexGuard};

use base::emit;
use bytes::Bytes;
use platform::{Commit, Committed, Entry, Error, Revision, Write};

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
}

#[derive(Clone, Copy, Debug)]
struct State {
    revision: Revision,
    /// Whether a change under this revision may still be made.
    is_doubtful: bool,
    /// Number of the last change.
    number: u64,
}

impl Default for State {
    fn default() -> Self {
        Self { revision: Revision::ABSENT, is_doubtful: false, number: 0 }
    }
}

impl Guard {
    /// Begins with the revision that was read in this term: the changes of
    /// earlier ones have conditions on their leads.
    pub(crate) fn begin(&self, revision: Revision) {
        let mut state = self.lock();
        *state = State { revision, is_doubtful: false, ..*state };
    }

    fn next_number(&self) -> u64 {
        let mut state = self.lock();
        state.number += 1;
        state.number
    }

    fn doubt(&self) {
        self.lock().is_doubtful = true;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// Makes a change under the condition that the lead is still held, and that no
/// change without an answer can follow it.
pub(crate) async fn write(ctx: &Context, lead: &Lead, mut commit: Commit) -> Result<(), Unwritten> {
    let State { revision, is_doubtful, .. } = *lead.guard.lock();
    commit.expected.push((keys::LEAD.to_owned(), lead.revision));
    commit.expected.push((keys::GUARD.to_owned(), revision));
    let value = Bytes::from(work::encode(&(lead.term, lead.guard.next_number())));
    if is_doubtful {
        let write = Write { key: keys::GUARD.to_owned(), value: value.clone(), lease: None };
        commit.writes.push(write);
    }
    match ctx.edges.records.commit(commit).await {
        Ok(Committed::Done(revision)) => {
            if is_doubtful {
                emit!(ctx.log, info, GuardRenewed; "term" => lead.term);
                lead.guard.begin(revision);
            }
            Ok(())
        }
        Ok(Committed::Conflict(entries)) => Err(lead.conflict(&entries)),
        Err(error @ Error::NotRun { .. }) => Err(Unwritten::Failed(error)),
        Err(error) => {
            lead.guard.doubt();
            if is_doubtful
                && let Ok(Some(entry)) = ctx.edges.records.get(keys::GUARD).await
                && entry.value == value
            {
                // The change was made with the guard's.
                lead.guard.begin(entry.revision);
                return Ok(());
            }
            Err(Unwritten::Failed(error))
        }
    }
}

impl Lead {
    /// Finds out what a change was in conflict with.
    fn conflict(&self, entries: &[Entry]) -> Unwritten {
        let revision = |key: &str| {
            let entry = entries.iter().find(|entry| entry.key == key);
            entry.map_or(Revision::ABSENT, |entry| entry.revision)
        };
        if revision(keys::LEAD) != self.revision {
            return Unwritten::Lost;
        }
        // The guard was written anew, perhaps late. It is written once more, as
        // changes under this revision may be under way too.
        let mut state = self.guard.lock();
        *state = State { revision: revision(keys::GUARD), is_doubtful: true, ..*state };
        Unwritten::Failed(Error::NotRun { reason: "the guard has changed".to_owned() })
    }
}
