//! Frames exchanged between the leader and the nodes.

use std::{sync::Arc, time::Duration};

use base::{Failure, Name, clock, emit};
use plan::{AdviceRequest, Overload};
use tokio::{sync::mpsc, time};

use crate::{
    follower,
    link::{LeaderFrame, PeerFrame, PeerLink, QueueStatus},
    metrics::Metrics,
    placer::{
        event::Event,
        run::{Placer, send_frame},
    },
    writes,
};

impl Placer {
    /// Connects this instance's own node in the same way as the other nodes.
    pub(super) fn add_own_node(&mut self) {
        let (sender, leader_frames) = mpsc::unbounded_channel();
        let (to_leader, peer_frames) = mpsc::unbounded_channel();
        let instance = Name::from(self.ctx.settings.name.as_str());
        let ctx = Arc::clone(&self.ctx);
        self.tasks.spawn(async move {
            let _connection = ctx.uplink.open(to_leader.clone());
            follower::handle_frames(&ctx, leader_frames, to_leader).await;
        });
        let strength_milli = self.ctx.settings.strength_milli();
        self.add_peer(PeerLink { instance, strength_milli, sender, receiver: peer_frames });
    }

    /// Assigns an advice request to an instance; keeps the request for the next
    /// round if no instance has capacity.
    pub(super) fn request_advice(&mut self, request: AdviceRequest) {
        match self.peers.request_advice(request) {
            Ok((number, timeout)) => {
                let events = self.events.clone();
                self.tasks.spawn(async move {
                    time::sleep(timeout).await;
                    let _ = events.send(Event::AdviceTimedOut(number));
                });
            }
            Err(request) => self.unsent_advice.push(request),
        }
    }

    /// Processes a frame from a node.
    pub(super) fn handle_frame(&mut self, instance: &Name, frame: PeerFrame, now: Duration) {
        match frame {
            PeerFrame::Hello { .. } | PeerFrame::Heartbeat => {}
            PeerFrame::CanLead => self.consider_successor(instance, now),
            PeerFrame::Accepted(id, spec) => self.planner.accept(&id, *spec, now),
            PeerFrame::Cancelled(id) => self.planner.cancel(&id, now),
            PeerFrame::Submit { number, id, spec } => {
                let ctx = Arc::clone(&self.ctx);
                self.write_for_peer(instance, number, async move {
                    writes::submit_for_peer(&ctx, &id, &spec).await?;
                    Ok(Event::Accepted(id, spec))
                });
            }
            PeerFrame::Cancel { number, id } => {
                let ctx = Arc::clone(&self.ctx);
                self.write_for_peer(instance, number, async move {
                    writes::cancel_for_peer(&ctx, &id).await?;
                    Ok(Event::Cancelled(id))
                });
            }
            PeerFrame::Advised { number, allowed, valid_ms } => {
                self.handle_advice(instance, number, allowed, valid_ms, now);
            }
        }
    }

    /// Makes a write for an instance, processes the resulting event, and sends
    /// the outcome to the instance.
    fn write_for_peer(
        &mut self,
        instance: &Name,
        number: u64,
        change: impl Future<Output = Result<Event, Failure>> + Send + 'static,
    ) {
        let (sender, events) = (self.peers.sender(instance), self.events.clone());
        self.tasks.spawn(async move {
            let outcome = change.await.map(|event| {
                // A send error means that the placer has ended.
                let _ = events.send(event);
            });
            send_frame(sender, LeaderFrame::Written { number, outcome });
        });
    }

    fn handle_advice(
        &mut self,
        instance: &Name,
        number: u64,
        allowed: Result<Vec<(Name, Name)>, String>,
        valid_ms: Option<u64>,
        now: Duration,
    ) {
        let Some(request) = self.peers.complete(number) else {
            return;
        };
        let allowed = match allowed {
            Ok(allowed) => allowed,
            Err(reason) => {
                Metrics::count(&self.ctx.metrics.advice, "step", "failed");
                emit!(self.ctx.log, warn, AdviceFailed; "job" => %request.step.job,
                    "step" => request.step.step, "by" => %instance, "why" => reason);
                return self.planner.advice_answered(&request.step, &request.targets, None, now);
            }
        };
        Metrics::count(&self.ctx.metrics.advice, "step", "given");
        emit!(self.ctx.log, info, AdviceReceived; "job" => %request.step.job,
            "step" => request.step.step, "asked" => request.targets.len(),
            "allowed" => allowed.len(), "by" => %instance);
        let valid = Duration::from_millis(valid_ms.unwrap_or(0));
        self.planner.advice_answered(&request.step, &request.targets, Some(allowed), now + valid);
    }

    /// Sends the status of the queues to all frontends and logs the queues that
    /// refuse jobs.
    pub(super) fn publish_queues(&self) {
        let overloads = self.planner.overloads(clock::now());
        let ms = |time: Duration| time.as_millis() as u64;
        for overload in &overloads {
            emit!(self.ctx.log, warn, QueueOverloaded; "queue" => %overload.queue,
                "after_ms" => ms(overload.retry_after), "room_ms" => ms(overload.room_wait),
                "backlog_ms" => ms(overload.backlog), "advice_ms" => ms(overload.advice_wait),
                "most_ms" => ms(overload.max_wait), "instances" => self.peers.len(),
                "term" => self.leadership.term);
        }
        self.peers.broadcast(&LeaderFrame::Queues(self.queues(overloads)));
    }

    fn queues(&self, overloads: Vec<Overload>) -> QueueStatus {
        // Rounded up, so that a refusal never has a retry delay of 0 ms.
        let ms = |after: Duration| after.as_nanos().div_ceil(1_000_000) as u64;
        let in_ms = |overload: Overload| (overload.queue, ms(overload.retry_after));
        let refusing = overloads.into_iter().map(in_ms).collect();
        // Frontends refuse jobs of pools that are evacuated as a whole, by the
        // evacuations that they know themselves.
        let pools = self.pools.clone();
        QueueStatus { pending: self.planner.pending(), refusing, pools }
    }

    /// Adds a linked node and sends all job states and the queue status to it.
    pub(super) fn add_peer(&mut self, joined: PeerLink) {
        let PeerLink { instance, strength_milli, sender, mut receiver } = joined;
        // A closed link is detected where its frames are received.
        let _ = sender.send(LeaderFrame::States(self.planner.states()));
        let _ = sender.send(LeaderFrame::Queues(self.queues(self.planner.overloads(clock::now()))));
        self.peers.add(instance.clone(), strength_milli, sender);
        self.planner.set_instances(self.peers.len(), clock::now());
        let events = self.events.clone();
        self.tasks.spawn(async move {
            while let Some(frame) = receiver.recv().await {
                if events.send(Event::FrameReceived(instance.clone(), frame)).is_err() {
                    return;
                }
            }
            let _ = events.send(Event::PeerLeft(instance));
        });
    }
}
