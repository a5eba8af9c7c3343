//! Lease renewal and polling of one target.
//!
//! Idle targets are polled less often the more targets there are, so that the
//! cost of polling depends on the number of runs rather than the number of
//! targets.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use base::{Name, clock, emit};
use plan::{Listing, RecordedEnd};
use tokio::{
    sync::{Notify, Semaphore, mpsc},
    time,
};

use crate::{
    context::{Context, jitter},
    external::{Fence, OrderError, OrderResult, Renewal, Target},
    leadership::Leadership,
    placer::{event::Event, fences::Fences},
};

/// Maximum time that a target waits for a run to end before it answers.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time for an answer to arrive, in addition to the time that the target waits.
const ANSWER_MARGIN: Duration = Duration::from_millis(1000);

/// Timeout of the poll that follows an unanswered start.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval between requests while ends of runs wait to be recorded, while the
/// target is unreachable, or while the leadership is suspended.
const UNRECORDED_BACKOFF: Duration = Duration::from_millis(100);

/// Minimum interval between requests, so that ends of runs in quick succession
/// share an answer.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(90);

/// Maximum rate of requests to all idle targets together. A leader with half a
/// core can send about 1,000 requests per second, including the work that
/// follows from the answers.
const MAX_IDLE_REQUESTS_PER_S: u32 = 400;

/// Divisor of the pause between requests to an idle target; the quotient is the
/// maximum random delay added to the pause.
const JITTER_DIVISOR: u32 = 4;

/// Maximum number of targets claimed at the same time, so that the renewals and
/// links of a new leader need not wait for thousands of connections.
const MAX_CONCURRENT_CLAIMS: usize = 128;

/// Maximum error of a reading of a target's clock.
const MAX_CLOCK_ERROR: Duration = Duration::from_millis(200);

/// Divisor of the age of a reading; the quotient is the maximum drift of the
/// target's clock since then.
const CLOCK_DRIFT_DIVISOR: u32 = 50;

/// Time within which a target lists a run after the start order; the order
/// itself takes at most 0.5 s.
const START_LISTING_TIMEOUT: Duration = Duration::from_millis(2000);

/// Polling schedule of idle targets, shared by all sessions of a placer.
#[derive(Debug)]
pub(crate) struct PollSchedule {
    /// Pause between requests to an idle target, in milliseconds; 0 if the next
    /// request is sent at once and waits at the target.
    idle_ms: AtomicU64,
    claims: Semaphore,
}

impl Default for PollSchedule {
    fn default() -> Self {
        Self { idle_ms: AtomicU64::new(0), claims: Semaphore::new(MAX_CONCURRENT_CLAIMS) }
    }
}

impl PollSchedule {
    /// Sets the number of targets. Returns the longest interval between
    /// requests to an idle target.
    pub(crate) fn set_targets(&self, targets: usize) -> Duration {
        let period = Duration::from_secs(targets as u64) / MAX_IDLE_REQUESTS_PER_S;
        let pause = if period > LONG_POLL_TIMEOUT { period } else { Duration::ZERO };
        self.idle_ms.store(pause.as_millis() as u64, Ordering::Relaxed);
        period.max(LONG_POLL_TIMEOUT) + pause / JITTER_DIVISOR
    }

    /// Returns the pause before the next request to an idle target; `None` if
    /// the request is sent at once and waits at the target.
    fn idle_pause(&self) -> Option<Duration> {
        let pause = Duration::from_millis(self.idle_ms.load(Ordering::Relaxed));
        // The jitter spreads out targets that were claimed at the same time.
        (!pause.is_zero()).then(|| pause + jitter(pause / JITTER_DIVISOR))
    }
}

/// Process of a target, as far as its answers have shown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Process {
    /// Fencing token of the orders for this process.
    pub(crate) fence: Fence,
    /// Start time of the process, in milliseconds since 1970; 0 before the first
    /// listing.
    born_unix_ms: u64,
    /// Clock of the target in milliseconds, and the time at which the clock was
    /// read; `None` before a listing in answer to the token.
    clock: Option<(u64, Duration)>,
    /// Highest number of a recorded end; the process may forget ends up to this
    /// number.
    recorded_end: u64,
    /// Highest number up to which the process has forgotten its ends, as an
    /// answer has confirmed.
    forgotten_end: u64,
    /// Highest number of an end that the process has listed.
    listed_end: u64,
}

impl Process {
    fn new(fence: Fence, born_unix_ms: u64) -> Self {
        Self { fence, born_unix_ms, clock: None, recorded_end: 0, forgotten_end: 0, listed_end: 0 }
    }

    /// Returns the highest number of an end to forget; 0 if the process has
    /// forgotten all recorded ends. A number is not sent longer than needed, because
    /// a request may reach a later process, whose ends have the same numbers.
    fn end_to_forget(&self) -> u64 {
        if self.recorded_end > self.forgotten_end { self.recorded_end } else { 0 }
    }

    /// Returns whether the process has listed ends that are not recorded yet.
    fn has_unrecorded_ends(&self) -> bool {
        self.listed_end > self.recorded_end
    }

    /// Returns the maximum error of the clock as computed from its last reading.
    fn max_clock_error(&self, now: Duration) -> Duration {
        let age = self.clock.map_or(Duration::ZERO, |(_, read_at)| now.saturating_sub(read_at));
        MAX_CLOCK_ERROR + age / CLOCK_DRIFT_DIVISOR
    }

    /// Returns the end of a lease granted at `now`, in milliseconds on the
    /// target's clock; `None` until the clock is known.
    pub(crate) fn lease_until_ms(&self, lease: Duration, now: Duration) -> Option<u64> {
        let (clock_ms, read_at) = self.clock?;
        Some(clock_ms + (now.saturating_sub(read_at) + lease).as_millis() as u64)
    }
}

/// Process that a listing comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// The process that the request was for.
    Expected,
    /// A process that was not known before. Orders for the earlier one may still
    /// reach it, as it has not seen a token of its own.
    Unknown,
    /// Uncertain, since the target has started again after the request.
    Outdated,
}

/// State of one target that is shared by the tasks of a placer.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) target: Target,
    poll_schedule: Arc<PollSchedule>,
    fences: Arc<Fences>,
    /// Notified when a run is about to start.
    start_expected: Notify,
    /// Time of the last notification, in milliseconds since the machine
    /// started.
    start_expected_ms: AtomicU64,
    process: Mutex<Process>,
    recorded: Notify,
    has_ended: AtomicBool,
}

impl Session {
    pub(crate) fn new(
        target: Target,
        poll_schedule: Arc<PollSchedule>,
        fences: Arc<Fences>,
    ) -> Self {
        let process = Process::new(fences.next(), 0);
        Self {
            target,
            poll_schedule,
            fences,
            start_expected: Notify::new(),
            start_expected_ms: AtomicU64::new(0),
            process: Mutex::new(process),
            recorded: Notify::new(),
            has_ended: AtomicBool::new(false),
        }
    }

    /// Returns the process that orders are for.
    pub(crate) fn process(&self) -> Process {
        *self.lock_process()
    }

    /// Returns whether `fence` is the token of the process that orders are for.
    pub(crate) fn is_current(&self, fence: Fence) -> bool {
        self.lock_process().fence == fence
    }

    fn lock_process(&self) -> MutexGuard<'_, Process> {
        self.process.lock().expect("no thread panics while holding the lock")
    }

    /// Applies a reading of the start time and the clock of the process that has
    /// answered a request with the token `fence`.
    fn identify(
        &self,
        ctx: &Context,
        fence: Fence,
        born_unix_ms: u64,
        clock_ms: u64,
        now: Duration,
    ) -> Origin {
        let mut process = self.lock_process();
        if process.fence != fence {
            return Origin::Outdated;
        }
        let earlier = *process;
        if earlier.born_unix_ms == 0 || earlier.born_unix_ms == born_unix_ms {
            process.born_unix_ms = born_unix_ms;
            process.clock = Some((clock_ms, now));
            return Origin::Expected;
        }
        *process = Process::new(self.fences.next(), born_unix_ms);
        emit!(ctx.log, warn, TargetRestarted; "target" => %self.target.id,
            "born_unix_ms" => born_unix_ms, "earlier_born_unix_ms" => earlier.born_unix_ms,
            "clock_ms" => clock_ms,
            "earlier_clock_ms" => earlier.lease_until_ms(Duration::ZERO, now),
            "fence" => process.fence.0);
        Origin::Unknown
    }

    /// Returns the event that follows from the answer to a request for `process`;
    /// `None` if the answer says nothing, since the target has started again.
    fn interpret(
        &self,
        ctx: &Context,
        process: Process,
        requested_at: Duration,
        answer: OrderResult<Listing>,
    ) -> Option<Event> {
        let target = self.target.id.clone();
        let unreachable = |target: Name, reason: &str| {
            Some(Event::TargetUnreachable { target, reason: reason.to_owned() })
        };
        match answer {
            Ok((listing, clock_ms)) => {
                let born_unix_ms = listing.born_unix_ms;
                match self.identify(ctx, process.fence, born_unix_ms, clock_ms, clock::now()) {
                    Origin::Expected => Some(Event::TargetListed { target, requested_at, listing }),
                    Origin::Unknown => Some(Event::RestartSuspected { target }),
                    Origin::Outdated => None,
                }
            }
            Err(_) if !self.is_current(process.fence) => None,
            Err(OrderError::Fenced) => Some(Event::Fenced("a target knows a later term")),
            Err(OrderError::Replaced) => unreachable(target, "another target is there"),
            Err(OrderError::NoAnswer(reason)) => unreachable(target, &reason),
        }
    }

    /// Reports a lease that is longer on the clock of the process that took it
    /// than on the clock for which it was granted. If it is much longer, that
    /// process is another one, and gets a token of its own.
    pub(crate) fn report_excess_lease(
        &self,
        ctx: &Context,
        events: &mpsc::UnboundedSender<Event>,
        process: Process,
        granted: Duration,
        lease_until_ms: u64,
        clock_ms: u64,
    ) {
        let taken = Duration::from_millis(lease_until_ms.saturating_sub(clock_ms));
        if taken <= granted {
            return;
        }
        let target = self.target.id.clone();
        if taken > granted + process.max_clock_error(clock::now()) {
            emit!(ctx.log, warn, LeaseExceeded; "target" => %target,
                "granted_ms" => granted.as_millis() as u64,
                "taken_ms" => taken.as_millis() as u64);
            if self.forget_process(process.fence) {
                let _ = events.send(Event::RestartSuspected { target: target.clone() });
            }
        }
        // A send error means that the placer has ended.
        let _ = events.send(Event::LeaseTaken { target, lease: taken, at: clock::now() });
    }

    /// Gives the target a new token, since it has another process than the one with
    /// the token `fence`. Returns whether that was the last token.
    pub(crate) fn forget_process(&self, fence: Fence) -> bool {
        let mut process = self.lock_process();
        let is_current = process.fence == fence;
        if is_current {
            *process = Process::new(self.fences.next(), 0);
        }
        is_current
    }

    /// Ends the pause between requests, because a run is about to start on the
    /// target.
    pub(crate) fn expect_start(&self, now: Duration) {
        self.start_expected_ms.store(now.as_millis() as u64, Ordering::Relaxed);
        self.start_expected.notify_one();
    }

    /// Returns whether a run may have been started that the target has not
    /// listed yet.
    fn is_start_expected(&self, now: Duration) -> bool {
        let expected_at = Duration::from_millis(self.start_expected_ms.load(Ordering::Relaxed));
        now.saturating_sub(expected_at) < START_LISTING_TIMEOUT
    }

    /// Ends the session; the target's lease is no longer renewed.
    pub(crate) fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }

    /// Sets the highest number of a recorded end and wakes the session, unless the
    /// number belongs to an earlier process.
    pub(crate) fn set_recorded_end(&self, end: RecordedEnd) {
        let mut process = self.lock_process();
        if process.born_unix_ms == end.born_unix_ms && process.recorded_end != end.number {
            process.recorded_end = end.number;
            self.recorded.notify_one();
        }
    }

    /// Notes which ends the process has listed and forgotten.
    fn note_ends(&self, fence: Fence, listing: &Listing, forgotten_end: u64) {
        let mut process = self.lock_process();
        if process.fence == fence {
            let listed = listing.ended.iter().map(|end| end.number).max().unwrap_or(0);
            process.listed_end = listed.max(process.recorded_end);
            process.forgotten_end = process.forgotten_end.max(forgotten_end);
        }
    }
}

/// Renews the lease of a target and polls its runs until the session or the
/// placer ends.
pub(crate) async fn maintain(
    ctx: Arc<Context>,
    leadership: Arc<Leadership>,
    session: Arc<Session>,
    lease: Duration,
    events: mpsc::UnboundedSender<Event>,
) {
    let mut was_unreachable = false;
    // Whether the target was idle for the whole last pause.
    let mut was_idle = false;
    while !session.has_ended.load(Ordering::Relaxed) {
        let process = session.process();
        let is_first = process.clock.is_none();
        // Only the first request to each process is limited. The semaphore is never
        // closed, so acquiring cannot fail.
        let claim = if is_first { session.poll_schedule.claims.acquire().await.ok() } else { None };
        let requested_at = clock::now();
        if !leadership.is_valid(requested_at) {
            drop(claim);
            time::sleep(UNRECORDED_BACKOFF).await;
            continue;
        }
        // An unreachable target is granted no lease, so that its lease expires even if
        // requests reach it and only the answers are lost.
        let lease_until_ms =
            process.lease_until_ms(lease, requested_at).filter(|_| !was_unreachable);
        let target = session.target.id.clone();
        if lease_until_ms.is_some()
            && events
                .send(Event::LeaseGranted { target: target.clone(), at: requested_at })
                .is_err()
        {
            return;
        }
        // It may also have started again, so that the number belongs to other ends.
        let recorded_end = if was_unreachable { 0 } else { process.end_to_forget() };
        let has_grant = lease_until_ms.is_some();
        let is_brief = !has_grant || process.has_unrecorded_ends() || std::mem::take(&mut was_idle);
        let wait = if is_brief { Duration::ZERO } else { LONG_POLL_TIMEOUT };
        let renewal = Renewal { lease_until_ms, recorded_end, wait, fence: process.fence };
        let answer =
            ctx.services.orders.renew(&session.target, renewal, wait + ANSWER_MARGIN).await;
        drop(claim);
        let event = session.interpret(&ctx, process, requested_at, answer);
        let is_current = session.is_current(process.fence);
        was_unreachable = is_current && matches!(event, Some(Event::TargetUnreachable { .. }));
        let mut is_idle = false;
        if let Some(Event::TargetListed { listing, .. }) = &event {
            session.note_ends(process.fence, listing, recorded_end);
            is_idle = listing.running.is_empty()
                && listing.ended.is_empty()
                && !session.is_start_expected(clock::now());
        }
        if let Some(event) = event
            && events.send(event).is_err()
        {
            return;
        }
        if let Some(pause) = session.poll_schedule.idle_pause().filter(|_| is_idle) {
            was_idle = time::timeout(pause, session.start_expected.notified()).await.is_err();
        }
        if is_current && !has_grant && !was_unreachable {
            continue;
        }
        time::sleep(MIN_POLL_INTERVAL).await;
        if was_unreachable || session.process().has_unrecorded_ends() {
            // Ends that are recorded during the wait need not be listed again.
            let recorded = session.recorded.notified();
            let _ = time::timeout(UNRECORDED_BACKOFF, recorded).await;
        }
    }
}

/// Polls the runs of a target once, without renewing the lease.
pub(crate) async fn poll_once(
    ctx: Arc<Context>,
    leadership: Arc<Leadership>,
    session: Arc<Session>,
    events: mpsc::UnboundedSender<Event>,
) {
    /// The first request may only show that the target has started again.
    const MAX_REQUESTS: u32 = 2;
    for _ in 0..MAX_REQUESTS {
        let requested_at = clock::now();
        if !leadership.is_valid(requested_at) {
            return;
        }
        let process = session.process();
        // The process may be another one, with ends of these numbers to list.
        let recorded_end = 0;
        let wait = Duration::ZERO;
        let renewal = Renewal { lease_until_ms: None, recorded_end, wait, fence: process.fence };
        let answer = ctx.services.orders.renew(&session.target, renewal, POLL_TIMEOUT).await;
        if answer.is_err() {
            // The session's next request gives the result.
            return;
        }
        if let Some(event) = session.interpret(&ctx, process, requested_at, answer) {
            // A send error means that the placer has ended.
            let _ = events.send(event);
        }
        if session.is_current(process.fence) {
            return;
        }
    }
}
