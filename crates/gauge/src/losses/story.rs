//! What happened to one job.

use std::fmt;

use base::Event;

use crate::losses::{Fate, Line, Loss, USELESS_AFTER};

/// Time after a takeover in which a wait counts as due to it, in seconds.
const TAKEOVER_S: f64 = 2.0;

/// A `Cause` is by what a job lost.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Its client was told to come back, for this reason.
    Refused(String),
    /// It waited for the answer to its first request for advice.
    Advice,
    /// It waited for room, or for tickets to use it, from then on.
    Room,
    /// Another instance took the lead while it waited.
    Takeover,
    /// Runs of it failed, were stopped or lost, and were done again.
    DoneAgain,
    /// Its work took longer than its estimate allows for.
    Work,
    /// Its end was told long after its last run.
    EndTold,
    /// It had not ended when the log did.
    Unfinished,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(why) => write!(f, "refused: {why}"),
            Self::Advice => f.write_str("waited for advice"),
            Self::Room => f.write_str("waited for room"),
            Self::Takeover => f.write_str("waited for a new leader"),
            Self::DoneAgain => f.write_str("done again"),
            Self::Work => f.write_str("the work itself"),
            Self::EndTold => f.write_str("end told late"),
            Self::Unfinished => f.write_str("not ended"),
        }
    }
}

/// A `Story` is what happened to one job, in seconds.
#[derive(Clone, Debug, Default)]
pub struct Story {
    pub(super) queue: String,
    team: String,
    pub(super) accepted_s: f64,
    objective_s: Option<f64>,
    advised_s: Option<f64>,
    first_start_s: Option<f64>,
    last_start_s: f64,
    last_end_s: Option<f64>,
    /// Runs that ended otherwise than done.
    undone: u32,
    ended_s: Option<f64>,
    has_failed: bool,
    is_cancelled: bool,
}

impl Story {
    /// Takes in a line about the job.
    pub(super) fn take(&mut self, line: &Line) {
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
            self.undone += u32::from(line.text("end").is_some_and(|end| end != "Done"));
        } else if is(Event::JobEnded) && self.ended_s.is_none() {
            self.ended_s = Some(at_s);
            self.has_failed = line.text("state") == Some("Failed");
        }
    }

    /// Tells whether the job was accepted, as far as the log shows.
    pub(super) fn is_accepted(&self) -> bool {
        self.objective_s.is_some()
    }

    /// Gets what the job was to its caller, in a log that ends at `last_s`.
    pub(super) fn fate(&self, last_s: f64) -> Fate {
        let Some(objective_s) = self.objective_s.filter(|_| !self.is_cancelled) else {
            return Fate::NotCounted;
        };
        let took_s = self.ended_s.unwrap_or(last_s) - self.accepted_s;
        match self.ended_s {
            Some(_) if took_s <= objective_s => Fate::InTime,
            Some(_) if took_s <= objective_s * USELESS_AFTER => Fate::Late,
            None if took_s <= objective_s => Fate::NotCounted,
            Some(_) | None => Fate::Useless,
        }
    }

    /// Gets the loss that the job is.
    pub(super) fn loss(&self, fate: Fate, leaders: &[f64], last_s: f64) -> Loss {
        Loss {
            queue: self.queue.clone(),
            team: self.team.clone(),
            at_s: self.accepted_s,
            fate,
            cause: self.cause(leaders, last_s),
        }
    }

    /// Gets by what the job lost: what took the most time beside its work.
    fn cause(&self, leaders: &[f64], last_s: f64) -> Cause {
        let started_s = self.first_start_s.unwrap_or(last_s);
        let advised_s = self.advised_s.unwrap_or(started_s).min(started_s);
        let again_s = if self.undone > 0 { self.last_start_s - started_s } else { 0.0 };
        let told_s = match (self.ended_s, self.last_end_s) {
            (Some(ended_s), Some(last_end_s)) => ended_s - last_end_s,
            _ => 0.0,
        };
        let waits = [
            (advised_s - self.accepted_s, Cause::Advice),
            (started_s - advised_s, Cause::Room),
            (again_s, Cause::DoneAgain),
            (told_s, Cause::EndTold),
        ];
        let objective_s = self.objective_s.unwrap_or_default();
        let longest = waits.into_iter().max_by(|(a, _), (b, _)| a.total_cmp(b));
        let Some((wait_s, cause)) = longest else {
            return Cause::Work;
        };
        // Without that wait it would have been late all the same.
        let took_s = self.ended_s.unwrap_or(last_s) - self.accepted_s;
        let is_of_little_weight = wait_s < (took_s - objective_s) / 2.0;
        if is_of_little_weight {
            return if self.ended_s.is_some() { Cause::Work } else { Cause::Unfinished };
        }
        let is_near = |taken_s: &f64| {
            (self.accepted_s - TAKEOVER_S..started_s).contains(taken_s)
                && started_s - taken_s < TAKEOVER_S
        };
        match cause {
            Cause::Advice | Cause::Room if leaders.iter().any(is_near) => Cause::Takeover,
            cause => cause,
        }
    }
}
