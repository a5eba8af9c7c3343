//! Timer for the periodic work of a process.

use std::time::Duration;

use tokio::{
    sync::watch,
    time::{self, Instant, Interval, MissedTickBehavior},
};

/// Clock of a process and source of its ticks.
///
/// Stopping the timer ends all periodic work, so that a process shuts down from
/// a single place.
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
    /// Returns the time since the timer was created.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Returns a ticker with the given period. A late tick delays the following
    /// ones, so that a process that was paused does not catch up in a burst.
    pub fn every(&self, period: Duration) -> Ticker {
        let mut interval = time::interval(period);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Ticker { interval, stop: self.stop.subscribe() }
    }

    /// Waits for `period` and returns `true`, or returns `false` as soon as the
    /// timer is stopped.
    pub async fn sleep(&self, period: Duration) -> bool {
        let mut stop = self.stop.subscribe();
        tokio::select! {
            () = time::sleep(period) => true,
            _ = stop.wait_for(|stopped| *stopped) => false,
        }
    }

    /// Waits until the timer is stopped.
    pub async fn stopped(&self) {
        // `self` holds the sender, so the channel can't be closed.
        let _ = self.stop.subscribe().wait_for(|stopped| *stopped).await;
    }

    /// Stops the timer: ends all tickers and sleeps.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}

/// Periodic tick of a [`Timer`].
#[derive(Debug)]
pub struct Ticker {
    interval: Interval,
    stop: watch::Receiver<bool>,
}

impl Ticker {
    /// Waits for the next tick; returns `None` once the timer is stopped.
    pub async fn next(&mut self) -> Option<()> {
        tokio::select! {
            _ = self.interval.tick() => Some(()),
            _ = self.stop.wait_for(|stopped| *stopped) => None,
        }
    }
}
