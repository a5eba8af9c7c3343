//! State of a worker, as far as its placer knows.

use std::{collections::HashSet, time::Duration};

use base::{Name, Resources};
use place::{Health, Id};
use platform::Instance;
use tokio::sync::mpsc;

use crate::version::placer::command::WorkerCommand;

/// Maximum number of commands queued for one worker's connection.
pub(crate) const MAX_QUEUED_WORKER_COMMANDS: usize = 1024;

/// Worker of the placer's region, with its tasks and connection.
#[derive(Debug)]
pub(crate) struct WorkerEntry {
    pub(crate) instance: Instance,
    /// Whether the platform lists the worker.
    pub(crate) is_listed: bool,
    /// Sender to the task of the worker's connection; absent for a worker that
    /// only the ledger names.
    pub(crate) sender: Option<mpsc::Sender<WorkerCommand>>,
    /// Id in the placer's cell; absent until the first report.
    pub(crate) cell_id: Option<Id>,
    pub(crate) boot: u64,
    /// The worker's clock at the last report.
    pub(crate) clock: Duration,
    /// Time at which the worker disappeared from the platform's list.
    pub(crate) unlisted_at: Option<Duration>,
    /// Tasks that count as running on the worker.
    pub(crate) tasks: HashSet<(Name, u32)>,
    /// Resources of attempts that run on the worker without being current ones.
    pub(crate) untracked: Resources,
    pub(crate) health: Health,
    pub(crate) is_silent: bool,
    /// Whether the eviction of the worker's tasks was requested, since the
    /// platform is about to remove the worker.
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

    /// Sends a command to the worker's connection; returns `false` if there is
    /// none or its queue is full. The command is then lost as on a broken
    /// connection, and later reports show what runs.
    pub(crate) fn send(&self, command: WorkerCommand) -> bool {
        self.sender.as_ref().is_some_and(|sender| sender.try_send(command).is_ok())
    }
}
