//! What the nodes and the leader tell each other.

use std::{sync::Arc, time::Duration};

use base::{Failure, Name, clock, emit};
use plan::{AdviceRequest, Overload};
use tokio::{sync::mpsc, time};

use crate::{
    helper,
    link::{Down, Joined, Queues, Up},
    metrics::Metrics,
    placer::{
        event::Event,
        run::{Placer, tell},
    },
    writes,
};

impl Placer {
    /// Has this instance's own node serve as the others do.
    pub(super) fn join_own_node(&mut self) {
        let (down, downs) = mpsc::unbounded_channel();
        let (up, ups) = mpsc::unbounded_channel();
        let instance = Name::from(self.ctx.settings.name.as_str());
        let ctx = Arc::clone(&self.ctx);
        self.tasks.spawn(async move {
            let _open = ctx.uplink.open(up.clone());
            helper::serve(&ctx, downs, up).await;
        });
        let strength_milli = self.ctx.settings.strength_milli();
        self.join(Joined { instance, strength_milli, down, up: ups });
    }

    pub(super) fn ask(&mut self, ask: AdviceRequest) {
        match self.helpers.ask(ask) {
            Ok((number, timeout)) => {
                let events = self.events.clone();
                self.tasks.spawn(async move {
                    time::sleep(timeout).await;
                    let _ = events.send(Event::Unadvised(number));
                });
            }
            Err(ask) => self.unasked.push(ask),
        }
    }

    pub(super) fn hear(&mut self, instance: &Name, up: Up, now: Duration) {
        match up {
            Up::Hello { .. } | Up::Pulse => {}
            Up::CanLead => {
                if self.doubted_at.is_some() && **instance != *self.ctx.settings.name {
                    self.successor = Some(instance.clone());
                }
            }
            Up::Accepted(id, spec) => self.board.accept(&id, *spec, now),
            Up::Cancelled(id) => self.board.cancel(&id, now),
            Up::Submit { number, id, spec } => {
                let ctx = Arc::clone(&self.ctx);
                self.write_for(instance, number, async move {
                    writes::submit_here(&ctx, &id, &spec).await?;
                    Ok(Event::Accepted(id, spec))
                });
            }
            Up::Cancel { number, id } => {
                let ctx = Arc::clone(&self.ctx);
                self.write_for(instance, number, async move {
                    writes::cancel_here(&ctx, &id).await?;
                    Ok(Event::Cancelled(id))
                });
            }
            Up::Advised { number, allowed, valid_ms } => {
                self.take_advice(instance, number, allowed, valid_ms, now);
            }
        }
    }

    /// Makes a change for an instance, takes in what it means, and tells the
    /// instance the outcome.
    fn write_for(
        &mut self,
        instance: &Name,
        number: u64,
        change: impl Future<Output = Result<Event, Failure>> + Send + 'static,
    ) {
        let (down, events) = (self.helpers.down(instance), self.events.clone());
        self.tasks.spawn(async move {
            let outcome = change.await.map(|event| {
                // The placer has ended if nobody receives.
                let _ = events.send(event);
            });
            tell(down, Down::Written { number, outcome });
        });
    }

    fn take_advice(
        &mut self,
        instance: &Name,
        number: u64,
        allowed: Result<Vec<(Name, Name)>, String>,
        valid_ms: Option<u64>,
        now: Duration,
    ) {
        let Some(asked) = self.helpers.answered(number) else {
            return;
        };
        let allowed = match allowed {
            Ok(allowed) => allowed,
            Err(why) => {
                Metrics::count(&self.ctx.metrics.advice, "step", "failed");
                emit!(self.ctx.log, warn, AdviceFailed; "job" => %asked.step.job,
                    "step" => asked.step.step, "by" => %instance, "why" => why);
                return self.board.advice_answered(&asked.step, &asked.targets, None, now);
            }
        };
        Metrics::count(&self.ctx.metrics.advice, "step", "given");
        emit!(self.ctx.log, info, AdviceAsked; "job" => %asked.step.job,
            "step" => asked.step.step, "asked" => asked.targets.len(),
            "allowed" => allowed.len(), "by" => %instance);
        let valid = Duration::from_millis(valid_ms.unwrap_or(0));
        self.board.advice_answered(&asked.step, &asked.targets, Some(allowed), now + valid);
    }

    /// Tells all fronts how the queues are.
    pub(super) fn tell_queues(&self) {
        let overloads = self.board.overloads(clock::now());
        let ms = |time: Duration| time.as_millis() as u64;
        for overload in &overloads {
            emit!(self.ctx.log, warn, QueueRefuses; "queue" => %overload.queue,
                "after_ms" => ms(overload.retry_after), "room_ms" => ms(overload.room_wait),
                "backlog_ms" => ms(overload.backlog), "advice_ms" => ms(overload.advice_wait),
                "most_ms" => ms(overload.max_wait), "instances" => self.helpers.len(),
                "term" => self.lead.term);
        }
        self.helpers.tell(&Down::Queues(self.queues(overloads)));
    }

    fn queues(&self, overloads: Vec<Overload>) -> Queues {
        // Rounded up, so that there always is a time to come back.
        let ms = |after: Duration| after.as_nanos().div_ceil(1_000_000) as u64;
        let in_ms = |overload: Overload| (overload.queue, ms(overload.retry_after));
        let refusing = overloads.into_iter().map(in_ms).collect();
        Queues { pending: self.board.pending(), refusing }
    }

    pub(super) fn join(&mut self, joined: Joined) {
        let Joined { instance, strength_milli, down, mut up } = joined;
        // A closed link is noticed where its frames are received.
        let _ = down.send(Down::States(self.board.states()));
        let _ = down.send(Down::Queues(self.queues(self.board.overloads(clock::now()))));
        self.helpers.join(instance.clone(), strength_milli, down);
        self.board.set_instances(self.helpers.len(), clock::now());
        let events = self.events.clone();
        self.tasks.spawn(async move {
            while let Some(frame) = up.recv().await {
                if events.send(Event::Up(instance.clone(), frame)).is_err() {
                    return;
                }
            }
            let _ = events.send(Event::Left(instance));
        });
    }
}
