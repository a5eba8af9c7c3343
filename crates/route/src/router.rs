//! Slots for calls, with a queue for those that find none.

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
    queue::{Discipline, Queue, Ticket},
    table::{Runner, Table},
};

/// Calls that may wait for each slot of a service before more are refused.
const WAITING_PER_SLOT: usize = 64;

/// Calls that may wait for a service in any case.
const LEAST_WAITING: usize = 256;

/// Weight of the past in the mean time of a call, in eighths.
const MEAN_KEEP_EIGHTHS: u32 = 7;

/// Time after which a caller may come back where nothing is known.
const DEFAULT_RETRY: Duration = Duration::from_millis(200);

/// A `SlotRequest` is what a call asks of a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest<'a> {
    /// Service that the runner must serve.
    pub service: &'a Name,
    /// Data centre that is preferred.
    pub data_centre: &'a str,
    /// How soon the call has to start.
    pub urgency: Urgency,
    /// When the call arrived, on the timer's clock; its rank in the queue.
    pub arrived: Duration,
    /// Time left until the call's deadline.
    pub time_left: Duration,
    /// Longest time to wait for a slot here.
    pub max_wait: Duration,
    /// Runners that have failed the call already.
    pub avoid: &'a [Name],
}

/// A `Router` is the account of the runners that an instance owns.
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
    means: HashMap<Name, Duration>,
}

impl<H: Clone> State<H> {
    fn load(&self, service: &str) -> Load {
        let (slots, free) = self.table.capacity(service);
        let waiting = self.waiting.get(service).map_or(0, Queue::len) as u32;
        Load { slots, free, waiting }
    }
}

/// A `Waiter` is a call that waits for a slot.
#[derive(Debug)]
struct Waiter<H: Clone> {
    data_centre: Name,
    avoid: SmallVec<[Name; 2]>,
    sender: oneshot::Sender<Permit<H>>,
}

impl<H: Clone> Router<H> {
    /// Makes a router without runners.
    pub fn new(timer: Timer, discipline: Discipline) -> Self {
        let state =
            State { table: Table::default(), waiting: HashMap::new(), means: HashMap::new() };
        Self { timer, discipline, state: Arc::new(Mutex::new(state)) }
    }

    /// Adds a runner or replaces what is known of it.
    pub fn upsert(&self, runner: Runner<H>) {
        let services = runner.services.clone();
        self.lock().table.upsert(runner);
        self.hand_out(&services);
    }

    /// Ends new calls to a runner.
    pub fn close(&self, name: &str) {
        self.lock().table.close(name);
    }

    /// Forgets a runner.
    pub fn remove(&self, name: &str) {
        self.lock().table.remove(name);
    }

    /// Gets how busy each service is.
    pub fn loads(&self) -> BTreeMap<Name, Load> {
        let state = self.lock();
        let load = |service: &Name| (service.clone(), state.load(service));
        state.table.services().map(load).collect()
    }

    /// Gets how busy a service is.
    pub fn load(&self, service: &str) -> Load {
        self.lock().load(service)
    }

    /// Gets each runner with the calls that take its slots.
    pub fn runners(&self) -> Vec<(Runner<H>, u32)> {
        self.lock().table.runners().map(|(runner, busy)| (runner.clone(), busy)).collect()
    }

    /// Gets the mean time that calls of a service take; zero if none is known.
    pub fn mean_call_time(&self, service: &str) -> Duration {
        self.lock().means.get(service).copied().unwrap_or_default()
    }

    /// Takes a slot if one is free now and no call waits for it.
    pub fn try_acquire(&self, wish: &SlotRequest<'_>) -> Option<Permit<H>> {
        let mut state = self.lock();
        if state.waiting.get(wish.service).is_some_and(|queue| queue.len() > 0) {
            return None;
        }
        self.take(&mut state, wish.service, wish.data_centre, wish.avoid)
    }

    /// Waits for a slot.
    ///
    /// # Errors
    /// Fails at once if too many calls wait or if the wait would outlast the
    /// deadline, and otherwise when the deadline passes. The call has not run.
    pub async fn acquire(&self, wish: &SlotRequest<'_>) -> Result<Permit<H>> {
        if let Some(permit) = self.try_acquire(wish) {
            return Ok(permit);
        }
        let (ticket, turn) = self.enqueue(wish)?;
        let _place = Place { router: self, service: wish.service, ticket };
        match time::timeout(wish.max_wait, turn).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) | Err(_) => Err(Failure::busy(
                self.retry_after(wish.service),
                format!("no slot of {} became free before the deadline", wish.service),
            )),
        }
    }

    fn enqueue(&self, wish: &SlotRequest<'_>) -> Result<(Ticket, oneshot::Receiver<Permit<H>>)> {
        let mut state = self.lock();
        let (slots, _) = state.table.capacity(wish.service);
        let most = (slots as usize * WAITING_PER_SLOT).max(LEAST_WAITING);
        let mean = state.means.get(wish.service).copied().unwrap_or_default();
        let queue = state.waiting.entry(wish.service.clone()).or_default();
        let ahead = queue.len();
        // Without slots here nothing is known of the wait: a slot may come
        // from a runner that is about to change hands.
        let wait = match slots {
            0 => Duration::ZERO,
            slots => mean.saturating_mul(ahead as u32) / slots,
        };
        if ahead >= most || wait > wish.time_left {
            let after = wait.clamp(DEFAULT_RETRY, Duration::from_secs(30));
            return Err(Failure::busy(
                after,
                format!("{ahead} calls wait for {slots} slots of {}", wish.service),
            ));
        }
        let (sender, turn) = oneshot::channel();
        let waiter =
            Waiter { data_centre: wish.data_centre.into(), avoid: wish.avoid.into(), sender };
        let ticket = queue.push(self.discipline, wish.urgency, wish.arrived, waiter);
        Ok((ticket, turn))
    }

    /// Hands free slots of `services` to the calls that wait for them.
    fn hand_out(&self, services: &[Name]) {
        for service in services {
            while let Some((sender, permit)) = self.next_turn(service) {
                // A call that gave up meanwhile drops its permit, which frees
                // the slot again for the next one.
                drop(sender.send(permit));
            }
        }
    }

    fn next_turn(&self, service: &Name) -> Option<(oneshot::Sender<Permit<H>>, Permit<H>)> {
        let mut state = self.lock();
        if state.table.capacity(service).1 == 0 {
            return None;
        }
        let waiter = state.waiting.get_mut(service)?.pop()?;
        // A runner that failed the call before is better than none.
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
            began: None,
        })
    }

    fn retry_after(&self, service: &str) -> Duration {
        self.lock().means.get(service).copied().unwrap_or(DEFAULT_RETRY).max(DEFAULT_RETRY)
    }

    fn lock(&self) -> MutexGuard<'_, State<H>> {
        self.state.lock().expect("no holder panics")
    }
}

/// A `Place` is a call's place in the queue; dropping it leaves the queue.
struct Place<'a, H: Clone> {
    router: &'a Router<H>,
    service: &'a Name,
    ticket: Ticket,
}

impl<H: Clone> Drop for Place<'_, H> {
    fn drop(&mut self) {
        let mut state = self.router.lock();
        if let Some(queue) = state.waiting.get_mut(self.service) {
            queue.remove(self.ticket);
        }
    }
}

/// A `Permit` is one slot of a runner; dropping it frees the slot.
#[derive(Debug)]
pub struct Permit<H: Clone> {
    router: Router<H>,
    service: Name,
    /// The runner.
    pub runner: Name,
    /// The way to send it the call.
    pub handle: H,
    /// Runners that had a free slot.
    pub candidates: u32,
    /// When the call that has the slot was sent to the runner.
    began: Option<Duration>,
}

impl<H: Clone> Permit<H> {
    /// Notes that the call is sent to the runner. Its time, to the end of the
    /// permit, counts towards the mean of its service; that of a slot which no
    /// call used would draw the mean to zero.
    pub fn mark_sent(&mut self) {
        self.began = Some(self.router.timer.now());
    }

    /// Notes that the runner has not taken the call.
    pub fn clear_sent(&mut self) {
        self.began = None;
    }
}

impl<H: Clone> Drop for Permit<H> {
    fn drop(&mut self) {
        let services = {
            let mut state = self.router.lock();
            if let Some(began) = self.began {
                let took = self.router.timer.now().saturating_sub(began);
                let mean = state.means.entry(self.service.clone()).or_insert(took);
                *mean = (*mean * MEAN_KEEP_EIGHTHS + took) / (MEAN_KEEP_EIGHTHS + 1);
            }
            state.table.give_back(&self.runner)
        };
        self.router.hand_out(&services);
    }
}
