//! Handling of client requests.
//!
//! A frontend accepts a job by writing it to the key-value service itself, so
//! that acceptance does not depend on the leader. The placer reads the job from
//! there.

use std::{sync::Arc, time::Duration};

use base::{Failure, Name, Result, clock, emit};
use tokio::time;
use work::{Config, JobState, Policy, Progress, Schedule, Spec, Step};

use crate::{
    context::{Context, RESEND_BACKOFF, RETRY_AFTER},
    decode::decode,
    intake::Gate,
    keys,
    metrics::Metrics,
    writes,
};

/// Time reserved for the answer to reach the client. Links to clients take 3
/// ms, and a busy weak instance takes about 10 ms.
const RESPONSE_MARGIN: Duration = Duration::from_millis(50);

/// Timeout of the check whether a job refused by its queue is a repeated
/// request. The key-value service normally answers in a few milliseconds, and
/// in about 300 ms when it is slow.
const DUPLICATE_CHECK_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum age of the queue status received from the leader.
const MAX_QUEUES_AGE: Duration = Duration::from_millis(2500);

/// Delay after which a client may repeat a request for a pool that is evacuated as
/// a whole. An evacuation lasts long compared with a job, and each attempt costs a
/// read of the key-value service.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Handler of client requests.
#[derive(Clone)]
pub struct Frontend {
    ctx: Arc<Context>,
}

/// Outcome of admission control: the queue and its rules for one request.
#[derive(Debug)]
pub struct Admission {
    /// Name of the queue.
    queue: Name,
    /// Length of the path prefix of the queue, in bytes.
    pub prefix_bytes: usize,
    policy: Policy,
    team: Name,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
}

impl Admission {
    /// Returns whether the request had a valid key.
    pub fn has_key(&self) -> bool {
        !self.team.is_empty()
    }
}

impl Frontend {
    pub(crate) fn new(ctx: Arc<Context>) -> Self {
        Self { ctx }
    }

    /// Returns whether this instance can serve clients.
    pub fn is_ready(&self) -> bool {
        let age = self.ctx.configs.age(clock::now());
        !self.ctx.is_stopping()
            && self.ctx.configs.current().version > 0
            && self.ctx.knows_evacuations()
            && age < self.ctx.settings.max_config_age()
    }

    /// Returns the entry of all connections to this process.
    pub fn gate(&self) -> &Arc<Gate> {
        &self.ctx.gate
    }

    /// Returns the maximum size of a stored job, in bytes.
    pub fn max_record_bytes(&self) -> usize {
        self.ctx.settings.limits.job_bytes
    }

    /// Returns whether open client connections should be closed.
    pub fn is_closing(&self) -> bool {
        self.ctx.is_stopping()
    }

    /// Waits until new requests are no longer accepted.
    pub async fn closed(&self) {
        // The sender lives in the context, so the channel cannot be closed.
        let _ = self.ctx.closing.subscribe().wait_for(|closing| *closing).await;
    }

    /// Returns the metrics of this instance in the OpenMetrics text format.
    pub fn metrics(&self) -> String {
        self.ctx.metrics.text()
    }

    /// Finds the queue of a request and checks the key.
    ///
    /// # Errors
    /// Fails without effect. The failure is temporary while the configuration
    /// is unknown or unconfirmed, and permanent if there is no such queue or
    /// the key is unknown.
    pub fn admit(&self, host: &str, path: &str, key: Option<&str>) -> Result<Admission> {
        let config: Arc<Config> = self.ctx.configs.current();
        if config.version == 0 {
            return Err(Failure::busy(RETRY_AFTER, "there is no configuration yet"));
        }
        if !self.ctx.knows_evacuations() {
            return Err(Failure::busy(RETRY_AFTER, "the evacuations aren't known yet"));
        }
        let Some(queue) = config.queue(host, path) else {
            self.check_config_age(&config, self.ctx.settings.max_refusal_age())?;
            return Err(Failure::not_found("there is no such queue"));
        };
        let team = if queue.is_public { None } else { Some(self.team(&config, key)?) };
        Ok(Admission {
            queue: queue.name.clone(),
            prefix_bytes: queue.prefix.len(),
            policy: queue.policy.clone(),
            team: team.unwrap_or_default(),
            max_body_bytes: config.limits.max_body_bytes,
        })
    }

    fn team(&self, config: &Config, key: Option<&str>) -> Result<Name> {
        self.check_config_age(config, self.ctx.settings.max_config_age())?;
        if let Some(team) = key.and_then(|key| config.keys.get(key)) {
            return Ok(team.clone());
        }
        self.check_config_age(config, self.ctx.settings.max_refusal_age())?;
        Err(Failure::denied("the key is not known"))
    }

    /// Fails temporarily if the configuration was last confirmed `max_age` ago or
    /// earlier.
    fn check_config_age(&self, config: &Config, max_age: Duration) -> Result<()> {
        let age = self.ctx.configs.age(clock::now());
        if age < max_age {
            return Ok(());
        }
        emit!(self.ctx.log, warn, ConfigUnconfirmed; "age_ms" => age.as_millis() as u64,
            "version" => config.version);
        Err(Failure::busy(RETRY_AFTER, "the configuration can't be confirmed"))
    }

    /// Accepts a job and records it.
    ///
    /// # Errors
    /// Fails with the verdict "not run" only if it is certain that the job is
    /// not recorded and never will be.
    pub async fn submit(
        &self,
        admission: Admission,
        id: &Name,
        payload: Name,
        schedule: Option<Schedule>,
        steps: Vec<Step>,
        time_left: Duration,
    ) -> Result<()> {
        let spec = Spec {
            queue: admission.queue,
            policy: admission.policy,
            team: admission.team,
            payload,
            accepted_unix_ms: clock::unix_ms(),
            schedule,
            steps,
        };
        let outcome = self.record_job(id, &spec, time_left).await;
        Metrics::count(&self.ctx.metrics.requests, "submit", outcome_of(&outcome));
        match &outcome {
            Ok(()) => {
                emit!(self.ctx.log, info, JobAccepted; "job" => %id, "queue" => %spec.queue,
                    "team" => %spec.team, "steps" => spec.steps.len(), "tasks" => spec.task_count(),
                    "objective_ms" => plan::job_objective_ms(&spec.steps, &spec.policy));
                self.ctx.states.merge([(id.clone(), JobState::Queued)], clock::now());
            }
            Err(failure) => self.log_failure("submit", id, failure),
        }
        outcome
    }

    /// Records a job unless it is malformed or refused by its queue.
    async fn record_job(&self, id: &Name, spec: &Spec, time_left: Duration) -> Result<()> {
        if let Some(fault) = spec.invalid_reason() {
            return Err(Failure::invalid(fault));
        }
        let started_at = clock::now();
        if let Some((after, reason)) = self.refusal(spec) {
            match self.state(id, time_left.min(DUPLICATE_CHECK_TIMEOUT)).await {
                // The job was accepted before, so the request is a repeat.
                Ok(Some(_)) => {}
                Ok(None) => return Err(Failure::busy(after, reason)),
                // The job may already be recorded, so "not run" would be wrong. If
                // it is not recorded, it must not be recorded now.
                Err(_) => {
                    let reason = "the queue refuses, and whether the job is a repeat is unknown";
                    return Err(Failure::unknown(reason));
                }
            }
        }
        let write_timeout =
            self.write_timeout(time_left).saturating_sub(clock::now().saturating_sub(started_at));
        if write_timeout.is_zero() {
            // An earlier request with this id may have been recorded.
            return Err(Failure::unknown("the client's time is up"));
        }
        let outcome = writes::submit(&self.ctx, id, spec, write_timeout).await;
        Metrics::observe(&self.ctx.metrics.write_time, clock::now().saturating_sub(started_at));
        outcome
    }

    /// Cancels a job. Returns whether there is such a job.
    ///
    /// # Errors
    /// Fails if the cancellation is not recorded, or if that is unknown.
    pub async fn cancel(&self, id: &Name, time_left: Duration) -> Result<bool> {
        match self.state(id, time_left).await? {
            None => return Ok(false),
            // A finished job needs no cancellation.
            Some(state) if state.is_final() => return Ok(true),
            Some(_) => {}
        }
        let outcome = writes::cancel(&self.ctx, id, self.write_timeout(time_left)).await;
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

    /// Returns the state of a job; `None` if there is no such job.
    ///
    /// # Errors
    /// Fails if the state cannot be determined for now.
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

    /// Returns the number of jobs of a queue of which no task has started.
    ///
    /// # Errors
    /// Fails if the leader's last queue status is too old.
    pub fn pending(&self, admission: &Admission) -> Result<u32> {
        let now = clock::now();
        match self.ctx.states.pending(&admission.queue) {
            Some((count, at)) if now.saturating_sub(at) < MAX_QUEUES_AGE => Ok(count),
            Some(_) | None => Err(Failure::busy(RETRY_AFTER, "the leader does not answer")),
        }
    }

    /// Logs and counts a request that was refused before it had an id.
    pub fn log_refusal(&self, host: &str, path: &str, failure: &Failure) {
        Metrics::count(&self.ctx.metrics.requests, "any", "refused");
        emit!(self.ctx.log, info, RequestRefused; "host" => host, "path" => path,
            "why" => &failure.reason, "verdict" => %failure.verdict,
            "version" => self.ctx.configs.current().version,
            "config_age_ms" => self.ctx.configs.age(clock::now()).as_millis() as u64);
    }

    /// Returns the delay after which the queue may accept the job, with the reason
    /// of the refusal, or `None` if the queue accepts the job now.
    fn refusal(&self, spec: &Spec) -> Option<(Duration, &'static str)> {
        let evacuations = self.ctx.evacuations.current();
        if self.ctx.states.is_evacuated(&spec.policy.service, &evacuations) {
            return Some((EVACUATED_RETRY_AFTER, "all data centres of the pool are evacuated"));
        }
        // Scheduled and long-running jobs do not compete with the current backlog.
        if spec.schedule.is_some() || spec.steps.iter().any(|step| step.long_running) {
            return None;
        }
        let (after, received_at) = self.ctx.states.refusal(&spec.queue)?;
        let age = clock::now().saturating_sub(received_at);
        let reason = "the queue has more work than can be done in time";
        (age < MAX_QUEUES_AGE).then_some((after, reason))
    }

    /// Reads the state of a job from the key-value service.
    async fn recorded_state(&self, id: &str, time_left: Duration) -> Result<Option<JobState>> {
        let (job, progress) = (keys::job(id), keys::progress(id));
        let store = &self.ctx.services.store;
        // The job must be read before its progress: the write that records the end
        // of a job also removes the job's key.
        let read = async {
            loop {
                let found = async { Ok((store.get(&job).await?, store.get(&progress).await?)) };
                match found.await {
                    Ok(found) => return found,
                    Err::<_, platform::Error>(_) => time::sleep(RESEND_BACKOFF).await,
                }
            }
        };
        let (job, progress) = time::timeout(time_left.saturating_sub(RESPONSE_MARGIN), read)
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

    fn write_timeout(&self, time_left: Duration) -> Duration {
        time_left.saturating_sub(RESPONSE_MARGIN)
    }

    fn log_failure(&self, request: &str, id: &str, failure: &Failure) {
        if failure.is_not_run() {
            emit!(self.ctx.log, warn, RequestRefused; "request" => request, "job" => id,
                "why" => &failure.reason, "verdict" => %failure.verdict);
        } else {
            emit!(self.ctx.log, warn, RequestOutcomeUnknown; "request" => request, "job" => id,
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
