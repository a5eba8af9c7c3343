//! The timer service that parts of a process subscribe to.

use std::time::Duration;

use tokio::{
    sync::watch,
    time::{self, Instant, Interval, MissedTickBehavior},
};

/// A `Timer` is the clock of a process and the source of its periodic work.
///
/// All periodic work ends when the timer is stopped, which is how a process
/// winds down in one place.
#[derive(Clone, Debug)]
pub struct Timer {
    origin: Instant,
    stop: watch::Sender<bool>,
}

impl Default for Timer {
    fn default() -> Self {
        Self { origin: Instant::now(), stop: watch::Sender::new(false) }
    }
}

impl Timer {
    /// Gets the time since the process started.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Subscribes to a tick in every `period`. A late tick delays those after
    /// it, so that a paused process doesn't catch up in a burst.
    pub fn every(&self, period: Duration) -> Ticker {
        let mut interval = time::interval(period);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Ticker { interval, stop: self.stop.subscribe() }
    }

    /// Waits for `period`; gets `false` at once if the timer is stopped.
    pub async fn sleep(&self, period: Duration) -> bool {
        let mut stop = self.stop.subscribe();
        tokio::select! {
            () = time::sleep(period) => true,
            _ = stop.wait_for(|stopped| *stopped) => false,
        }
    }

    /// Waits until the timer is stopped.
    pub async fn stopped(&self) {
        // The sender lives in `self`, so the channel can't be closed.
        let _ = self.stop.subscribe().wait_for(|stopped| *stopped).await;
    }

    /// Ends all subscriptions.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}

/// A `Ticker` is one subscription to a [`Timer`].
#[derive(Debug)]
pub struct Ticker {
    interval: Interval,
    stop: watch::Receiver<bool>,
}

impl Ticker {
    /// Waits for the next tick; gets `None` once the timer is stopped.
    pub async fn next(&mut self) -> Option<()> {
        tokio::select! {
            _ = self.interval.tick() => Some(()),
            _ = self.stop.wait_for(|stopped| *stopped) => None,
        }
    }
}
