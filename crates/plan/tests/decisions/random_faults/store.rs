//! Simulated key-value service with the stored state of a cell.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use base::Name;
use plan::{ClosedTarget, ProcessRecord, Record, Retention};
use work::{JobState, Progress, Spec};

/// Snapshot of the targets for the next leader.
#[derive(Clone, Default)]
pub struct Snapshot {
    pub held: HashSet<Name>,
    pub closed: Vec<ClosedTarget>,
    pub processes: ProcessRecord,
}

/// Change by a leader, made if the leader still leads and the guard has the
/// expected revision.
#[derive(Clone)]
pub struct Write {
    pub number: u64,
    pub term: u32,
    pub guard: u64,
    /// Whether the guard gets a new revision.
    pub is_renewal: bool,
    pub content: Content,
}

#[derive(Clone)]
pub enum Content {
    Progress(Vec<Record>),
    Snapshot(Box<Snapshot>),
}

/// Outcome of a write, as the leader learns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Done,
    /// The guard has this other revision.
    Conflict(u64),
    /// Another leader leads.
    Lost,
    NotRun,
    /// No answer; a renewal of the guard is known to be made if it is the last
    /// one.
    Unknown {
        last_renewal: u64,
    },
}

#[derive(Default)]
pub struct Store {
    /// Term of the present leader.
    pub term: u32,
    /// Revision of the guard, which is the number of the write that made it.
    pub guard: u64,
    pub jobs: BTreeMap<Name, Spec>,
    pub cancelled: BTreeSet<Name>,
    pub progress: BTreeMap<Name, Progress>,
    pub snapshot: Snapshot,
    /// Term in which the snapshot was written.
    pub snapshot_term: u32,
}

impl Store {
    pub fn apply(&mut self, write: &Write) -> Outcome {
        if write.term != self.term {
            return Outcome::Lost;
        }
        if write.guard != self.guard {
            return Outcome::Conflict(self.guard);
        }
        if write.is_renewal {
            self.guard = write.number;
        }
        match &write.content {
            Content::Progress(records) => {
                for Record { id, progress, retention } in records {
                    self.progress.insert(id.clone(), progress.clone());
                    if *retention == Retention::Remove {
                        self.jobs.remove(id);
                        self.cancelled.remove(id);
                    }
                }
            }
            Content::Snapshot(snapshot) => {
                self.snapshot = *snapshot.clone();
                self.snapshot_term = write.term;
            }
        }
        Outcome::Done
    }

    /// Returns the finished jobs of which only the progress is kept.
    pub fn ended(&self) -> impl Iterator<Item = (&Name, JobState)> {
        let ended = self.progress.iter().filter(|(id, _)| !self.jobs.contains_key(*id));
        ended.map(|(id, progress)| (id, progress.state))
    }
}
