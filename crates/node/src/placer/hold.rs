//! Holding one target: renewing its lease and hearing what it runs.
//!
//! A target that runs nothing is asked less often the more targets there are,
//! so that what holding costs follows what runs, not the fleet.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use base::clock;
use tokio::{
    sync::{Notify, Semaphore, mpsc},
    time,
};

use crate::{
    context::{Context, jitter},
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

/// Requests a second to targets that run nothing. A leader of half a core sends
/// some 1,000 requests a second with all that follows from the answers.
const IDLE_RATE: u32 = 400;

/// Part of that time by which requests are spread.
const JITTER_PART: u32 = 4;

/// Targets that are claimed at the same time, so that a new leader's renewals
/// and links don't wait for thousands of connections.
const MOST_CLAIMING: usize = 128;

/// Time within which a run that was told to start is listed; the order takes at
/// most 0.5 s.
const WANTED_TIME: Duration = Duration::from_millis(2000);

/// A `Pace` is how often targets are asked, for all holders of a placer.
#[derive(Debug)]
pub(crate) struct Pace {
    /// Pause between requests to a target that runs nothing, in milliseconds; 0
    /// if each request is to wait there meanwhile.
    idle_ms: AtomicU64,
    claiming: Semaphore,
}

impl Default for Pace {
    fn default() -> Self {
        Self { idle_ms: AtomicU64::new(0), claiming: Semaphore::new(MOST_CLAIMING) }
    }
}

impl Pace {
    /// Sets the number of targets; gets the longest time between requests to one
    /// that runs nothing.
    pub(crate) fn set_targets(&self, targets: usize) -> Duration {
        let period = Duration::from_secs(targets as u64) / IDLE_RATE;
        let pause = if period > WAIT { period } else { Duration::ZERO };
        self.idle_ms.store(pause.as_millis() as u64, Ordering::Relaxed);
        period.max(WAIT) + pause / JITTER_PART
    }

    /// Gets the pause before the next request to a target that runs nothing;
    /// `None` if a request is to wait there meanwhile.
    fn idle_pause(&self) -> Option<Duration> {
        let pause = Duration::from_millis(self.idle_ms.load(Ordering::Relaxed));
        // Those that were claimed at the same time aren't asked so for ever.
        (!pause.is_zero()).then(|| pause + jitter(pause / JITTER_PART))
    }
}

/// A `Holder` is what the parts of a placer share of one target.
#[derive(Debug)]
pub(crate) struct Holder {
    pub(crate) target: Target,
    pace: Arc<Pace>,
    /// Told when a run is about to start.
    wanted: Notify,
    /// When that was told last, in milliseconds since the machine started.
    wanted_ms: AtomicU64,
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
    pub(crate) fn new(target: Target, pace: Arc<Pace>) -> Self {
        Self {
            target,
            pace,
            wanted: Notify::new(),
            wanted_ms: AtomicU64::new(0),
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

    /// Has the target be asked soon, as it is to run something.
    pub(crate) fn want(&self, now: Duration) {
        self.wanted_ms.store(now.as_millis() as u64, Ordering::Relaxed);
        self.wanted.notify_one();
    }

    /// Tells whether a run may have been started that isn't listed yet.
    fn is_wanted(&self, now: Duration) -> bool {
        let wanted = Duration::from_millis(self.wanted_ms.load(Ordering::Relaxed));
        now.saturating_sub(wanted) < WANTED_TIME
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
    // Whether it ran nothing for the whole last pause.
    let mut rests = false;
    while !holder.has_ended.load(Ordering::Relaxed) {
        let is_first = holder.lease_until_ms(lease, clock::now()).is_none();
        // Only the first requests wait for one another. The semaphore is never
        // closed.
        let claim = if is_first { holder.pace.claiming.acquire().await.ok() } else { None };
        let asked = clock::now();
        if !lead.is_valid(asked) {
            drop(claim);
            time::sleep(UNRECORDED_PAUSE).await;
            continue;
        }
        // A target that doesn't answer is granted nothing, so that its lease
        // lapses even if what is sent to it arrives.
        let lease_until_ms = holder.lease_until_ms(lease, asked).filter(|_| !was_silent);
        let granted = lease_until_ms.map(|_| asked);
        let recorded_end = holder.recorded_end.load(Ordering::Relaxed);
        let has_unrecorded = holder.listed_end.load(Ordering::Relaxed) > recorded_end;
        let has_grant = lease_until_ms.is_some();
        let is_brief = !has_grant || has_unrecorded || std::mem::take(&mut rests);
        let wait = if is_brief { Duration::ZERO } else { WAIT };
        let hold = Hold { lease_until_ms, recorded_end, wait, term: lead.term };
        let answer = ctx.edges.orders.hold(&holder.target, hold, wait + ANSWER_TIME).await;
        drop(claim);
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
        let is_idle = matches!(&event, Event::Listed { listing, .. }
            if listing.running.is_empty() && listing.ended.is_empty())
            && !holder.is_wanted(now);
        was_silent = is_silent;
        if events.send(event).is_err() {
            return;
        }
        if let Some(pause) = holder.pace.idle_pause().filter(|_| is_idle) {
            rests = time::timeout(pause, holder.wanted.notified()).await.is_err();
        }
        if !has_grant && !is_silent {
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
