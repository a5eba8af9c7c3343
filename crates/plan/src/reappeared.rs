//! Runs that exist although they were taken for ended.
//!
//! A run is taken for ended by its target's listing, or by other evidence. If its
//! target lists it as running later, the evidence was misleading, and the task may
//! have run twice. So does a listed end of a run that was taken not to exist; the
//! end of a run whose lease had expired may be from before. Such runs are reported
//! together with the evidence.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use base::Name;
use work::TaskKey;

use crate::{ends::Evidence, listing::Listing, planner::Planner, target::TargetId};

/// Time for which a run is remembered after it was taken for ended. Targets may
/// carry out an order seconds late, and then hold a lease of several seconds.
const RETENTION: Duration = Duration::from_secs(30);

/// Maximum number of runs that are remembered.
const MAX_RUNS: usize = 10_000;

/// Run that its target lists after it was taken for ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReappearedRun {
    /// Target of the run.
    pub target: Name,
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Evidence by which the run was taken for ended.
    pub evidence: Evidence,
    /// Time since the run was taken for ended.
    pub age: Duration,
}

/// Run on a target.
type RunKey = (TargetId, TaskKey, u32);

/// Runs that were taken for ended without an end listed by their targets.
#[derive(Debug, Default)]
pub(crate) struct GivenUpRuns {
    runs: HashMap<RunKey, (Evidence, Duration)>,
    /// Keys of the runs, in the order of the times.
    oldest: VecDeque<(Duration, RunKey)>,
}

impl GivenUpRuns {
    /// Records that a run is taken for ended, and forgets the oldest ones.
    pub(crate) fn insert(&mut self, key: RunKey, evidence: Evidence, now: Duration) {
        while let Some((at, oldest)) = self.oldest.front()
            && (now.saturating_sub(*at) > RETENTION || self.oldest.len() >= MAX_RUNS)
        {
            self.runs.remove(oldest);
            self.oldest.pop_front();
        }
        self.oldest.push_back((now, key.clone()));
        self.runs.insert(key, (evidence, now));
    }
}

impl Planner {
    /// Removes and returns the runs that have reappeared.
    pub fn take_reappeared_runs(&mut self) -> Vec<ReappearedRun> {
        std::mem::take(&mut self.reappeared_runs)
    }

    /// Notes the runs in a listing requested at `requested_at` that were taken for
    /// ended before and are still there, or have ended since.
    pub(crate) fn check_reappeared(
        &mut self,
        id: TargetId,
        listing: &Listing,
        requested_at: Duration,
        now: Duration,
    ) {
        let running = listing.running.iter().map(|listed| (&listed.task, listed.run, true));
        let ended = listing.ended.iter().map(|end| (&end.task, end.run, false));
        for (task, run, is_running) in running.chain(ended) {
            let key = (id, task.clone(), run);
            let Some(&(evidence, at)) = self.given_up_runs.runs.get(&key) else {
                continue;
            };
            let is_wrong = is_running || evidence != Evidence::LeaseExpired;
            if !is_wrong || requested_at <= at {
                continue;
            }
            self.given_up_runs.runs.remove(&key);
            self.reappeared_runs.push(ReappearedRun {
                target: self.targets[id.0 as usize].info.id.clone(),
                task: task.clone(),
                run,
                evidence,
                age: now.saturating_sub(at),
            });
        }
    }
}
