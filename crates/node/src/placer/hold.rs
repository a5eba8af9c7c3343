//! Holding one target: renewing its lease and hearing what it runs.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use base::clock;
use tokio::{
    sync::{Notify, mpsc},
    time,
};

use crate::{
    context::Context,
    edge::{Hold, Target, Unanswered},
    lead::Lead,
    placer::event::Event,
};

/// How long a target may wait for an end before it answers.
const WAIT: Duration = Duration::from_millis(1000);

/// Time for an answer beyond that.
const ANSWER_TIME: Duration = Duration::from_millis(1000);

/// Time for the answer when a start wasn't answered.
const LOOK_TIME: Duration = Duration::from_millis(400);

/// Time between requests while ends wait to be recorded, or nothing may be
/// ordered.
const UNRECORDED_PAUSE: Duration = Duration::from_millis(100);

/// Least time between requests, so that ends that come one after the other
/// share an answer.
const LEAST_PAUSE: Duration = Duration::from_millis(90);

/// A `Holder` is what the parts of a placer share of one target.
#[derive(Debug)]
pub(crate) struct Holder {
    pub(crate) target: Target,
    /// The target's clock and when it was read.
    clock: Mutex<Option<(u64, Duration)>>,
    /// Highest end that it may forget.
    recorded_end: AtomicU64,
    /// Highest end that it has listed.
    listed_end: AtomicU64,
    recorded: Notify,
    has_ended: AtomicBool,
}

impl Holder {
    pub(crate) fn new(target: Target) -> Self {
        Self {
            target,
            clock: Mutex::new(None),
            recorded_end: AtomicU64::new(0),
            listed_end: AtomicU64::new(0),
            recorded: Notify::new(),
            has_ended: AtomicBool::new(false),
        }
    }

    /// Gets until when a lease lasts that is granted now, on the target's
    /// clock; `None` before the clock is known.
    pub(crate) fn lease_until_ms(&self, lease: Duration, now: Duration) -> Option<u64> {
        let clock = *self.clock.lock().expect("no holder of the lock panics");
        let (clock_ms, read_at) = clock?;
        Some(clock_ms + (now.saturating_sub(read_at) + lease).as_millis() as u64)
    }

    /// Takes note of the target's clock.
    pub(crate) fn note_clock(&self, clock_ms: u64, now: Duration) {
        *self.clock.lock().expect("no holder of the lock panics") = Some((clock_ms, now));
    }

    /// Has the target no longer be held.
    pub(crate) fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }

    /// Takes note that ends up to `end` are recorded.
    pub(crate) fn set_recorded_end(&self, end: u64) {
        if self.recorded_end.swap(end, Ordering::Relaxed) != end {
            self.recorded.notify_one();
        }
    }
}

/// Holds a target until the placer ends or lets go of it.
pub(crate) async fn hold(
    ctx: Arc<Context>,
    lead: Arc<Lead>,
    holder: Arc<Holder>,
    lease: Duration,
    events: mpsc::UnboundedSender<Event>,
) {
    let mut was_silent = false;
    while !holder.has_ended.load(Ordering::Relaxed) {
        let asked = clock::now();
        if !lead.is_valid(asked) {
            time::sleep(UNRECORDED_PAUSE).await;
            continue;
        }
        // A target that doesn't answer is granted nothing, so that its lease
        // lapses even if what is sent to it arrives.
        let lease_until_ms = holder.lease_until_ms(lease, asked).filter(|_| !was_silent);
        let granted = lease_until_ms.map(|_| asked);
        let recorded_end = holder.recorded_end.load(Ordering::Relaxed);
        let has_unrecorded = holder.listed_end.load(Ordering::Relaxed) > recorded_end;
        let is_first = lease_until_ms.is_none();
        let wait = if is_first || has_unrecorded { Duration::ZERO } else { WAIT };
        let hold = Hold { lease_until_ms, recorded_end, wait, term: lead.term };
        let answer = ctx.edges.orders.hold(&holder.target, hold, wait + ANSWER_TIME).await;
        let now = clock::now();
        let target = holder.target.id.clone();
        let event = match answer {
            Ok((listing, clock_ms)) => {
                holder.note_clock(clock_ms, now);
                let listed = listing.ended.iter().map(|end| end.number).max().unwrap_or(0);
                holder.listed_end.store(listed.max(recorded_end), Ordering::Relaxed);
                Event::Listed { target, asked, granted, listing }
            }
            Err(Unanswered::Fenced) => Event::Fenced("a target knows a later term"),
            Err(Unanswered::Replaced) => {
                Event::Silent { target, granted, why: "another target is there".to_owned() }
            }
            Err(Unanswered::Silent(why)) => Event::Silent { target, granted, why },
        };
        let is_silent = matches!(event, Event::Silent { .. });
        was_silent = is_silent;
        if events.send(event).is_err() {
            return;
        }
        if is_first && !is_silent {
            continue;
        }
        time::sleep(LEAST_PAUSE).await;
        if is_silent || holder.listed_end.load(Ordering::Relaxed) > recorded_end {
            // What is recorded meanwhile need not be listed again.
            let recorded = holder.recorded.notified();
            let _ = time::timeout(UNRECORDED_PAUSE, recorded).await;
        }
    }
}

/// Hears once what a target runs.
pub(crate) async fn look(
    ctx: Arc<Context>,
    lead: Arc<Lead>,
    holder: Arc<Holder>,
    events: mpsc::UnboundedSender<Event>,
) {
    let asked = clock::now();
    if !lead.is_valid(asked) {
        return;
    }
    let recorded_end = holder.recorded_end.load(Ordering::Relaxed);
    let hold = Hold { lease_until_ms: None, recorded_end, wait: Duration::ZERO, term: lead.term };
    let answer = ctx.edges.orders.hold(&holder.target, hold, LOOK_TIME).await;
    // Without an answer the next one of the usual kind has to do.
    if let Ok((listing, clock_ms)) = answer {
        holder.note_clock(clock_ms, clock::now());
        let target = holder.target.id.clone();
        let _ = events.send(Event::Listed { target, asked, granted: None, listing });
    }
}
