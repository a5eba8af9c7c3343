//! Timeline of one job, and the cause of its loss.

use std::fmt;

use base::Event;

use crate::losses::{Line, Loss, MAX_LATE_RATIO, Timeliness};

/// Time after a takeover within which a wait is attributed to the takeover.
const TAKEOVER_WINDOW_S: f64 = 2.0;

/// Cause of the loss of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The job was refused, with this reason.
    Refused(String),
    /// The job waited for the answer to its first request for advice.
    AdviceWait,
    /// The job waited for capacity, or for tickets, from its advice to its start.
    CapacityWait,
    /// Another instance became the leader while the job waited.
    Takeover,
    /// Runs of the job failed, were stopped or were lost, and were repeated.
    Rerun,
    /// The execution took longer than the estimate allows for.
    Execution,
    /// The end of the job was reported long after its last run.
    EndReport,
    /// The job had not ended by the end of the log.
    Unfinished,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(why) => write!(f, "refused: {why}"),
            Self::AdviceWait => f.write_str("waited for advice"),
            Self::CapacityWait => f.write_str("waited for room"),
            Self::Takeover => f.write_str("waited for a new leader"),
            Self::Rerun => f.write_str("done again"),
            Self::Execution => f.write_str("the work itself"),
            Self::EndReport => f.write_str("end told late"),
            Self::Unfinished => f.write_str("not ended"),
        }
    }
}

/// Events of one job, with times in seconds.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    pub(super) queue: String,
    team: String,
    pub(super) accepted_s: f64,
    objective_s: Option<f64>,
    advised_s: Option<f64>,
    first_start_s: Option<f64>,
    last_start_s: f64,
    last_end_s: Option<f64>,
    /// Runs that ended without success.
    unsuccessful_runs: u32,
    ended_s: Option<f64>,
    has_failed: bool,
    is_cancelled: bool,
}

impl Timeline {
    /// Applies a log line about the job.
    pub(super) fn apply(&mut self, line: &Line) {
        let at_s = line.at_s;
        let is = |event: Event| line.event == u64::from(event.code());
        if is(Event::JobAccepted) && self.objective_s.is_none() {
            let text = |field| line.text(field).unwrap_or_default().to_owned();
            (self.queue, self.team, self.accepted_s) = (text("queue"), text("team"), at_s);
            self.objective_s = line.number("objective_ms").map(|ms| ms as f64 / 1000.0);
        } else if is(Event::JobCancelled) {
            self.is_cancelled = true;
        } else if is(Event::AdviceReceived) {
            self.advised_s.get_or_insert(at_s);
        } else if is(Event::StartSent) {
            self.first_start_s.get_or_insert(at_s);
            self.last_start_s = at_s;
        } else if is(Event::RunEnded) {
            self.last_end_s = Some(at_s);
            self.unsuccessful_runs += u32::from(line.text("end").is_some_and(|end| end != "Done"));
        } else if is(Event::JobEnded) && self.ended_s.is_none() {
            self.ended_s = Some(at_s);
            self.has_failed = line.text("state") == Some("Failed");
        }
    }

    /// Returns whether the log shows that the job was accepted.
    pub(super) fn is_accepted(&self) -> bool {
        self.objective_s.is_some()
    }

    /// Returns the timeliness of the job, in a log that ends at `log_end_s`.
    pub(super) fn timeliness(&self, log_end_s: f64) -> Timeliness {
        let Some(objective_s) = self.objective_s.filter(|_| !self.is_cancelled) else {
            return Timeliness::Excluded;
        };
        let took_s = self.ended_s.unwrap_or(log_end_s) - self.accepted_s;
        match self.ended_s {
            Some(_) if took_s <= objective_s => Timeliness::OnTime,
            Some(_) if took_s <= objective_s * MAX_LATE_RATIO => Timeliness::Late,
            None if took_s <= objective_s => Timeliness::Excluded,
            Some(_) | None => Timeliness::Missed,
        }
    }

    /// Returns the job as a loss, given the times of all takeovers.
    pub(super) fn loss(&self, timeliness: Timeliness, takeovers_s: &[f64], log_end_s: f64) -> Loss {
        Loss {
            queue: self.queue.clone(),
            team: self.team.clone(),
            at_s: self.accepted_s,
            timeliness,
            cause: self.cause(takeovers_s, log_end_s),
        }
    }

    /// Returns the cause of the loss: the longest phase other than the execution.
    fn cause(&self, takeovers_s: &[f64], log_end_s: f64) -> Cause {
        let started_s = self.first_start_s.unwrap_or(log_end_s);
        let advised_s = self.advised_s.unwrap_or(started_s).min(started_s);
        let rerun_s = if self.unsuccessful_runs > 0 { self.last_start_s - started_s } else { 0.0 };
        let end_report_s = match (self.ended_s, self.last_end_s) {
            (Some(ended_s), Some(last_end_s)) => ended_s - last_end_s,
            _ => 0.0,
        };
        let waits = [
            (advised_s - self.accepted_s, Cause::AdviceWait),
            (started_s - advised_s, Cause::CapacityWait),
            (rerun_s, Cause::Rerun),
            (end_report_s, Cause::EndReport),
        ];
        let objective_s = self.objective_s.unwrap_or_default();
        let longest = waits.into_iter().max_by(|(a, _), (b, _)| a.total_cmp(b));
        let Some((wait_s, cause)) = longest else {
            return Cause::Execution;
        };
        // A wait below half of the excess over the objective doesn't explain the
        // loss: the job would have been late without that wait, too.
        let took_s = self.ended_s.unwrap_or(log_end_s) - self.accepted_s;
        let is_minor = wait_s < (took_s - objective_s) / 2.0;
        if is_minor {
            return if self.ended_s.is_some() { Cause::Execution } else { Cause::Unfinished };
        }
        let is_in_wait = |takeover_s: &f64| {
            (self.accepted_s - TAKEOVER_WINDOW_S..started_s).contains(takeover_s)
                && started_s - takeover_s < TAKEOVER_WINDOW_S
        };
        match cause {
            Cause::AdviceWait | Cause::CapacityWait if takeovers_s.iter().any(is_in_wait) => {
                Cause::Takeover
            }
            cause => cause,
        }
    }
}
