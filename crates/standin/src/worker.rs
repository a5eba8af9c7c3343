//! Stand-in for a worker.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use base::{Failure, Resources};
use serde::Deserialize;
use tokio::{sync::watch, time};
use tonic::{Request, Response, Status};
use wire::{
    pb::{self, AttemptState, target_server::Target},
    status_of,
};

use crate::{
    fault::{Fault, Faults},
    layout::Group,
    observer::{Observer, Task},
    stamp::{Fence, now_ms},
};

/// Interval between checks for attempts that have ended.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Back-off that callers are told to observe after a refused request.
const RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// Behaviour of a task, as JSON in the task's payload.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Payload {
    /// Run time in milliseconds: the declared one if absent, unlimited if 0.
    run_ms: Option<u64>,
    /// Whether the task fails at its end.
    fail: bool,
    /// Whether the task may run at most once; the observer counts further runs.
    once: bool,
    /// Team that the observer counts the task for.
    team: String,
}

#[derive(Debug)]
struct Attempt {
    id: pb::AttemptId,
    state: AttemptState,
    size: Resources,
    end_ms: Option<u64>,
    payload: Payload,
}

impl Attempt {
    fn task(&self) -> Task {
        (self.id.job.clone(), self.id.index)
    }
}

#[derive(Debug, Default)]
struct State {
    fence: Fence,
    boot: u64,
    lease_end_ms: u64,
    attempts: BTreeMap<(String, u32, u32), Attempt>,
}

/// Worker that runs simulated tasks under the lease of its owner.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    name: String,
    group: Arc<Group>,
    capacity: Resources,
    faults: Faults,
    observer: Observer,
    state: Arc<Mutex<State>>,
    revision: watch::Sender<u64>,
}

impl Worker {
    pub(crate) fn new(name: String, group: Arc<Group>, faults: Faults, observer: Observer) -> Self {
        let capacity = Resources {
            cpu_milli: group.cpu_milli,
            memory_mib: group.memory_mib,
            accelerators: group.accelerators,
        };
        let state = State { boot: now_ms(), ..Default::default() };
        Self {
            name,
            group,
            capacity,
            faults,
            observer,
            state: Arc::new(Mutex::new(state)),
            revision: watch::Sender::new(1),
        }
    }

    /// Ends attempts as they complete, and all attempts when the lease lapses.
    pub(crate) async fn run_attempts(self) {
        let mut ticks = time::interval(TICK_INTERVAL);
        loop {
            ticks.tick().await;
            let now = now_ms();
            let mut state = self.lock();
            let is_lapsed = now > state.lease_end_ms;
            let mut is_changed = false;
            for attempt in state.attempts.values_mut() {
                if attempt.state != AttemptState::Running {
                    continue;
                }
                let is_done = attempt.end_ms.is_some_and(|end| now >= end);
                let ended = match (is_done, is_lapsed) {
                    (true, _) if attempt.payload.fail => AttemptState::Failed,
                    (true, _) => AttemptState::Succeeded,
                    (false, true) => AttemptState::Lapsed,
                    (false, false) => continue,
                };
                self.end(attempt, ended);
                is_changed = true;
            }
            if is_changed {
                self.bump_revision();
            }
        }
    }

    fn end(&self, attempt: &mut Attempt, state: AttemptState) {
        attempt.state = state;
        self.observer.record_end(&attempt.task(), &attempt.payload.team, &attempt.size);
    }

    fn bump_revision(&self) {
        self.revision.send_modify(|revision| *revision += 1);
    }

    fn report(&self) -> pb::ClaimReply {
        let state = self.lock();
        let attempts = state.attempts.values().map(|attempt| pb::AttemptReport {
            id: Some(attempt.id.clone()),
            state: attempt.state.into(),
            size: Some(attempt.size.into()),
            usage: Some(attempt.size.into()),
        });
        pb::ClaimReply {
            now_ms: now_ms(),
            boot: state.boot,
            revision: *self.revision.borrow(),
            capacity: Some(self.capacity.into()),
            kind: self.group.kind.clone(),
            labels: self.group.labels.clone(),
            attempts: attempts.collect(),
            slots: 0,
            services: Vec::new(),
            calls: Vec::new(),
        }
    }

    fn start_attempt(&self, state: &mut State, start: pb::AttemptStart) -> pb::Refusal {
        let Some(id) = start.id else {
            return pb::Refusal::Failed;
        };
        let key = (id.job.clone(), id.index, id.attempt);
        if state.attempts.contains_key(&key) {
            return pb::Refusal::None;
        }
        if self.faults.get(&self.name) == Fault::FailStarts {
            return pb::Refusal::Failed;
        }
        let size: Resources = start.size.unwrap_or_default().into();
        let running = state.attempts.values().filter(|a| a.state == AttemptState::Running);
        let used = running.fold(Resources::ZERO, |sum, attempt| sum + attempt.size);
        // The worker starts every attempt without a check of its capacity. The
        // owner is responsible for capacity, and the observer counts violations.
        let is_overcommitted = !(used + size).fits(&self.capacity);
        let payload: Payload = serde_json::from_slice(&start.payload).unwrap_or_default();
        let run_ms = payload.run_ms.unwrap_or(u64::from(start.declared_run_ms));
        let end_ms = (run_ms > 0).then(|| now_ms() + run_ms);
        let attempt = Attempt { id, state: AttemptState::Running, size, end_ms, payload };
        let (once, team) = (attempt.payload.once, &attempt.payload.team);
        self.observer.record_start(
            &self.name,
            &attempt.task(),
            once,
            team,
            &size,
            is_overcommitted,
        );
        state.attempts.insert(key, attempt);
        pb::Refusal::None
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Applies the faults that take effect before the execution of a request.
    async fn admit(&self) -> Result<(), Status> {
        self.faults.delay_request(&self.name).await;
        match self.faults.get(&self.name) {
            Fault::Down => Err(status_of(&Failure::busy(RETRY_BACKOFF, "the worker is down"))),
            _ => Ok(()),
        }
    }

    /// Returns the answer to an order, or an error if the answer is lost.
    fn reply<T>(&self, value: T) -> Result<Response<T>, Status> {
        match self.faults.get(&self.name) {
            Fault::LostAnswer => Err(Status::unavailable("the answer was lost")),
            _ => Ok(Response::new(value)),
        }
    }
}

#[tonic::async_trait]
impl Target for Worker {
    async fn claim(
        &self,
        request: Request<pb::ClaimRequest>,
    ) -> Result<Response<pb::ClaimReply>, Status> {
        self.admit().await?;
        let request = request.into_inner();
        let stamp = request.stamp.unwrap_or_default();
        {
            let mut state = self.lock();
            state.fence.claim(&stamp, &self.observer)?;
            if request.lease_ms > 0 {
                state.lease_end_ms = now_ms() + u64::from(request.lease_ms);
            }
            for id in request.forget {
                state.attempts.remove(&(id.job, id.index, id.attempt));
            }
        }
        let mut revision = self.revision.subscribe();
        let changed = revision.wait_for(|now| *now != request.seen_revision);
        let wait = Duration::from_millis(u64::from(request.wait_ms));
        let _ = time::timeout(wait, changed).await;
        // The worker may have become silent during the wait.
        self.faults.delay_request(&self.name).await;
        let report = self.report();
        if let Fault::Lagging(delay) = self.faults.get(&self.name) {
            time::sleep(delay).await;
        }
        Ok(Response::new(report))
    }

    async fn start(
        &self,
        request: Request<pb::StartRequest>,
    ) -> Result<Response<pb::StartReply>, Status> {
        self.admit().await?;
        let request = request.into_inner();
        let reply = {
            let mut state = self.lock();
            state.fence.check(&request.stamp.unwrap_or_default(), &self.observer)?;
            if now_ms() > state.lease_end_ms {
                return Err(status_of(&Failure::busy(RETRY_BACKOFF, "the lease has lapsed")));
            }
            let outcomes =
                request.starts.into_iter().map(|s| self.start_attempt(&mut state, s).into());
            pb::StartReply { outcomes: outcomes.collect() }
        };
        self.bump_revision();
        self.reply(reply)
    }

    async fn control(
        &self,
        request: Request<pb::ControlRequest>,
    ) -> Result<Response<pb::ControlReply>, Status> {
        self.admit().await?;
        let request = request.into_inner();
        {
            let mut state = self.lock();
            state
                .fence
                .check(request.stamp.as_ref().unwrap_or(&Default::default()), &self.observer)?;
            let is_stop = request.action() != pb::ControlAction::Throttle;
            for id in &request.ids {
                let attempt = state.attempts.get_mut(&(id.job.clone(), id.index, id.attempt));
                if let Some(attempt) = attempt
                    && is_stop
                    && attempt.state == AttemptState::Running
                {
                    self.end(attempt, AttemptState::Stopped);
                }
            }
        }
        self.bump_revision();
        self.reply(pb::ControlReply {})
    }
}
