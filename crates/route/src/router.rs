//! Slots for calls, and queues of calls that wait for one.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use base::{Failure, Load, Name, Result, Timer};
use schema::Urgency;
use smallvec::SmallVec;
use tokio::{sync::oneshot, time};

use crate::{
    queue::{Discipline, Position, Queue},
    table::{Runner, Table},
};

/// Calls that may wait per slot of a service before further calls are refused.
const MAX_WAITING_PER_SLOT: usize = 64;

/// Lower bound of the waiting calls that a service accepts, however few slots it
/// has.
const MIN_WAITING_LIMIT: usize = 256;

/// Weight of earlier calls in the exponentially weighted mean call time, in
/// eighths.
const MEAN_HISTORY_EIGHTHS: u32 = 7;

/// Delay before a retry where the load gives no estimate, and the shortest delay
/// in all other cases.
const DEFAULT_RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// Requirements of a call on a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest<'a> {
    /// Service that the runner must serve.
    pub service: &'a Name,
    /// Preferred data centre.
    pub data_centre: &'a str,
    /// How soon the call has to start.
    pub urgency: Urgency,
    /// Arrival time of the call on the timer's clock; determines its rank in the
    /// queue.
    pub arrived: Duration,
    /// Time left until the deadline of the call.
    pub time_left: Duration,
    /// Longest time that the call waits for a slot of this router.
    pub max_wait: Duration,
    /// Runners on which earlier attempts at the call failed.
    pub avoid: &'a [Name],
}

/// Slots of the runners that an instance owns. Clones share their state.
#[derive(Debug)]
pub struct Router<H: Clone> {
    timer: Timer,
    discipline: Discipline,
    state: Arc<Mutex<State<H>>>,
}

impl<H: Clone> Clone for Router<H> {
    fn clone(&self) -> Self {
        Self {
            timer: self.timer.clone(),
            discipline: self.discipline,
            state: Arc::clone(&self.state),
        }
    }
}

#[derive(Debug)]
struct State<H: Clone> {
    table: Table<H>,
    waiting: HashMap<Name, Queue<Waiter<H>>>,
    mean_call_times: HashMap<Name, Duration>,
}

impl<H: Clone> State<H> {
    fn load(&self, service: &str) -> Load {
        let (slots, free) = self.table.capacity(service);
        let waiting = self.waiting.get(service).map_or(0, Queue::len) as u32;
        Load { slots, free, waiting }
    }
}

/// Call that waits for a slot.
#[derive(Debug)]
struct Waiter<H: Clone> {
    data_centre: Name,
    avoid: SmallVec<[Name; 2]>,
    sender: oneshot::Sender<Permit<H>>,
}

impl<H: Clone> Router<H> {
    /// Creates a router without runners.
    pub fn new(timer: Timer, discipline: Discipline) -> Self {
        let state = State {
            table: Table::default(),
            waiting: HashMap::new(),
            mean_call_times: HashMap::new(),
        };
        Self { timer, discipline, state: Arc::new(Mutex::new(state)) }
    }

    /// Adds a runner, or replaces the description of a known one.
    pub fn upsert(&self, runner: Runner<H>) {
        let services = runner.services.clone();
        self.lock().table.upsert(runner);
        self.serve_waiting(&services);
    }

    /// Stops sending new calls to a runner.
    pub fn close(&self, name: &str) {
        self.lock().table.close(name);
    }

    /// Removes a runner. Calls in flight at the runner keep their permits.
    pub fn remove(&self, name: &str) {
        self.lock().table.remove(name);
    }

    /// Returns the load of each service.
    pub fn loads(&self) -> BTreeMap<Name, Load> {
        let state = self.lock();
        let load = |service: &Name| (service.clone(), state.load(service));
        state.table.services().map(load).collect()
    }

    /// Returns the load of a service.
    pub fn load(&self, service: &str) -> Load {
        self.lock().load(service)
    }

    /// Returns each runner with the number of its slots in use.
    pub fn runners(&self) -> Vec<(Runner<H>, u32)> {
        self.lock().table.runners().map(|(runner, busy)| (runner.clone(), busy)).collect()
    }

    /// Returns the mean duration of the calls of a service; zero before the first
    /// call has ended.
    pub fn mean_call_time(&self, service: &str) -> Duration {
        self.lock().mean_call_times.get(service).copied().unwrap_or_default()
    }

    /// Takes a slot if one is free and no other call waits for the service.
    pub fn try_acquire(&self, request: &SlotRequest<'_>) -> Option<Permit<H>> {
        let mut state = self.lock();
        if state.waiting.get(request.service).is_some_and(|queue| queue.len() > 0) {
            return None;
        }
        self.take(&mut state, request.service, request.data_centre, request.avoid)
    }

    /// Waits for a slot.
    ///
    /// # Errors
    /// Fails immediately if too many calls wait or if the expected wait exceeds
    /// the time left until the deadline, and otherwise once the longest wait of
    /// the request has passed. In each case the call has not run.
    pub async fn acquire(&self, request: &SlotRequest<'_>) -> Result<Permit<H>> {
        if let Some(permit) = self.try_acquire(request) {
            return Ok(permit);
        }
        let (position, receiver) = self.enqueue(request)?;
        let _entry = QueueEntry { router: self, service: request.service, position };
        match time::timeout(request.max_wait, receiver).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) | Err(_) => Err(Failure::busy(
                self.retry_after(request.service),
                format!("no slot of {} became free before the deadline", request.service),
            )),
        }
    }

    fn enqueue(
        &self,
        request: &SlotRequest<'_>,
    ) -> Result<(Position, oneshot::Receiver<Permit<H>>)> {
        let mut state = self.lock();
        let (slots, _) = state.table.capacity(request.service);
        let max_waiting = (slots as usize * MAX_WAITING_PER_SLOT).max(MIN_WAITING_LIMIT);
        let mean = state.mean_call_times.get(request.service).copied().unwrap_or_default();
        let queue = state.waiting.entry(request.service.clone()).or_default();
        let ahead = queue.len();
        // Without slots the wait can't be estimated: this instance may be about
        // to take over a runner with free slots.
        let wait = match slots {
            0 => Duration::ZERO,
            slots => mean.saturating_mul(ahead as u32) / slots,
        };
        if ahead >= max_waiting || wait > request.time_left {
            let after = wait.clamp(DEFAULT_RETRY_BACKOFF, Duration::from_secs(30));
            return Err(Failure::busy(
                after,
                format!("{ahead} calls wait for {slots} slots of {}", request.service),
            ));
        }
        let (sender, receiver) = oneshot::channel();
        let waiter =
            Waiter { data_centre: request.data_centre.into(), avoid: request.avoid.into(), sender };
        let position = queue.push(self.discipline, request.urgency, request.arrived, waiter);
        Ok((position, receiver))
    }

    /// Gives free slots of `services` to the calls that wait for them.
    fn serve_waiting(&self, services: &[Name]) {
        for service in services {
            while let Some((sender, permit)) = self.next_waiting(service) {
                // If the call has stopped waiting, the permit is dropped, which
                // frees the slot for the next call.
                drop(sender.send(permit));
            }
        }
    }

    fn next_waiting(&self, service: &Name) -> Option<(oneshot::Sender<Permit<H>>, Permit<H>)> {
        let mut state = self.lock();
        if state.table.capacity(service).1 == 0 {
            return None;
        }
        let waiter = state.waiting.get_mut(service)?.pop()?;
        // A runner on which the call failed before is better than none.
        let permit = self
            .take(&mut state, service, &waiter.data_centre, &waiter.avoid)
            .or_else(|| self.take(&mut state, service, &waiter.data_centre, &[]))?;
        Some((waiter.sender, permit))
    }

    fn take(
        &self,
        state: &mut State<H>,
        service: &Name,
        data_centre: &str,
        avoid: &[Name],
    ) -> Option<Permit<H>> {
        let (runner, handle, candidates) = state.table.take(service, data_centre, avoid)?;
        Some(Permit {
            router: self.clone(),
            service: service.clone(),
            runner,
            handle,
            candidates,
            sent_at: None,
        })
    }

    fn retry_after(&self, service: &str) -> Duration {
        self.lock()
            .mean_call_times
            .get(service)
            .copied()
            .unwrap_or(DEFAULT_RETRY_BACKOFF)
            .max(DEFAULT_RETRY_BACKOFF)
    }

    fn lock(&self) -> MutexGuard<'_, State<H>> {
        self.state.lock().expect("no lock holder panics")
    }
}

/// Entry of a call in a queue; dropping it removes the call from the queue.
struct QueueEntry<'a, H: Clone> {
    router: &'a Router<H>,
    service: &'a Name,
    position: Position,
}

impl<H: Clone> Drop for QueueEntry<'_, H> {
    fn drop(&mut self) {
        let mut state = self.router.lock();
        if let Some(queue) = state.waiting.get_mut(self.service) {
            queue.remove(self.position);
        }
    }
}

/// Use of one slot of a runner; dropping it frees the slot.
#[derive(Debug)]
pub struct Permit<H: Clone> {
    router: Router<H>,
    service: Name,
    /// Name of the runner.
    pub runner: Name,
    /// Handle for sending calls to the runner.
    pub handle: H,
    /// Number of runners with a free slot when the permit was granted.
    pub candidates: u32,
    /// Time at which the call was sent to the runner.
    sent_at: Option<Duration>,
}

impl<H: Clone> Permit<H> {
    /// Records that the call is sent to the runner now. The time from here to the
    /// drop of the permit counts towards the mean call time of the service.
    /// Permits that were never used for a call are left out, as they would pull
    /// the mean towards zero.
    pub fn mark_sent(&mut self) {
        self.sent_at = Some(self.router.timer.now());
    }

    /// Records that the runner did not accept the call, which leaves the call out of
    /// the mean call time.
    pub fn clear_sent(&mut self) {
        self.sent_at = None;
    }
}

impl<H: Clone> Drop for Permit<H> {
    fn drop(&mut self) {
        let services = {
            let mut state = self.router.lock();
            if let Some(sent_at) = self.sent_at {
                let call_time = self.router.timer.now().saturating_sub(sent_at);
                let mean = state.mean_call_times.entry(self.service.clone()).or_insert(call_time);
                *mean = (*mean * MEAN_HISTORY_EIGHTHS + call_time) / (MEAN_HISTORY_EIGHTHS + 1);
            }
            state.table.release(&self.runner)
        };
        self.router.serve_waiting(&services);
    }
}
