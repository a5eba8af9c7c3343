//! Faults that can be turned on.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::sync::watch;

/// A `Fault` is what is wrong with a stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// It refuses every request.
    Down,
    /// It answers late.
    Slow(Duration),
    /// It does what is asked but fails to say so.
    LostAnswer,
    /// It takes requests in and never answers.
    Silent,
    /// A worker fails what it starts.
    FailStarts,
    /// A worker reports how things stood some time ago.
    Lagging(Duration),
    /// The platform lists it as leaving.
    Leaving,
    /// The platform no longer lists it, and it is silent.
    Gone,
}

impl Fault {
    /// Gets a fault by its name; `None` if there is no such fault.
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

/// A `Faults` is the faults of all stand-ins, by name.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    switches: Arc<Mutex<HashMap<String, watch::Sender<Fault>>>>,
}

impl Faults {
    /// Sets the fault of a stand-in.
    pub fn set(&self, name: &str, fault: Fault) {
        self.switch(name).send_replace(fault);
    }

    /// Gets the fault of a stand-in.
    pub fn get(&self, name: &str) -> Fault {
        *self.switch(name).borrow()
    }

    /// Subscribes to the fault of a stand-in.
    pub fn subscribe(&self, name: &str) -> watch::Receiver<Fault> {
        self.switch(name).subscribe()
    }

    /// Waits as a silent or slow stand-in does before it looks at a request.
    pub async fn delay_request(&self, name: &str) {
        let mut fault = self.subscribe(name);
        let now = *fault.borrow();
        match now {
            Fault::Silent | Fault::Gone => {
                // The sender lives as long as the faults.
                let _ = fault.wait_for(|f| !matches!(f, Fault::Silent | Fault::Gone)).await;
            }
            Fault::Slow(delay) => tokio::time::sleep(delay).await,
            _ => {}
        }
    }

    fn switch(&self, name: &str) -> watch::Sender<Fault> {
        let mut switches = self.switches.lock().expect("no holder panics");
        switches.entry(name.to_owned()).or_default().clone()
    }
}
