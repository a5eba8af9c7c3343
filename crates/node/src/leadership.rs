//! Who leads the cell.
//!
//! The lead is a key that is tied to a lease. Its holder gives orders only
//! while its lease surely holds: from the time at which the last successful
//! renewal was sent, less a margin. After that it falls silent, and goes on if
//! a renewal shows that the lease outlasted the silence. Each lead has a term,
//! whose number targets use to refuse the orders of earlier ones.
//!
//! A leader that ends, or that the key-value service fails while it serves
//! others, hands over: it asks the nodes who can lead, goes on until one has
//! made ready, stops, and has that one take the lead.
//!
//! A process that finds its own instance's name in the key, of an earlier
//! process, takes the lead at once: the earlier process has ended.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use base::{Name, clock, emit};
use bytes::Bytes;
use futures::{FutureExt, StreamExt, stream::FuturesUnordered};
use platform::{Commit, Committed, Entry, Error, Event, Lease, Revision, Write};
use tokio::time::{self, MissedTickBehavior};
use work::TaskKey;

use crate::{
    context::{Context, Leader, RETRY_BACKOFF, jitter},
    decode::decode,
    keys,
    link::{PeerFrame, Succession},
    placer::{self, guard::Guard},
};

/// How long one wait for a change of the lead takes.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2000);

/// Within this time instances try to take a free lead, so that not all of them
/// write at once.
const MAX_ELECTION_JITTER: Duration = Duration::from_millis(100);

/// Time without a confirmation after which a leader looks for a successor.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(800);

/// Time within which a node that is ready to lead is told to.
const SUCCESSION_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long weak instances leave a free lead to the others.
const WEAK_CANDIDATE_DELAY: Duration = Duration::from_millis(250);

/// Pause of an instance that has given up the lead because it couldn't read
/// what is recorded.
const UNFIT_BACKOFF: Duration = Duration::from_secs(5);

/// A `Lead` is the right to give orders.
#[derive(Debug)]
pub(crate) struct Leadership {
    /// Number of the term, from 1.
    pub(crate) term: u64,
    /// Revision of the lead's key while it is held.
    pub(crate) revision: Revision,
    /// Keeps changes without an answer from being made late.
    pub(crate) guard: Guard,
    lease: Lease,
    /// Until when the lease surely holds, in milliseconds since the machine
    /// started.
    valid_until_ms: AtomicU64,
    /// When the lease was confirmed last, in the same time.
    confirmed_ms: AtomicU64,
    /// The targets that the leader before found silent, with all that may run
    /// on them, if it handed over.
    pub(crate) silent_targets: Vec<(Name, Vec<(TaskKey, u32)>)>,
}

/// A `Candidate` is what a node needs to take the lead.
struct Candidate {
    last_term: Option<Entry>,
    lease: Lease,
    ttl: Duration,
    requested_at: Duration,
}

/// An `Ending` is why a lead ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndReason {
    /// It was lost.
    Lost(&'static str),
    /// Another node was told to take it.
    HandedOver,
    /// The process is to end.
    Stopped,
    /// What is recorded could not be read in time.
    Unfit,
}

impl Leadership {
    /// Tells whether orders may be given.
    pub(crate) fn is_valid(&self, now: Duration) -> bool {
        (now.as_millis() as u64) < self.valid_until_ms.load(Ordering::Relaxed)
    }

    /// Has no more orders be given.
    pub(crate) fn invalidate(&self) {
        self.valid_until_ms.store(0, Ordering::Relaxed);
    }

    /// Tells whether it is time to look for a successor.
    pub(crate) fn is_unconfirmed(&self, now: Duration) -> bool {
        let confirmed = Duration::from_millis(self.confirmed_ms.load(Ordering::Relaxed));
        now.saturating_sub(confirmed) > CONFIRMATION_TIMEOUT
    }

    fn extend(&self, requested_at: Duration, ttl: Duration) {
        let until = (requested_at + ttl).as_millis() as u64;
        self.valid_until_ms.fetch_max(until, Ordering::Relaxed);
        self.confirmed_ms.store(clock::now().as_millis() as u64, Ordering::Relaxed);
    }
}

/// Takes the lead whenever it is free, and leads while it is held, until the
/// process ends.
pub(crate) async fn run_elections(ctx: Arc<Context>) {
    let mut configured = ctx.configs.subscribe();
    // A process that doesn't know the configuration has no use for the lead.
    let _ = configured.wait_for(|config| config.version > 0).await;
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

/// Looks who leads and waits for a change; takes the lead if it is free.
async fn observe_leader(ctx: &Context) -> Result<Option<(Leadership, Leader)>, Error> {
    let records = &ctx.services.records;
    // The revision of the key itself may be older than the history.
    let page = records.page(keys::LEADER, "").await?;
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
            changes = records.changes(keys::LEADER, revision, WATCH_TIMEOUT) => changes?,
            () = ctx.successor_requested.notified() => return offer_succession(ctx, revision).await,
        };
        revision = changes.revision;
        match changes.events.last() {
            None => {}
            Some(Event::Heartbeat | Event::Put(_) | Event::Deleted { .. }) => return Ok(None),
        }
    }
}

/// Makes ready to lead, and takes the lead if the leader says so, unless
/// another one takes it first.
async fn offer_succession(
    ctx: &Context,
    seen_revision: Revision,
) -> Result<Option<(Leadership, Leader)>, Error> {
    ctx.succession.send_replace(None);
    let candidate = prepare(ctx).await?;
    // After an outage all nodes are ready at the same moment.
    time::sleep(candidate_delay(ctx)).await;
    ctx.uplink.send(PeerFrame::CanLead);
    let mut succession = ctx.succession.subscribe();
    let received = async {
        succession.wait_for(Option::is_some).await.ok().and_then(|received| received.clone())
    };
    let succession = tokio::select! {
        received = time::timeout(SUCCESSION_TIMEOUT, received) => received.ok().flatten(),
        changes = ctx.services.records.changes(keys::LEADER, seen_revision, SUCCESSION_TIMEOUT) => {
            changes?;
            None
        }
    };
    let Some(Succession { revision, silent_targets }) = succession else {
        return Ok(None);
    };
    let acquired = acquire_with(ctx, candidate, Revision(revision)).await?;
    Ok(acquired.map(|(leadership, leader)| (Leadership { silent_targets, ..leadership }, leader)))
}

/// Takes the lead if its key still has the revision.
async fn acquire(ctx: &Context, expected: Revision) -> Result<Option<(Leadership, Leader)>, Error> {
    let candidate = prepare(ctx).await?;
    acquire_with(ctx, candidate, expected).await
}

async fn prepare(ctx: &Context) -> Result<Candidate, Error> {
    let records = &ctx.services.records;
    let requested_at = clock::now();
    let ttl = Duration::from_millis(ctx.settings.lead.ttl_ms);
    let (last_term, granted) = futures::join!(records.get(keys::TERM), records.grant(ttl));
    let (lease, ttl) = granted?;
    Ok(Candidate { last_term: last_term?, lease, ttl, requested_at })
}

async fn acquire_with(
    ctx: &Context,
    candidate: Candidate,
    expected: Revision,
) -> Result<Option<(Leadership, Leader)>, Error> {
    let records = &ctx.services.records;
    let Candidate { last_term: last, lease, ttl: granted, requested_at } = candidate;
    let term = match &last {
        None => 0,
        Some(entry) => match decode::<u64>(ctx, entry) {
            Some(term) => term,
            // Targets may have seen any number, and a lower one must not lead.
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
    let revision = match records.commit(commit).await {
        Ok(Committed::Done(revision)) => revision,
        Ok(Committed::Conflict(_)) | Err(Error::Lapsed) => return Ok(None),
        // It may have been taken all the same.
        Err(_) => match records.get(keys::LEADER).await? {
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
        confirmed_ms: AtomicU64::new(0),
        silent_targets: Vec::new(),
    };
    leadership.extend(requested_at, granted.saturating_sub(lease_margin(ctx)));
    Ok(Some((leadership, leader)))
}

/// Leads until the lead is lost or the process ends.
async fn serve_term(ctx: &Arc<Context>, leadership: Arc<Leadership>, leader: Leader) {
    emit!(ctx.log, info, LeadTaken; "term" => leadership.term);
    set_leader(ctx, Some(leader));
    ctx.metrics.leads.set(1);
    let ending = tokio::select! {
        ending = placer::run(Arc::clone(ctx), Arc::clone(&leadership)) => ending,
        reason = renew_lease(ctx, &leadership) => EndReason::Lost(reason),
    };
    set_leader(ctx, None);
    ctx.metrics.leads.set(0);
    match ending {
        EndReason::Lost(reason) => {
            emit!(ctx.log, warn, LeadLost; "term" => leadership.term, "why" => reason)
        }
        EndReason::HandedOver => {
            emit!(ctx.log, info, LeadGiven; "term" => leadership.term, "to" => "a successor");
        }
        EndReason::Stopped | EndReason::Unfit => {
            // The others need not wait for the lease to lapse.
            let ended = ctx.services.records.revoke(leadership.lease).await;
            emit!(ctx.log, info, LeadGiven; "term" => leadership.term, "why" => ?ending,
                "ended" => ?ended);
        }
    }
    if ending == EndReason::Unfit {
        time::sleep(UNFIT_BACKOFF).await;
    }
}

/// Renews the lease until it has lapsed; gets why. A renewal doesn't wait for
/// the answer to the one before, which may be lost.
async fn renew_lease(ctx: &Context, leadership: &Leadership) -> &'static str {
    let ttl = Duration::from_millis(ctx.settings.lead.ttl_ms).saturating_sub(lease_margin(ctx));
    let mut period = time::interval(Duration::from_millis(ctx.settings.lead.renew_ms));
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut renewals_in_flight = FuturesUnordered::new();
    let mut was_valid = true;
    loop {
        tokio::select! {
            _ = period.tick() => {
                let requested_at = clock::now();
                let renewal = ctx.services.records.renew(leadership.lease);
                renewals_in_flight.push(renewal.map(move |answer| (requested_at, answer)));
            }
            Some((requested_at, answer)) = renewals_in_flight.next() => match answer {
                Ok(()) => leadership.extend(requested_at, ttl),
                Err(Error::Lapsed) => return "the lease has lapsed",
                Err(error) => {
                    emit!(ctx.log, warn, StoreFailed; "request" => "renewal", "error" => %error);
                }
            },
        }
        let is_valid = leadership.is_valid(clock::now());
        match (std::mem::replace(&mut was_valid, is_valid), is_valid) {
            (true, false) => emit!(ctx.log, warn, LeadSuspended; "term" => leadership.term),
            (false, true) => emit!(ctx.log, info, LeadResumed; "term" => leadership.term),
            (true, true) | (false, false) => {}
        }
    }
}

/// Gets for how long the instance leaves the lead to stronger ones.
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
