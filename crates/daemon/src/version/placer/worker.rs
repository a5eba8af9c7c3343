//! Workers as their placer sees them.

use std::{collections::HashSet, time::Duration};

use base::{Name, Resources};
use place::{Health, Id};
use platform::Instance;
use tokio::sync::mpsc;

use crate::version::placer::command::WorkerCommand;

/// Commands that may wait for a worker's connection.
pub(crate) const MAX_QUEUED_WORKER_COMMANDS: usize = 1024;

/// A `Held` is a worker that a placer holds.
#[derive(Debug)]
pub(crate) struct WorkerEntry {
    pub(crate) instance: Instance,
    /// Whether the platform lists the worker.
    pub(crate) is_listed: bool,
    /// The way to the task of its connection; absent for a worker that only
    /// the ledger names.
    pub(crate) sender: Option<mpsc::Sender<WorkerCommand>>,
    /// Its place in the account; absent until its first report.
    pub(crate) cell_id: Option<Id>,
    pub(crate) boot: u64,
    /// Its clock at its last report.
    pub(crate) clock: Duration,
    /// When the platform stopped to list it.
    pub(crate) unlisted_at: Option<Duration>,
    /// Tasks that count as running on it.
    pub(crate) tasks: HashSet<(Name, u32)>,
    /// What it runs beyond those tasks.
    pub(crate) untracked: Resources,
    pub(crate) health: Health,
    pub(crate) is_silent: bool,
    /// Whether tasks were asked to leave it because it is leaving.
    pub(crate) is_draining: bool,
}

impl WorkerEntry {
    pub(crate) fn new(instance: Instance, sender: Option<mpsc::Sender<WorkerCommand>>) -> Self {
        Self {
            instance,
            is_listed: false,
            sender,
            cell_id: None,
            boot: 0,
            clock: Duration::ZERO,
            unlisted_at: None,
            tasks: HashSet::new(),
            untracked: Resources::ZERO,
            health: Health::default(),
            is_silent: false,
            is_draining: false,
        }
    }

    /// Sends a command to the worker's connection. A connection that lags far
    /// behind loses it, as a broken one would; reports settle what happened.
    pub(crate) fn send(&self, command: WorkerCommand) -> bool {
        self.sender.as_ref().is_some_and(|sender| sender.try_send(command).is_ok())
    }
}
