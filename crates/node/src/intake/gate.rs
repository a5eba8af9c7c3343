//! Ledger shared by the ports of a process.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use base::{Failure, clock, emit};
use slog::Logger;
use tokio::sync::Notify;

use super::{
    budget::{Budget, Port},
    ledger::{Charge, Id, Ledger, Refusal},
};
use crate::{
    context::RETRY_AFTER,
    metrics::{Gates, Metrics},
};

/// Time between two log lines about refusals.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Entry of all connections of a process.
#[derive(Debug)]
pub struct Gate {
    state: Mutex<State>,
    metrics: Gates,
    log: Logger,
}

#[derive(Debug)]
struct State {
    ledger: Ledger,
    /// Signals to the tasks of connections that have to be closed.
    signals: HashMap<Id, Arc<Notify>>,
    /// Refusals that were not logged yet.
    unlogged: HashMap<(Port, Refusal), u64>,
    logged_at: Duration,
    accept_logged_at: Duration,
}

/// Open connection.
#[derive(Debug)]
pub struct Pass {
    gate: Arc<Gate>,
    id: Id,
    port: Port,
    closed: Arc<Notify>,
}

impl Gate {
    pub(crate) fn new(budget: Budget, metrics: Gates, log: Logger) -> Arc<Self> {
        let state = State {
            ledger: Ledger::new(budget),
            signals: HashMap::new(),
            unlogged: HashMap::new(),
            logged_at: Duration::ZERO,
            accept_logged_at: Duration::ZERO,
        };
        Arc::new(Self { state: Mutex::new(state), metrics, log })
    }

    /// Admits a connection, or returns `None` if it must be closed.
    pub fn open(self: &Arc<Self>, port: Port) -> Option<Arc<Pass>> {
        let mut state = self.lock();
        match state.ledger.open(port, clock::now()) {
            Ok((id, evicted)) => {
                self.disconnect(&mut state, port, Refusal::Evicted, evicted);
                let closed = Arc::new(Notify::new());
                state.signals.insert(id, Arc::clone(&closed));
                Some(Arc::new(Pass { gate: Arc::clone(self), id, port, closed }))
            }
            Err(refusal) => {
                self.count(&mut state, port, refusal);
                None
            }
        }
    }

    /// Notes that a connection could not be accepted, usually for lack of
    /// descriptors, and closes one to free a descriptor.
    pub fn accept_failed(&self, port: Port, error: &std::io::Error) {
        let mut state = self.lock();
        let shed = state.ledger.shed();
        self.disconnect(&mut state, port, Refusal::Evicted, shed);
        let now = clock::now();
        if now.saturating_sub(state.accept_logged_at) >= LOG_INTERVAL {
            state.accept_logged_at = now;
            emit!(self.log, warn, AcceptFailed; "port" => port.name(), "error" => %error);
        }
    }

    /// Returns the size of the read buffer of a connection.
    pub fn read_buffer(&self) -> usize {
        self.lock().ledger.budget().read_buffer
    }

    /// Closes connections whose time is up, and logs refusals.
    pub(crate) fn sweep(&self, budget: Budget) {
        let now = clock::now();
        let mut state = self.lock();
        state.ledger.set_budget(budget);
        for (id, port, refusal) in state.ledger.overdue(now) {
            self.disconnect(&mut state, port, refusal, [id]);
        }
        for port in Port::ALL {
            self.metrics.set_connections(port.name(), state.ledger.connections(port));
        }
        let (held, link_held) = state.ledger.held();
        self.metrics.set_held(held, link_held);
        if !state.unlogged.is_empty() && now.saturating_sub(state.logged_at) >= LOG_INTERVAL {
            state.logged_at = now;
            let refusals = state.unlogged.drain();
            let counts: Vec<String> = refusals
                .map(|((port, refusal), count)| {
                    format!("{} {} {count}", port.name(), refusal.name())
                })
                .collect();
            emit!(self.log, warn, ClientsLimited; "refusals" => counts.join(", "),
                "connections" => state.ledger.connections(Port::Clients),
                "held_bytes" => held, "link_bytes" => link_held);
        }
    }

    fn disconnect(
        &self,
        state: &mut State,
        port: Port,
        refusal: Refusal,
        ids: impl IntoIterator<Item = Id>,
    ) {
        for id in ids {
            if let Some(closed) = state.signals.remove(&id) {
                closed.notify_one();
            }
            self.count(state, port, refusal);
        }
    }

    fn count(&self, state: &mut State, port: Port, refusal: Refusal) {
        Metrics::count(&self.metrics.refusals, port.name(), refusal.name());
        *state.unlogged.entry((port, refusal)).or_default() += 1;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while holding the lock")
    }
}

impl Pass {
    /// Waits until the connection has to be closed.
    pub async fn closed(&self) {
        self.closed.notified().await;
    }

    /// Notes that a head is complete.
    pub fn begin_body(&self) {
        self.gate.lock().ledger.begin_body(self.id, clock::now());
    }

    /// Notes that a request is complete.
    pub fn begin_answer(&self) {
        self.gate.lock().ledger.begin_answer(self.id);
    }

    /// Notes that a request is answered, and whether it was served or refused.
    pub fn finish(&self, is_served: bool) {
        self.gate.lock().ledger.finish(self.id, is_served, clock::now());
    }

    /// Notes that the client has shown a valid key.
    pub fn trust(&self) {
        self.gate.lock().ledger.trust(self.id);
    }

    /// Counts a refusal that the caller of this function decided.
    pub fn refuse(&self, refusal: Refusal) {
        self.gate.count(&mut self.gate.lock(), self.port, refusal);
    }

    /// Returns the time within which a body must be complete at the latest.
    pub fn body_timeout(&self) -> Duration {
        self.gate.lock().ledger.budget().idle_timeout
    }

    /// Notes the end of a link's message.
    pub(crate) fn settle(&self) {
        self.gate.lock().ledger.settle(self.id);
    }

    /// Notes received bytes. Returns whether the connection may go on.
    pub(super) fn receive(&self, bytes: usize) -> bool {
        let mut state = self.gate.lock();
        match state.ledger.receive(self.id, bytes, clock::now()) {
            Ok(()) => true,
            // Counted when it was decided.
            Err(Refusal::Evicted) => false,
            Err(refusal) => {
                self.gate.count(&mut state, self.port, refusal);
                false
            }
        }
    }

    /// Charges the connection for bytes.
    ///
    /// # Errors
    /// Fails temporarily if there is no room.
    pub(super) fn charge(&self, bytes: usize) -> Result<(), Failure> {
        let mut state = self.gate.lock();
        match state.ledger.charge(self.id, bytes, clock::now()) {
            Charge::Granted(victims) => {
                self.gate.disconnect(&mut state, self.port, Refusal::Stalled, victims);
                Ok(())
            }
            Charge::Refused => {
                self.gate.count(&mut state, self.port, Refusal::NoRoom);
                Err(Failure::busy(RETRY_AFTER, "the instance has no room for the request"))
            }
        }
    }

    pub(super) fn release(&self, bytes: usize) {
        self.gate.lock().ledger.release(self.id, bytes);
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.ledger.close(self.id);
        state.signals.remove(&self.id);
    }
}
