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

use crate::{context::RETRY_AFTER, link::PeerFrame};

/// An `Uplink` is the way from a front to the leader, while there is one.
#[derive(Debug, Default)]
pub(crate) struct Uplink {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    sender: Option<mpsc::UnboundedSender<PeerFrame>>,
    pending: HashMap<u64, oneshot::Sender<Result<()>>>,
    last_number: u64,
}

/// An `Open` closes the way when it is dropped.
pub(crate) struct Connection<'a>(&'a Uplink);

impl Drop for Connection<'_> {
    fn drop(&mut self) {
        // Those who wait learn that there will be no answer.
        let mut state = self.0.lock();
        state.sender = None;
        state.pending.clear();
    }
}

impl Uplink {
    /// Opens the way.
    pub(crate) fn open(&self, sender: mpsc::UnboundedSender<PeerFrame>) -> Connection<'_> {
        self.lock().sender = Some(sender);
        Connection(self)
    }

    /// Tells the leader something, if there is a way.
    pub(crate) fn send(&self, frame: PeerFrame) {
        if let Some(sender) = &self.lock().sender {
            // The leader finds it in the key-value service all the same.
            let _ = sender.send(frame);
        }
    }

    /// Has the leader make a change, which `request` makes a frame of.
    ///
    /// # Errors
    /// Fails without effect if there is no way. If there is no answer, the
    /// change may have been made.
    pub(crate) async fn request(
        &self,
        frame: impl FnOnce(u64) -> PeerFrame,
        timeout: Duration,
    ) -> Result<()> {
        let (responder, answer) = oneshot::channel();
        let number = {
            let mut state = self.lock();
            let unreachable = || Failure::busy(RETRY_AFTER, "the leader can't be reached");
            let sender = state.sender.clone().ok_or_else(unreachable)?;
            state.last_number += 1;
            let number = state.last_number;
            sender.send(frame(number)).map_err(|_| unreachable())?;
            state.pending.insert(number, responder);
            number
        };
        let answer = time::timeout(timeout, answer).await;
        self.lock().pending.remove(&number);
        match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(Failure::unknown("the leader did not answer")),
        }
    }

    /// Takes in the answer to a request.
    pub(crate) fn complete(&self, number: u64, outcome: Result<()>) {
        if let Some(responder) = self.lock().pending.remove(&number) {
            // Whoever asked may have given up.
            let _ = responder.send(outcome);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
