//! The way from a front to the leader.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use base::{Failure, Result};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::{context::RETRY_AFTER, link::Up};

/// An `Uplink` is the way from a front to the leader, while there is one.
#[derive(Debug, Default)]
pub(crate) struct Uplink {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    up: Option<mpsc::UnboundedSender<Up>>,
    waiting: HashMap<u64, oneshot::Sender<Result<()>>>,
    last: u64,
}

/// An `Open` closes the way when it is dropped.
pub(crate) struct Open<'a>(&'a Uplink);

impl Drop for Open<'_> {
    fn drop(&mut self) {
        // Those who wait learn that there will be no answer.
        let mut state = self.0.lock();
        state.up = None;
        state.waiting.clear();
    }
}

impl Uplink {
    /// Opens the way.
    pub(crate) fn open(&self, up: mpsc::UnboundedSender<Up>) -> Open<'_> {
        self.lock().up = Some(up);
        Open(self)
    }

    /// Tells the leader something, if there is a way.
    pub(crate) fn tell(&self, up: Up) {
        if let Some(sender) = &self.lock().up {
            // The leader finds it in the key-value service all the same.
            let _ = sender.send(up);
        }
    }

    /// Has the leader make a change, which `request` makes a frame of.
    ///
    /// # Errors
    /// Fails without effect if there is no way. If there is no answer, the
    /// change may have been made.
    pub(crate) async fn ask(
        &self,
        request: impl FnOnce(u64) -> Up,
        timeout: Duration,
    ) -> Result<()> {
        let (sender, answer) = oneshot::channel();
        let number = {
            let mut state = self.lock();
            let unreachable = || Failure::busy(RETRY_AFTER, "the leader can't be reached");
            let up = state.up.clone().ok_or_else(unreachable)?;
            state.last += 1;
            let number = state.last;
            up.send(request(number)).map_err(|_| unreachable())?;
            state.waiting.insert(number, sender);
            number
        };
        let answer = time::timeout(timeout, answer).await;
        self.lock().waiting.remove(&number);
        match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(Failure::unknown("the leader did not answer")),
        }
    }

    /// Takes in the answer to a request.
    pub(crate) fn answered(&self, number: u64, outcome: Result<()>) {
        if let Some(waiting) = self.lock().waiting.remove(&number) {
            // Whoever asked may have given up.
            let _ = waiting.send(outcome);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
