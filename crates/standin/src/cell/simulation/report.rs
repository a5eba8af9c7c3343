//! Results of a simulation for the callers.

use std::time::Duration;

/// Outcome of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Refused at each submission; the job never ran.
    Refused,
    /// Accepted, but without a run in the last seconds of the day.
    Waiting,
    /// Still running at the end of the day.
    Running,
    /// Failed.
    Failed,
    /// Completed.
    Done {
        /// Time from the first submission until the job was reported complete.
        time: Duration,
        /// Time within which the job had to complete.
        objective: Duration,
    },
}

/// Results of the jobs of one kind of request.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Name of the kind.
    pub kind: String,
    /// Outcomes of the jobs, in order of arrival.
    pub outcomes: Vec<Outcome>,
    /// Team of each job, in the order of `outcomes`.
    pub teams: Vec<&'static str>,
}

/// Largest multiple of its objective that a job may take and still be of use to
/// its caller.
const MAX_USEFUL_RATIO: u32 = 3;

impl Report {
    /// Returns the report restricted to the teams that pass a test.
    pub fn for_teams(&self, is_included: impl Fn(&str) -> bool) -> Self {
        let rows = self.outcomes.iter().copied().zip(self.teams.iter().copied());
        let (outcomes, teams) = rows.filter(|(_, team)| is_included(team)).unzip();
        Self { kind: self.kind.clone(), outcomes, teams }
    }

    /// Returns the number of jobs that completed within their objective.
    pub fn in_time(&self) -> usize {
        self.count(
            |outcome| matches!(outcome, Outcome::Done { time, objective } if time <= objective),
        )
    }

    /// Returns the number of jobs that missed their objective but completed while
    /// still of use.
    pub fn late(&self) -> usize {
        self.count(|outcome| {
            matches!(outcome, Outcome::Done { time, objective }
                if time > objective && *time <= *objective * MAX_USEFUL_RATIO)
        })
    }

    /// Returns the number of accepted jobs that did not complete while still of
    /// use.
    pub fn missed(&self) -> usize {
        self.outcomes.len() - self.in_time() - self.late() - self.refused()
    }

    /// Returns the number of refused jobs.
    pub fn refused(&self) -> usize {
        self.count(|outcome| *outcome == Outcome::Refused)
    }

    /// Returns the number of accepted jobs that were unfinished and without a run
    /// at the end of the day.
    pub fn waiting(&self) -> usize {
        self.count(|outcome| *outcome == Outcome::Waiting)
    }

    /// Returns the time within which a share, from 0 to 1, of the completed jobs
    /// completed; `None` if no job completed.
    pub fn time_quantile(&self, share: f64) -> Option<Duration> {
        let done = self.outcomes.iter().filter_map(|outcome| match outcome {
            Outcome::Done { time, .. } => Some(*time),
            Outcome::Refused | Outcome::Waiting | Outcome::Running | Outcome::Failed => None,
        });
        let mut times: Vec<Duration> = done.collect();
        times.sort_unstable();
        let position = (times.len() as f64 * share) as usize;
        times.get(position.min(times.len().saturating_sub(1))).copied()
    }

    fn count(&self, is_counted: impl Fn(&Outcome) -> bool) -> usize {
        self.outcomes.iter().filter(|outcome| is_counted(outcome)).count()
    }
}
