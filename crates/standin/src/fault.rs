//! Faults of stand-ins that can be switched on and off.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::sync::watch;

/// Fault of a stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Every request is refused.
    Down,
    /// Every request is delayed by this time.
    Slow(Duration),
    /// Requests for changes are executed, but their answers are lost.
    LostAnswer,
    /// Requests are accepted but neither executed nor answered while the fault
    /// lasts.
    Silent,
    /// A worker fails every start of a task.
    FailStarts,
    /// A worker's reports are outdated by this time.
    Lagging(Duration),
    /// The platform lists the target as leaving.
    Leaving,
    /// The platform no longer lists the target, and the target is silent.
    Gone,
}

impl Fault {
    /// Returns the fault with a name, or `None` if the name is unknown. `delay`
    /// applies to faults with a delay.
    pub fn from_name(name: &str, delay: Duration) -> Option<Self> {
        match name {
            "none" => Some(Self::None),
            "down" => Some(Self::Down),
            "slow" => Some(Self::Slow(delay)),
            "lost-answer" => Some(Self::LostAnswer),
            "silent" => Some(Self::Silent),
            "fail-starts" => Some(Self::FailStarts),
            "lagging" => Some(Self::Lagging(delay)),
            "leaving" => Some(Self::Leaving),
            "gone" => Some(Self::Gone),
            _ => None,
        }
    }
}

/// Faults of all stand-ins, by name of the stand-in.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    senders: Arc<Mutex<HashMap<String, watch::Sender<Fault>>>>,
}

impl Faults {
    /// Sets the fault of a stand-in.
    pub fn set(&self, name: &str, fault: Fault) {
        self.sender(name).send_replace(fault);
    }

    /// Returns the fault of a stand-in.
    pub fn get(&self, name: &str) -> Fault {
        *self.sender(name).borrow()
    }

    /// Subscribes to the fault of a stand-in.
    pub fn subscribe(&self, name: &str) -> watch::Receiver<Fault> {
        self.sender(name).subscribe()
    }

    /// Delays a request to a stand-in: by its delay if the stand-in is slow, and
    /// until the fault ends if the stand-in is silent or gone.
    pub async fn delay_request(&self, name: &str) {
        let mut fault = self.subscribe(name);
        let now = *fault.borrow();
        match now {
            Fault::Silent | Fault::Gone => {
                // The sender is kept in `senders` and never dropped before `self`.
                let _ = fault.wait_for(|f| !matches!(f, Fault::Silent | Fault::Gone)).await;
            }
            Fault::Slow(delay) => tokio::time::sleep(delay).await,
            _ => {}
        }
    }

    fn sender(&self, name: &str) -> watch::Sender<Fault> {
        let mut senders = self.senders.lock().expect("no holder of the lock panics");
        senders.entry(name.to_owned()).or_default().clone()
    }
}
