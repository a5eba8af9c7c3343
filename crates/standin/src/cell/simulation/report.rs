//! What callers got.

use std::time::Duration;

/// A `Outcome` is what became of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was refused each time, and never ran.
    Refused,
    /// Nothing of it had run for some seconds when the day ended, though it was
    /// accepted.
    Waiting,
    /// It ran when the day ended.
    Running,
    /// It has failed.
    Failed,
    /// It was done.
    Done {
        /// Time from the first request until its end was told.
        time: Duration,
        /// Time within which it was to be done.
        objective: Duration,
    },
}

/// A `Report` is what the callers of one kind of request got.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Name of the kind.
    pub kind: String,
    /// The outcomes of the jobs.
    pub outcomes: Vec<Outcome>,
    /// The team of each of them.
    pub teams: Vec<&'static str>,
}

/// A job that takes more than this many times its objective is of no use.
const USELESS_AFTER: u32 = 3;

impl Report {
    /// Gets what the callers of the teams got that pass a test.
    pub fn for_teams(&self, is_wanted: impl Fn(&str) -> bool) -> Self {
        let rows = self.outcomes.iter().copied().zip(self.teams.iter().copied());
        let (outcomes, teams) = rows.filter(|(_, team)| is_wanted(team)).unzip();
        Self { kind: self.kind.clone(), outcomes, teams }
    }

    /// Counts the jobs that were done in time.
    pub fn in_time(&self) -> usize {
        self.count(|fate| matches!(fate, Outcome::Done { time, objective } if time <= objective))
    }

    /// Counts the jobs that were late, and of use.
    pub fn late(&self) -> usize {
        self.count(|fate| {
            matches!(fate, Outcome::Done { time, objective }
                if time > objective && *time <= *objective * USELESS_AFTER)
        })
    }

    /// Counts the jobs that were accepted and not done while they were of use.
    pub fn missed(&self) -> usize {
        self.outcomes.len() - self.in_time() - self.late() - self.refused()
    }

    /// Counts the jobs that were refused.
    pub fn refused(&self) -> usize {
        self.count(|fate| *fate == Outcome::Refused)
    }

    /// Counts the jobs that were accepted and of which nothing ran when the day
    /// ended.
    pub fn waiting(&self) -> usize {
        self.count(|fate| *fate == Outcome::Waiting)
    }

    /// Gets the time within which this share of the jobs that were done was
    /// done; nothing if none was.
    pub fn time_quantile(&self, share: f64) -> Option<Duration> {
        let done = self.outcomes.iter().filter_map(|fate| match fate {
            Outcome::Done { time, .. } => Some(*time),
            Outcome::Refused | Outcome::Waiting | Outcome::Running | Outcome::Failed => None,
        });
        let mut times: Vec<Duration> = done.collect();
        times.sort_unstable();
        let position = (times.len() as f64 * share) as usize;
        times.get(position.min(times.len().saturating_sub(1))).copied()
    }

    fn count(&self, is_counted: impl Fn(&Outcome) -> bool) -> usize {
        self.outcomes.iter().filter(|fate| is_counted(fate)).count()
    }
}
