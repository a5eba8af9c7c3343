//! Sending side of the link from a frontend to the leader.

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

/// Sending side of the link to the leader; closed while there is no link.
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

/// Guard that closes the uplink when dropped.
pub(crate) struct Connection<'a>(&'a Uplink);

impl Drop for Connection<'_> {
    fn drop(&mut self) {
        // Dropping the responders fails pending requests at once.
        let mut state = self.0.lock();
        state.sender = None;
        state.pending.clear();
    }
}

impl Uplink {
    /// Opens the uplink; dropping the returned guard closes it.
    pub(crate) fn open(&self, sender: mpsc::UnboundedSender<PeerFrame>) -> Connection<'_> {
        self.lock().sender = Some(sender);
        Connection(self)
    }

    /// Sends a frame to the leader if the uplink is open.
    pub(crate) fn send(&self, frame: PeerFrame) {
        if let Some(sender) = &self.lock().sender {
            // A lost frame does no harm: the leader also reads the key-value
            // service.
            let _ = sender.send(frame);
        }
    }

    /// Asks the leader to make a write and waits for the outcome. `frame`
    /// builds the request from its number.
    ///
    /// # Errors
    /// Fails without effect if the uplink is closed. If there is no answer, the
    /// write may have been made.
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

    /// Passes the outcome of a request to its caller.
    pub(crate) fn complete(&self, number: u64, outcome: Result<()>) {
        if let Some(responder) = self.lock().pending.remove(&number) {
            // The caller may have timed out.
            let _ = responder.send(outcome);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while holding the lock")
    }
}
