//! What clients ask for.
//!
//! A front accepts a job by recording it, whoever leads, so that acceptance
//! needs only the key-value service. The placer finds it there.

use std::{sync::Arc, time::Duration};

use base::{Failure, Name, Result, clock, emit};
use tokio::time;
use work::{Config, JobState, Policy, Progress, Schedule, Spec, Step};

use crate::{
    context::{Context, RESEND_PAUSE, RETRY_AFTER},
    decode::decode,
    keys,
    metrics::Metrics,
    writes,
};

/// Time that is left for the answer to reach the client: links to clients take
/// 3 ms, a weak instance that is busy some ten.
const ANSWER_TIME: Duration = Duration::from_millis(50);

/// Time to find out whether a job that its queue refuses is a repeat; the
/// service answers in milliseconds, and in some 300 ms when it is slow.
const REPEAT_TIME: Duration = Duration::from_millis(700);

/// Age up to which what the leader has told of the queues holds.
const QUEUES_AGE: Duration = Duration::from_millis(2500);

/// A `Front` serves the requests of clients.
#[derive(Clone)]
pub struct Front {
    ctx: Arc<Context>,
}

/// An `Admitted` is the right to a queue.
#[derive(Debug)]
pub struct Admitted {
    /// Name of the queue.
    queue: Name,
    /// Length of what the paths of the queue's requests begin with.
    pub prefix_length: usize,
    policy: Policy,
    team: Name,
    /// Most bytes of a body.
    pub body_bytes: usize,
}

impl Front {
    pub(crate) fn new(ctx: Arc<Context>) -> Self {
        Self { ctx }
    }

    /// Tells whether this instance can serve.
    pub fn is_ready(&self) -> bool {
        let age = self.ctx.configs.age(clock::now());
        !self.ctx.is_stopping()
            && self.ctx.configs.current().version > 0
            && age < self.ctx.settings.key_patience()
    }

    /// Tells whether open connections are to be closed.
    pub fn is_closing(&self) -> bool {
        self.ctx.is_stopping()
    }

    /// Waits until no new requests are to be taken.
    pub async fn closed(&self) {
        // The sender lives in the context, so the channel can't be closed.
        let _ = self.ctx.closing.subscribe().wait_for(|closing| *closing).await;
    }

    /// Gets the counters and times of this instance, in the OpenMetrics text
    /// format.
    pub fn metrics(&self) -> String {
        self.ctx.metrics.text()
    }

    /// Finds the queue of a request and checks the key.
    ///
    /// # Errors
    /// Fails without effect: for now while the configuration isn't known or
    /// confirmed, and for good if there is no such queue or the key is unknown.
    pub fn admit(&self, host: &str, path: &str, key: Option<&str>) -> Result<Admitted> {
        let config: Arc<Config> = self.ctx.configs.current();
        if config.version == 0 {
            return Err(Failure::busy(RETRY_AFTER, "there is no configuration yet"));
        }
        let Some(queue) = config.queue(host, path) else {
            return Err(Failure::missing("there is no such queue"));
        };
        let team = if queue.is_public { None } else { Some(self.team(&config, key)?) };
        Ok(Admitted {
            queue: queue.name.clone(),
            prefix_length: queue.prefix.len(),
            policy: queue.policy.clone(),
            team: team.unwrap_or_default(),
            body_bytes: config.limits.max_body_bytes,
        })
    }

    fn team(&self, config: &Config, key: Option<&str>) -> Result<Name> {
        let age = self.ctx.configs.age(clock::now());
        if age >= self.ctx.settings.key_patience() {
            emit!(self.ctx.log, warn, ConfigStale; "age_ms" => age.as_millis() as u64,
                "version" => config.version);
            return Err(Failure::busy(RETRY_AFTER, "keys can't be confirmed"));
        }
        key.and_then(|key| config.keys.get(key).cloned())
            .ok_or_else(|| Failure::denied("the key is not known"))
    }

    /// Accepts a job and records it.
    ///
    /// # Errors
    /// Fails with the verdict "not run" only if the job surely isn't recorded
    /// and never will be.
    pub async fn submit(
        &self,
        admitted: Admitted,
        id: &Name,
        payload: Name,
        schedule: Option<Schedule>,
        steps: Vec<Step>,
        time_left: Duration,
    ) -> Result<()> {
        let spec = Spec {
            queue: admitted.queue,
            policy: admitted.policy,
            team: admitted.team,
            payload,
            accepted_unix_ms: clock::unix_ms(),
            schedule,
            steps,
        };
        let outcome = self.record_job(id, &spec, time_left).await;
        Metrics::count(&self.ctx.metrics.requests, "submit", outcome_of(&outcome));
        match &outcome {
            Ok(()) => {
                let tasks: u32 = spec.steps.iter().map(|step| step.count).sum();
                emit!(self.ctx.log, info, JobAccepted; "job" => %id, "queue" => %spec.queue,
                    "team" => %spec.team, "steps" => spec.steps.len(), "tasks" => tasks,
                    "objective_ms" => plan::job_objective_ms(&spec.steps, &spec.policy));
                self.ctx.states.merge([(id.clone(), JobState::Queued)], clock::now());
            }
            Err(failure) => self.log_failure("submit", id, failure),
        }
        outcome
    }

    /// Records a job, unless it is malformed or its queue refuses it.
    async fn record_job(&self, id: &Name, spec: &Spec, time_left: Duration) -> Result<()> {
        if let Some(fault) = spec.invalid_reason() {
            return Err(Failure::fix(fault));
        }
        let began = clock::now();
        if let Some(after) = self.refusal(spec) {
            match self.state(id, time_left.min(REPEAT_TIME)).await {
                // A repeat of a job that was accepted.
                Ok(Some(_)) => {}
                Ok(None) => {
                    let why = "the queue has more work than can be done in time";
                    return Err(Failure::busy(after, why));
                }
                // It may be recorded, and if it isn't, it must not be now.
                Err(_) => {
                    let why = "the queue refuses, and whether the job is a repeat is unknown";
                    return Err(Failure::unknown(why));
                }
            }
        }
        let time_to_write =
            self.time_to_write(time_left).saturating_sub(clock::now().saturating_sub(began));
        if time_to_write.is_zero() {
            // An earlier request of this id may have been recorded.
            return Err(Failure::unknown("the client's time is up"));
        }
        let outcome = writes::submit(&self.ctx, id, spec, time_to_write).await;
        Metrics::observe(&self.ctx.metrics.write_time, clock::now().saturating_sub(began));
        outcome
    }

    /// Cancels a job; gets whether there is such a job.
    ///
    /// # Errors
    /// Fails if the cancellation surely isn't or may not be recorded.
    pub async fn cancel(&self, id: &Name, time_left: Duration) -> Result<bool> {
        match self.state(id, time_left).await? {
            None => return Ok(false),
            // There is nothing left to cancel.
            Some(state) if state.is_final() => return Ok(true),
            Some(_) => {}
        }
        let outcome = writes::cancel(&self.ctx, id, self.time_to_write(time_left)).await;
        Metrics::count(&self.ctx.metrics.requests, "cancel", outcome_of(&outcome));
        match outcome {
            Ok(()) => {
                emit!(self.ctx.log, info, JobCancelled; "job" => %id);
                self.ctx.states.merge([(id.clone(), JobState::Cancelled)], clock::now());
                Ok(true)
            }
            Err(failure) => {
                self.log_failure("cancel", id, &failure);
                Err(failure)
            }
        }
    }

    /// Gets the state of a job; `None` if there is no such job.
    ///
    /// # Errors
    /// Fails if that can't be found out for now.
    pub async fn state(&self, id: &Name, time_left: Duration) -> Result<Option<JobState>> {
        if let Some(state) = self.ctx.states.get(id) {
            return Ok(Some(state));
        }
        let recorded = self.recorded_state(id, time_left).await;
        let recorded = recorded.inspect_err(|failure| self.log_failure("state", id, failure))?;
        if let Some(state) = recorded {
            self.ctx.states.merge([(id.clone(), state)], clock::now());
        }
        Ok(recorded)
    }

    /// Gets the number of jobs of a queue that nothing has started of.
    ///
    /// # Errors
    /// Fails if it wasn't told for too long.
    pub fn pending(&self, admitted: &Admitted) -> Result<u32> {
        let now = clock::now();
        match self.ctx.states.pending(&admitted.queue) {
            Some((count, at)) if now.saturating_sub(at) < QUEUES_AGE => Ok(count),
            Some(_) | None => Err(Failure::busy(RETRY_AFTER, "the leader does not answer")),
        }
    }

    /// Logs and counts a request that was refused before it had an id.
    pub fn log_refused(&self, host: &str, path: &str, failure: &Failure) {
        Metrics::count(&self.ctx.metrics.requests, "any", "refused");
        emit!(self.ctx.log, info, RequestRefused; "host" => host, "path" => path,
            "why" => &failure.reason, "verdict" => %failure.verdict,
            "version" => self.ctx.configs.current().version);
    }

    /// Gets the time after which a queue takes a job that it doesn't for now.
    fn refusal(&self, spec: &Spec) -> Option<Duration> {
        // What runs at set times, or for good, doesn't wait for what waits now.
        if spec.schedule.is_some() || spec.steps.iter().any(|step| step.long_running) {
            return None;
        }
        let (after, told_at) = self.ctx.states.refusal(&spec.queue)?;
        let age = clock::now().saturating_sub(told_at);
        (age < QUEUES_AGE).then_some(after)
    }

    /// Reads the state of a job that this instance hasn't been told of.
    async fn recorded_state(&self, id: &str, time_left: Duration) -> Result<Option<JobState>> {
        let (job, progress) = (keys::job(id), keys::progress(id));
        let records = &self.ctx.edges.records;
        // One after the other: the job is removed with the record of its end.
        let read = async {
            loop {
                let found = async { Ok((records.get(&job).await?, records.get(&progress).await?)) };
                match found.await {
                    Ok(found) => return found,
                    Err::<_, platform::Error>(_) => time::sleep(RESEND_PAUSE).await,
                }
            }
        };
        let (job, progress) = time::timeout(time_left.saturating_sub(ANSWER_TIME), read)
            .await
            .map_err(|_| Failure::busy(RETRY_AFTER, "the key-value service does not answer"))?;
        Ok(match (job, progress) {
            (_, Some(entry)) => match decode::<Progress>(&self.ctx, &entry) {
                Some(progress) => Some(progress.state),
                None => return Err(Failure::busy(RETRY_AFTER, "the job's record can't be read")),
            },
            (Some(_), None) => Some(JobState::Queued),
            (None, None) => None,
        })
    }

    fn time_to_write(&self, time_left: Duration) -> Duration {
        time_left.saturating_sub(ANSWER_TIME)
    }

    fn log_failure(&self, request: &str, id: &str, failure: &Failure) {
        if failure.is_not_run() {
            emit!(self.ctx.log, warn, RequestRefused; "request" => request, "job" => id,
                "why" => &failure.reason, "verdict" => %failure.verdict);
        } else {
            emit!(self.ctx.log, warn, RequestUnknown; "request" => request, "job" => id,
                "why" => &failure.reason, "verdict" => %failure.verdict);
        }
    }
}

fn outcome_of(outcome: &Result<()>) -> &'static str {
    match outcome {
        Ok(()) => "done",
        Err(failure) if failure.is_not_run() => "refused",
        Err(_) => "unknown",
    }
}
