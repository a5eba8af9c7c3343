//! Leadership of the cell.
//!
//! The leadership is a key that is tied to a lease. The leader sends orders
//! only while its lease is certain to be valid: until the lease time, less a
//! margin, has passed since the last successful renewal was sent. After that
//! the leader suspends its orders, and resumes if a renewal shows that the
//! lease has not expired. Each leadership has a term, whose number targets use
//! to refuse the orders of earlier leaders.
//!
//! A leader hands over when its process ends, or when its lease renewals are no
//! longer confirmed although the key-value service may still serve other nodes.
//! The leader asks the nodes which of them can lead, continues until one is
//! ready, stops, and sends that node the handover. A leader whose renewals are
//! confirmed again by then keeps the leadership: a service that answers slowly
//! answers a successor as slowly.
//!
//! A process that finds the name of its own instance in the key, written by an
//! earlier process, takes the leadership at once, because the earlier process
//! has ended.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use base::{Name, clock, emit};
use bytes::Bytes;
use futures::{FutureExt, StreamExt, stream::FuturesUnordered};
use platform::{Commit, CommitOutcome, Entry, Error, Event, Lease, Revision, Write};
use tokio::time::{self, MissedTickBehavior};

use crate::{
    context::{Context, Leader, RETRY_BACKOFF, jitter},
    decode::decode,
    keys,
    link::{PeerFrame, Succession},
    placer::{self, guard::Guard},
};

/// Timeout of one long poll for a change of the leader.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2000);

/// Maximum random delay before an instance takes a vacant leadership, so that
/// not all instances write at once.
const MAX_ELECTION_JITTER: Duration = Duration::from_millis(100);

/// Age of an unconfirmed renewal from which a leader looks for a successor. The
/// key-value service answers in about 400 ms when it is slow.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(600);

/// Time that a node which is ready to lead waits for the leader's handover.
const SUCCESSION_TIMEOUT: Duration = Duration::from_millis(1500);

/// Delay after which weak instances take a vacant leadership, to give stronger
/// ones precedence.
const WEAK_CANDIDATE_DELAY: Duration = Duration::from_millis(250);

/// Back-off of an instance that has given up the leadership because it could
/// not read the stored state.
const UNFIT_BACKOFF: Duration = Duration::from_secs(5);

/// Value of [`Leadership::unconfirmed_since_ms`] while all renewals are
/// confirmed.
const NONE_UNCONFIRMED: u64 = u64::MAX;

/// Right to send orders during one term.
#[derive(Debug)]
pub(crate) struct Leadership {
    /// Number of the term, from 1.
    pub(crate) term: u64,
    /// Revision of the leader key during this term.
    pub(crate) revision: Revision,
    /// Fences off late execution of unanswered writes.
    pub(crate) guard: Guard,
    lease: Lease,
    /// Time until which the lease is certain to be valid, in milliseconds since
    /// the machine started.
    valid_until_ms: AtomicU64,
    /// Request time of the first renewal that is neither confirmed nor followed
    /// by a confirmed one, in milliseconds since the machine started;
    /// [`NONE_UNCONFIRMED`] if there is none.
    unconfirmed_since_ms: AtomicU64,
    /// What the previous leader handed over; empty without a handover.
    pub(crate) succession: Succession,
}

/// Prerequisites for taking the leadership.
struct Candidate {
    last_term: Option<Entry>,
    lease: Lease,
    ttl: Duration,
    requested_at: Duration,
}

/// Reason why a term ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndReason {
    /// The leadership was lost, for the given reason.
    Lost(&'static str),
    /// The leadership was handed over to another node.
    HandedOver,
    /// The process is shutting down.
    Stopped,
    /// The stored state could not be read in time.
    Unfit,
}

impl Leadership {
    /// Returns whether orders may be sent.
    pub(crate) fn is_valid(&self, now: Duration) -> bool {
        (now.as_millis() as u64) < self.valid_until_ms.load(Ordering::Relaxed)
    }

    /// Prevents any further orders.
    pub(crate) fn invalidate(&self) {
        self.valid_until_ms.store(0, Ordering::Relaxed);
    }

    /// Returns whether renewals have been unconfirmed for so long that the
    /// leader has to look for a successor.
    pub(crate) fn is_unconfirmed(&self, now: Duration) -> bool {
        let since = Duration::from_millis(self.unconfirmed_since_ms.load(Ordering::Relaxed));
        now.saturating_sub(since) > CONFIRMATION_TIMEOUT
    }

    fn extend(&self, requested_at: Duration, ttl: Duration) {
        let until = (requested_at + ttl).as_millis() as u64;
        self.valid_until_ms.fetch_max(until, Ordering::Relaxed);
    }

    /// Sets the request time of the first renewal without confirmation, if there
    /// is one.
    fn set_unconfirmed_since(&self, requested_at: Option<Duration>) {
        let since_ms = requested_at.map_or(NONE_UNCONFIRMED, |at| at.as_millis() as u64);
        self.unconfirmed_since_ms.store(since_ms, Ordering::Relaxed);
    }
}

/// Takes the leadership whenever it is vacant and serves the terms won, until
/// the process ends.
pub(crate) async fn run_elections(ctx: Arc<Context>) {
    let mut configured = ctx.configs.subscribe();
    // A process without a configuration cannot serve as leader.
    let _ = configured.wait_for(|config| config.version > 0).await;
    // Nor can one that doesn't know the evacuations.
    while !ctx.knows_evacuations() && !ctx.is_stopping() {
        time::sleep(RETRY_BACKOFF).await;
    }
    while !ctx.is_stopping() {
        let outcome = tokio::select! {
            outcome = observe_leader(&ctx) => outcome,
            () = ctx.stopped() => return,
        };
        match outcome {
            Ok(Some((leadership, leader))) => serve_term(&ctx, Arc::new(leadership), leader).await,
            Ok(None) => {}
            Err(error) => {
                emit!(ctx.log, warn, WatchFailed; "of" => "lead", "error" => %error);
                time::sleep(RETRY_BACKOFF).await;
            }
        }
    }
}

/// Reads the current leader and waits for a change. Returns the leadership if
/// it was vacant and this node has taken it.
async fn observe_leader(ctx: &Context) -> Result<Option<(Leadership, Leader)>, Error> {
    let store = &ctx.services.store;
    // The revision of the key itself may already be compacted from the history,
    // so the revision of the page is used.
    let page = store.page(keys::LEADER, "").await?;
    let Some(entry) = page.entries.into_iter().next() else {
        set_leader(ctx, None);
        time::sleep(candidate_delay(ctx) + jitter(MAX_ELECTION_JITTER)).await;
        return acquire(ctx, Revision::ABSENT).await;
    };
    let Ok(leader) = work::decode::<Leader>(&entry.value) else {
        return acquire(ctx, entry.revision).await;
    };
    let is_earlier_process =
        &*leader.instance == ctx.settings.name.as_str() && leader.process != ctx.process;
    if is_earlier_process {
        return acquire(ctx, entry.revision).await;
    }
    set_leader(ctx, Some(leader));
    let mut revision = page.revision;
    loop {
        let changes = tokio::select! {
            changes = store.changes(keys::LEADER, revision, WATCH_TIMEOUT) => changes?,
            () = ctx.successor_requested.notified() => return offer_succession(ctx, revision).await,
        };
        revision = changes.revision;
        match changes.events.last() {
            None => {}
            Some(Event::Heartbeat | Event::Put(_) | Event::Deleted { .. }) => return Ok(None),
        }
    }
}

/// Prepares to lead, reports that to the leader, and takes the leadership if
/// the leader hands it over. Returns `None` if another node takes the
/// leadership first.
async fn offer_succession(
    ctx: &Context,
    seen_revision: Revision,
) -> Result<Option<(Leadership, Leader)>, Error> {
    ctx.succession.send_replace(None);
    let candidate = prepare(ctx).await?;
    // After an outage all nodes become ready at the same moment; weak ones wait
    // for the stronger ones.
    time::sleep(candidate_delay(ctx)).await;
    ctx.uplink.send(PeerFrame::CanLead);
    let mut succession = ctx.succession.subscribe();
    let received = async {
        succession.wait_for(Option::is_some).await.ok().and_then(|received| received.clone())
    };
    let succession = tokio::select! {
        received = time::timeout(SUCCESSION_TIMEOUT, received) => received.ok().flatten(),
        changes = ctx.services.store.changes(keys::LEADER, seen_revision, SUCCESSION_TIMEOUT) => {
            changes?;
            None
        }
    };
    let Some(handed_over) = succession else {
        return Ok(None);
    };
    let acquired = acquire_with(ctx, candidate, Revision(handed_over.revision)).await?;
    Ok(acquired
        .map(|(leadership, leader)| (Leadership { succession: handed_over, ..leadership }, leader)))
}

/// Takes the leadership if the leader key still has the expected revision.
async fn acquire(ctx: &Context, expected: Revision) -> Result<Option<(Leadership, Leader)>, Error> {
    let candidate = prepare(ctx).await?;
    acquire_with(ctx, candidate, expected).await
}

async fn prepare(ctx: &Context) -> Result<Candidate, Error> {
    let store = &ctx.services.store;
    let requested_at = clock::now();
    let ttl = Duration::from_millis(ctx.settings.lead.ttl_ms);
    let (last_term, granted) = futures::join!(store.get(keys::TERM), store.grant(ttl));
    let (lease, ttl) = granted?;
    Ok(Candidate { last_term: last_term?, lease, ttl, requested_at })
}

async fn acquire_with(
    ctx: &Context,
    candidate: Candidate,
    expected: Revision,
) -> Result<Option<(Leadership, Leader)>, Error> {
    let store = &ctx.services.store;
    let Candidate { last_term: last, lease, ttl: granted, requested_at } = candidate;
    let term = match &last {
        None => 0,
        Some(entry) => match decode::<u64>(ctx, entry) {
            Some(term) => term,
            // Targets may have seen any term number, and a lower one must never
            // lead.
            None => {
                time::sleep(UNFIT_BACKOFF).await;
                return Ok(None);
            }
        },
    };
    let leader = Leader {
        instance: Name::from(ctx.settings.name.as_str()),
        links: ctx.links_address.clone(),
        process: ctx.process,
        term: term + 1,
    };
    let write = |key: &str, value: Vec<u8>, lease| Write {
        key: key.to_owned(),
        value: Bytes::from(value),
        lease,
    };
    let commit = Commit {
        expected: vec![
            (keys::LEADER.to_owned(), expected),
            (keys::TERM.to_owned(), last.map_or(Revision::ABSENT, |entry| entry.revision)),
        ],
        writes: vec![
            write(keys::LEADER, work::encode(&leader), Some(lease)),
            write(keys::TERM, work::encode(&leader.term), None),
        ],
        removals: Vec::new(),
    };
    let revision = match store.commit(commit).await {
        Ok(CommitOutcome::Done(revision)) => revision,
        Ok(CommitOutcome::Conflict(_)) | Err(Error::Lapsed) => return Ok(None),
        // The write may have been made although the request failed.
        Err(_) => match store.get(keys::LEADER).await? {
            Some(entry) if work::decode(&entry.value) == Ok(leader.clone()) => entry.revision,
            _ => return Ok(None),
        },
    };
    let leadership = Leadership {
        term: leader.term,
        revision,
        guard: Guard::default(),
        lease,
        valid_until_ms: AtomicU64::new(0),
        unconfirmed_since_ms: AtomicU64::new(NONE_UNCONFIRMED),
        succession: Succession::default(),
    };
    leadership.extend(requested_at, granted.saturating_sub(lease_margin(ctx)));
    Ok(Some((leadership, leader)))
}

/// Serves a term until the leadership is lost or the process ends.
async fn serve_term(ctx: &Arc<Context>, leadership: Arc<Leadership>, leader: Leader) {
    emit!(ctx.log, info, LeadAcquired; "term" => leadership.term);
    set_leader(ctx, Some(leader));
    ctx.metrics.leads.set(1);
    let ending = tokio::select! {
        ending = placer::run(Arc::clone(ctx), Arc::clone(&leadership)) => ending,
        reason = renew_lease(ctx, &leadership) => EndReason::Lost(reason),
    };
    set_leader(ctx, None);
    ctx.metrics.leads.set(0);
    ctx.metrics.evacuated_runs.set(0);
    ctx.metrics.uneven_targets.set(0);
    ctx.metrics.set_recovery(0, 0);
    match ending {
        EndReason::Lost(reason) => {
            emit!(ctx.log, warn, LeadLost; "term" => leadership.term, "why" => reason)
        }
        EndReason::HandedOver => {
            emit!(ctx.log, info, LeadReleased; "term" => leadership.term, "to" => "a successor");
        }
        EndReason::Stopped | EndReason::Unfit => {
            // Revoking the lease saves the other nodes the wait for its expiry.
            let ended = ctx.services.store.revoke(leadership.lease).await;
            emit!(ctx.log, info, LeadReleased; "term" => leadership.term, "why" => ?ending,
                "ended" => ?ended);
        }
    }
    if ending == EndReason::Unfit {
        time::sleep(UNFIT_BACKOFF).await;
    }
}

/// Renews the lease until it has expired, and returns the reason. Renewals do
/// not wait for the answers to earlier ones, which may be lost.
async fn renew_lease(ctx: &Context, leadership: &Leadership) -> &'static str {
    let ttl = Duration::from_millis(ctx.settings.lead.ttl_ms).saturating_sub(lease_margin(ctx));
    let mut period = time::interval(Duration::from_millis(ctx.settings.lead.renew_ms));
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut renewals_in_flight = FuturesUnordered::new();
    let mut unconfirmed = VecDeque::new();
    let mut was_valid = true;
    loop {
        tokio::select! {
            _ = period.tick() => {
                let requested_at = clock::now();
                unconfirmed.push_back(requested_at);
                let renewal = ctx.services.store.renew(leadership.lease);
                renewals_in_flight.push(renewal.map(move |answer| (requested_at, answer)));
            }
            Some((requested_at, answer)) = renewals_in_flight.next() => match answer {
                Ok(()) => {
                    leadership.extend(requested_at, ttl);
                    unconfirmed.retain(|at| *at > requested_at);
                }
                Err(Error::Lapsed) => return "the lease has lapsed",
                Err(error) => {
                    emit!(ctx.log, warn, StoreRequestFailed; "request" => "renewal", "error" => %error);
                }
            },
        }
        leadership.set_unconfirmed_since(unconfirmed.front().copied());
        let is_valid = leadership.is_valid(clock::now());
        match (std::mem::replace(&mut was_valid, is_valid), is_valid) {
            (true, false) => emit!(ctx.log, warn, LeadSuspended; "term" => leadership.term),
            (false, true) => emit!(ctx.log, info, LeadResumed; "term" => leadership.term),
            (true, true) | (false, false) => {}
        }
    }
}

/// Returns the time for which this instance leaves a vacant leadership to
/// stronger ones.
fn candidate_delay(ctx: &Context) -> Duration {
    if ctx.settings.is_weak() { WEAK_CANDIDATE_DELAY } else { Duration::ZERO }
}

fn lease_margin(ctx: &Context) -> Duration {
    Duration::from_millis(ctx.settings.lead.margin_ms)
}

fn set_leader(ctx: &Context, leader: Option<Leader>) {
    let is_new = ctx.leader.send_if_modified(|known| {
        let is_new = *known != leader;
        known.clone_from(&leader);
        is_new
    });
    if is_new {
        let name = leader.as_ref().map_or("", |leader| &*leader.instance);
        let term = leader.as_ref().map_or(0, |leader| leader.term);
        emit!(ctx.log, info, LeaderChanged; "leader" => name, "term" => term);
    }
}
