//! Workers as their placer sees them.

use std::{collections::HashSet, time::Duration};

use base::{Name, Resources};
use place::{Health, Id};
use platform::Instance;
use tokio::sync::mpsc;

use crate::version::placer::command::WorkerCommand;

/// Commands that may wait for a worker's connection.
pub(crate) const WORKER_QUEUE: usize = 1024;

/// A `Held` is a worker that a placer holds.
#[derive(Debug)]
pub(crate) struct Held {
    pub(crate) instance: Instance,
    /// Whether the platform lists the worker.
    pub(crate) listed: bool,
    /// The way to the task of its connection; absent for a worker that only
    /// the ledger names.
    pub(crate) sender: Option<mpsc::Sender<WorkerCommand>>,
    /// Its place in the account; absent until its first report.
    pub(crate) id: Option<Id>,
    pub(crate) boot: u64,
    /// Its clock at its last report.
    pub(crate) clock: Duration,
    /// When the platform stopped to list it.
    pub(crate) unlisted_at: Option<Duration>,
    /// Tasks that count as running on it.
    pub(crate) tasks: HashSet<(Name, u32)>,
    /// What it runs beyond those tasks.
    pub(crate) foreign: Resources,
    pub(crate) health: Health,
    pub(crate) silent: bool,
    /// Whether tasks were asked to leave it because it is leaving.
    pub(crate) emptied: bool,
}

impl Held {
    pub(crate) fn new(instance: Instance, sender: Option<mpsc::Sender<WorkerCommand>>) -> Self {
        Self {
            instance,
            listed: false,
            sender,
            id: None,
            boot: 0,
            clock: Duration::ZERO,
            unlisted_at: None,
            tasks: HashSet::new(),
            foreign: Resources::ZERO,
            health: Health::default(),
            silent: false,
            emptied: false,
        }
    }

    /// Sends a command to the worker's connection. A connection that lags far
    /// behind loses it, as a broken one would; reports settle what happened.
    pub(crate) fn send(&self, command: WorkerCommand) -> bool {
        self.sender.as_ref().is_some_and(|sender| sender.try_send(command).is_ok())
    }
}
