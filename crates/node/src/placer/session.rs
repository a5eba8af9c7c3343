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
    external::{OrderError, Renewal, Target},
    leadership::Leadership,
    placer::event::Event,
};

/// How long a target may wait for an end before it answers.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time for an answer beyond that.
const ANSWER_MARGIN: Duration = Duration::from_millis(1000);

/// Time for the answer when a start wasn't answered.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between requests while ends wait to be recorded, or nothing may be
/// ordered.
const UNRECORDED_BACKOFF: Duration = Duration::from_millis(100);

/// Least time between requests, so that ends that come one after the other
/// share an answer.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(90);

/// Requests a second to targets that run nothing. A leader of half a core sends
/// some 1,000 requests a second with all that follows from the answers.
const MAX_IDLE_REQUESTS_PER_S: u32 = 400;

/// Part of that time by which requests are spread.
const JITTER_DIVISOR: u32 = 4;

/// Targets that are claimed at the same time, so that a new leader's renewals
/// and links don't wait for thousands of connections.
const MAX_CONCURRENT_CLAIMS: usize = 128;

/// Time within which a run that was told to start is listed; the order takes at
/// most 0.5 s.
const START_LISTING_TIMEOUT: Duration = Duration::from_millis(2000);

/// A `Pace` is how often targets are asked, for all holders of a placer.
#[derive(Debug)]
pub(crate) struct PollSchedule {
    /// Pause between requests to a target that runs nothing, in milliseconds; 0
    /// if each request is to wait there meanwhile.
    idle_ms: AtomicU64,
    claims: Semaphore,
}

impl Default for PollSchedule {
    fn default() -> Self {
        Self { idle_ms: AtomicU64::new(0), claims: Semaphore::new(MAX_CONCURRENT_CLAIMS) }
    }
}

impl PollSchedule {
    /// Sets the number of targets; gets the longest time between requests to one
    /// that runs nothing.
    pub(crate) fn set_targets(&self, targets: usize) -> Duration {
        let period = Duration::from_secs(targets as u64) / MAX_IDLE_REQUESTS_PER_S;
        let pause = if period > LONG_POLL_TIMEOUT { period } else { Duration::ZERO };
        self.idle_ms.store(pause.as_millis() as u64, Ordering::Relaxed);
        period.max(LONG_POLL_TIMEOUT) + pause / JITTER_DIVISOR
    }

    /// Gets the pause before the next request to a target that runs nothing;
    /// `None` if a request is to wait there meanwhile.
    fn idle_pause(&self) -> Option<Duration> {
        let pause = Duration::from_millis(self.idle_ms.load(Ordering::Relaxed));
        // Those that were claimed at the same time aren't asked so for ever.
        (!pause.is_zero()).then(|| pause + jitter(pause / JITTER_DIVISOR))
    }
}

/// A `Holder` is what the parts of a placer share of one target.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) target: Target,
    poll_schedule: Arc<PollSchedule>,
    /// Told when a run is about to start.
    start_expected: Notify,
    /// When that was told last, in milliseconds since the machine started.
    start_expected_ms: AtomicU64,
    /// The target's clock and when it was read.
    clock: Mutex<Option<(u64, Duration)>>,
    /// Highest end that it may forget.
    recorded_end: AtomicU64,
    /// Highest end that it has listed.
    listed_end: AtomicU64,
    recorded: Notify,
    has_ended: AtomicBool,
}

impl Session {
    pub(crate) fn new(target: Target, poll_schedule: Arc<PollSchedule>) -> Self {
        Self {
            target,
            poll_schedule,
            start_expected: Notify::new(),
            start_expected_ms: AtomicU64::new(0),
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
    pub(crate) fn expect_start(&self, now: Duration) {
        self.start_expected_ms.store(now.as_millis() as u64, Ordering::Relaxed);
        self.start_expected.notify_one();
    }

    /// Tells whether a run may have been started that isn't listed yet.
    fn is_start_expected(&self, now: Duration) -> bool {
        let expected_at = Duration::from_millis(self.start_expected_ms.load(Ordering::Relaxed));
        now.saturating_sub(expected_at) < START_LISTING_TIMEOUT
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
pub(crate) async fn maintain(
    ctx: Arc<Context>,
    leadership: Arc<Leadership>,
    session: Arc<Session>,
    lease: Duration,
    events: mpsc::UnboundedSender<Event>,
) {
    let mut was_silent = false;
    // Whether it ran nothing for the whole last pause.
    let mut was_idle = false;
    while !session.has_ended.load(Ordering::Relaxed) {
        let is_first = session.lease_until_ms(lease, clock::now()).is_none();
        // Only the first requests wait for one another. The semaphore is never
        // closed.
        let claim = if is_first { session.poll_schedule.claims.acquire().await.ok() } else { None };
        let asked_at = clock::now();
        if !leadership.is_valid(asked_at) {
            drop(claim);
            time::sleep(UNRECORDED_BACKOFF).await;
            continue;
        }
        // A target that doesn't answer is granted nothing, so that its lease
        // lapses even if what is sent to it arrives.
        let lease_until_ms = session.lease_until_ms(lease, asked_at).filter(|_| !was_silent);
        let granted_at = lease_until_ms.map(|_| asked_at);
        let recorded_end = session.recorded_end.load(Ordering::Relaxed);
        let has_unrecorded = session.listed_end.load(Ordering::Relaxed) > recorded_end;
        let has_grant = lease_until_ms.is_some();
        let is_brief = !has_grant || has_unrecorded || std::mem::take(&mut was_idle);
        let wait = if is_brief { Duration::ZERO } else { LONG_POLL_TIMEOUT };
        let renewal = Renewal { lease_until_ms, recorded_end, wait, term: leadership.term };
        let answer =
            ctx.services.orders.renew(&session.target, renewal, wait + ANSWER_MARGIN).await;
        drop(claim);
        let now = clock::now();
        let target = session.target.id.clone();
        let event = match answer {
            Ok((listing, clock_ms)) => {
                session.note_clock(clock_ms, now);
                let listed = listing.ended.iter().map(|end| end.number).max().unwrap_or(0);
                session.listed_end.store(listed.max(recorded_end), Ordering::Relaxed);
                Event::TargetListed { target, asked_at, granted_at, listing }
            }
            Err(OrderError::Fenced) => Event::Fenced("a target knows a later term"),
            Err(OrderError::Replaced) => Event::TargetSilent {
                target,
                granted_at,
                reason: "another target is there".to_owned(),
            },
            Err(OrderError::NoAnswer(reason)) => Event::TargetSilent { target, granted_at, reason },
        };
        let is_silent = matches!(event, Event::TargetSilent { .. });
        let is_idle = matches!(&event, Event::TargetListed { listing, .. }
            if listing.running.is_empty() && listing.ended.is_empty())
            && !session.is_start_expected(now);
        was_silent = is_silent;
        if events.send(event).is_err() {
            return;
        }
        if let Some(pause) = session.poll_schedule.idle_pause().filter(|_| is_idle) {
            was_idle = time::timeout(pause, session.start_expected.notified()).await.is_err();
        }
        if !has_grant && !is_silent {
            continue;
        }
        time::sleep(MIN_POLL_INTERVAL).await;
        if is_silent || session.listed_end.load(Ordering::Relaxed) > recorded_end {
            // What is recorded meanwhile need not be listed again.
            let recorded = session.recorded.notified();
            let _ = time::timeout(UNRECORDED_BACKOFF, recorded).await;
        }
    }
}

/// Hears once what a target runs.
pub(crate) async fn poll_once(
    ctx: Arc<Context>,
    leadership: Arc<Leadership>,
    session: Arc<Session>,
    events: mpsc::UnboundedSender<Event>,
) {
    let asked_at = clock::now();
    if !leadership.is_valid(asked_at) {
        return;
    }
    let recorded_end = session.recorded_end.load(Ordering::Relaxed);
    let renewal =
        Renewal { lease_until_ms: None, recorded_end, wait: Duration::ZERO, term: leadership.term };
    let answer = ctx.services.orders.renew(&session.target, renewal, POLL_TIMEOUT).await;
    // Without an answer the next one of the usual kind has to do.
    if let Ok((listing, clock_ms)) = answer {
        session.note_clock(clock_ms, clock::now());
        let target = session.target.id.clone();
        let _ = events.send(Event::TargetListed { target, asked_at, granted_at: None, listing });
    }
}
