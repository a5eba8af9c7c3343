//! The placers that run in this instance.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use base::{Failure, Name, Result, emit};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinHandle,
};
use wire::PeerReply;

use crate::{
    process::Context,
    version::placer::{
        command::{Command, Reply},
        run::run_placer,
    },
};

/// Maximum number of commands queued for one placer.
const MAX_QUEUED_COMMANDS: usize = 65_536;

/// Time after which a submitter may repeat a request while a region is
/// handed over.
const HANDOVER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Placers that run in this instance, by region.
#[derive(Debug, Default)]
pub struct Placers {
    running: Mutex<HashMap<Name, Handle>>,
}

#[derive(Debug)]
struct Handle {
    term: u64,
    sender: mpsc::Sender<Command>,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Placers {
    /// Sends a command to the placer of a region and returns the answer.
    ///
    /// # Errors
    /// Fails without effect if this instance doesn't place in the region or if
    /// too many commands wait. Fails with an unknown outcome if the placer
    /// stops before it answers.
    pub async fn request(
        &self,
        region: &str,
        command: impl FnOnce(Reply) -> Command,
    ) -> Result<PeerReply> {
        let (reply, answer) = oneshot::channel();
        self.send(region, command(reply))?;
        answer.await.unwrap_or_else(|_| Err(Failure::unknown("the placer of the region stopped")))
    }

    /// Sends a command to the placer of a region.
    ///
    /// # Errors
    /// Fails without effect if this instance doesn't place in the region or if
    /// too many commands wait.
    pub fn send(&self, region: &str, command: Command) -> Result<()> {
        let running = self.running.lock().expect("no thread panics while holding the lock");
        let handle = running.get(region).ok_or_else(|| {
            Failure::busy(HANDOVER_RETRY_AFTER, format!("region {region} is changing hands"))
        })?;
        handle.sender.try_send(command).map_err(|_| {
            Failure::busy(
                HANDOVER_RETRY_AFTER,
                format!("too many requests wait in region {region}"),
            )
        })
    }

    /// Returns the regions that this instance places in.
    pub fn regions(&self) -> Vec<Name> {
        self.running
            .lock()
            .expect("no thread panics while holding the lock")
            .keys()
            .cloned()
            .collect()
    }

    /// Removes and returns the placers whose region and term `is_current`
    /// rejects.
    fn extract_stale(&self, is_current: impl Fn(&Name, u64) -> bool) -> Vec<(Name, Handle)> {
        let mut running = self.running.lock().expect("no thread panics while holding the lock");
        running.extract_if(|region, handle| !is_current(region, handle.term)).collect()
    }

    fn start(&self, ctx: &Arc<Context>, region: &Name, term: u64) {
        let mut running = self.running.lock().expect("no thread panics while holding the lock");
        if running.get(region).is_some_and(|handle| !handle.task.is_finished()) {
            return;
        }
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let stop = watch::Sender::new(false);
        let future = run_placer(
            Arc::clone(ctx),
            region.clone(),
            term,
            sender.clone(),
            receiver,
            stop.subscribe(),
        );
        let task = tokio::spawn(future);
        running.insert(region.clone(), Handle { term, sender, stop, task });
    }
}

/// Starts and stops placers as the divisions change, until the process stops.
pub(crate) async fn reconcile_placers(ctx: Arc<Context>) {
    let mut divisions = ctx.divisions.subscribe();
    loop {
        let current = Arc::clone(&divisions.borrow_and_update());
        let is_current = |region: &Name, term: u64| {
            current.get(region).is_some_and(|d| d.placer == ctx.name && d.placer_term == term)
        };
        for (region, handle) in ctx.placers.extract_stale(is_current) {
            handle.stop.send_replace(true);
            emit!(ctx.log, info, PlacerStopped; "region" => %region, "term" => handle.term);
        }
        for (region, (division, _)) in &current.by_region {
            if division.placer == ctx.name {
                ctx.placers.start(&ctx, region, division.placer_term);
            }
        }
        tokio::select! {
            changed = divisions.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = ctx.timer.stopped() => break,
        }
    }
    for (_, handle) in ctx.placers.extract_stale(|_, _| false) {
        handle.stop.send_replace(true);
        let _ = handle.task.await;
    }
}
