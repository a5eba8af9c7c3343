//! Handover of the leadership.

use std::{collections::HashSet, time::Duration};

use base::{Name, clock, emit};
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};

use crate::{
    leadership::EndReason,
    link::{Holding, LeaderFrame, Succession},
    placer::{
        event::Event,
        run::{Placer, send_frame},
    },
};

/// Time for the last frame to be sent.
const FINAL_FRAME_GRACE: Duration = Duration::from_millis(20);

/// Time to send one target or run in the last frame: some 80 bytes over the slowest
/// links, of 10 Mbit/s.
const FRAME_ENTRY_TIME: Duration = Duration::from_micros(64);

/// Time for orders that passed the check of the leadership to be reported.
const ORDER_GRACE: Duration = Duration::from_millis(2);

/// Timeout of the last writes of progress before the leadership ends.
const FINAL_RECORD_TIMEOUT: Duration = Duration::from_millis(800);

impl Placer {
    /// Asks nodes whether they can lead: first the strong ones, then all.
    pub(super) fn find_successor(&mut self) {
        let is_first = self.successor_sought_at.replace(Instant::now()).is_none();
        emit!(self.ctx.log, info, SuccessorSought; "term" => self.leadership.term,
            "stopping" => self.ctx.is_stopping(), "of_all" => !is_first);
        if !is_first {
            return self.peers.broadcast(&LeaderFrame::FindSuccessor);
        }
        for instance in self.peers.strongest_others(&self.ctx.settings.name) {
            send_frame(self.peers.sender(&instance), LeaderFrame::FindSuccessor);
        }
    }

    /// Starts a handover to a much stronger node, if there is one.
    pub(super) fn offer_to_stronger(&mut self) {
        let own = self.ctx.settings.strength_milli();
        let stronger = self.peers.much_stronger(own).cloned();
        if let Some(stronger) = stronger.filter(|_| self.successor_sought_at.is_none()) {
            self.successor_sought_at = Some(Instant::now());
            send_frame(self.peers.sender(&stronger), LeaderFrame::FindSuccessor);
        }
    }

    /// Accepts a node that is ready to lead, if there is still a reason to hand
    /// over to it.
    pub(super) fn consider_successor(&mut self, instance: &Name, now: Duration) {
        let is_stronger =
            self.peers.much_stronger(self.ctx.settings.strength_milli()) == Some(instance);
        let is_needed =
            self.ctx.is_stopping() || self.leadership.is_unconfirmed(now) || is_stronger;
        let is_sought = self.successor_sought_at.is_some() && **instance != *self.ctx.settings.name;
        emit!(self.ctx.log, info, SuccessorReady; "peer" => %instance, "needed" => is_needed,
            "term" => self.leadership.term);
        if is_sought && is_needed {
            self.successor = Some(instance.clone());
        }
    }

    /// Stops placing and hands the leadership over to the successor.
    pub(super) async fn hand_over(
        &mut self,
        events: &mut mpsc::UnboundedReceiver<Event>,
    ) -> EndReason {
        let sender = self.successor.take().and_then(|successor| self.peers.sender(&successor));
        if !self.leadership.is_unconfirmed(clock::now()) {
            self.flush_records(events).await;
        }
        self.leadership.invalidate();
        time::sleep(ORDER_GRACE).await;
        self.note_last_orders(events);
        let unreachable_targets = self.planner.unreachable_targets(clock::now());
        let processes = self.planner.processes(&HashSet::new(), clock::now());
        let holdings = self.planner.holdings(clock::now());
        let known_jobs = self.planner.known_jobs(&holdings);
        let holdings: Vec<Holding> = holdings.into_iter().map(Into::into).collect();
        let runs = holdings.iter().map(Holding::run_count).sum::<usize>();
        let entries = holdings.len() + runs + known_jobs.len();
        send_frame(
            sender,
            LeaderFrame::Succeed(Succession {
                revision: self.leadership.revision.0,
                unreachable_targets,
                restarted: processes.restarted,
                unconfirmed: processes.unconfirmed,
                speeds: Some(self.planner.speeds(clock::now())),
                holdings,
                known_jobs,
            }),
        );
        // The frame must be sent before the links are closed.
        time::sleep(FINAL_FRAME_GRACE + FRAME_ENTRY_TIME * entries as u32).await;
        EndReason::HandedOver
    }

    /// Applies the events that tell which orders were sent and what targets have
    /// answered, since the successor relies on what it is told.
    fn note_last_orders(&mut self, events: &mut mpsc::UnboundedReceiver<Event>) {
        while let Ok(event) = events.try_recv() {
            match event {
                Event::LeaseGranted { .. }
                | Event::LeaseTaken { .. }
                | Event::TargetListed { .. }
                | Event::TargetUnreachable { .. }
                | Event::RestartSuspected { .. } => drop(self.handle(event)),
                _ => {}
            }
        }
    }

    /// Writes all unrecorded progress before another instance takes over.
    pub(super) async fn flush_records(&mut self, events: &mut mpsc::UnboundedReceiver<Event>) {
        let finish = async {
            // A record time of zero makes all batches due at once: there is nothing
            // to gain by waiting for further ends.
            self.planner.set_record_latency(Duration::ZERO);
            self.record_batches(clock::now());
            let mut has_failed = false;
            while self.records_in_flight > 0
                && let Some(event) = events.recv().await
            {
                has_failed |= matches!(event, Event::ProgressNotRecorded(_));
                self.handle(event);
                if !has_failed {
                    self.planner.set_record_latency(Duration::ZERO);
                    self.record_batches(clock::now());
                }
            }
        };
        // Ends that cannot be recorded in time are listed by the targets again.
        let _ = time::timeout(FINAL_RECORD_TIMEOUT, finish).await;
    }
}
