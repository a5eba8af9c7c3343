//! Who leads the cell.
//!
//! The lead is a key that is tied to a lease. Its holder gives orders only
//! while its lease surely holds: from the time at which the last successful
//! renewal was sent, less a margin. After that it falls silent, and goes on if
//! a renewal shows that the lease outlasted the silence. Each lead has a term,
//! whose number targets use to refuse the orders of earlier ones.
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
use platform::{Commit, Committed, Error, Event, Lease, Revision, Write};
use tokio::time::{self, MissedTickBehavior};

use crate::{
    context::{Context, Leader, jitter},
    keys, placer,
};

/// How long one wait for a change of the lead takes.
const WATCH_WAIT: Duration = Duration::from_millis(2000);

/// Pause after a failed request.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Within this time instances try to take a free lead, so that not all of them
/// write at once.
const TAKE_JITTER: Duration = Duration::from_millis(100);

/// A `Lead` is the right to give orders.
#[derive(Debug)]
pub(crate) struct Lead {
    /// Number of the term, from 1.
    pub(crate) term: u64,
    /// Revision of the lead's key while it is held.
    pub(crate) revision: Revision,
    lease: Lease,
    /// Until when the lease surely holds, in milliseconds since the machine
    /// started.
    valid_until_ms: AtomicU64,
}

impl Lead {
    /// Tells whether orders may be given.
    pub(crate) fn is_valid(&self, now: Duration) -> bool {
        (now.as_millis() as u64) < self.valid_until_ms.load(Ordering::Relaxed)
    }

    fn extend(&self, sent: Duration, ttl: Duration) {
        let until = (sent + ttl).as_millis() as u64;
        self.valid_until_ms.fetch_max(until, Ordering::Relaxed);
    }
}

/// Takes the lead whenever it is free, and leads while it is held, until the
/// process ends.
pub(crate) async fn keep_lead(ctx: Arc<Context>) {
    let mut configured = ctx.configs.subscribe();
    // A process that doesn't know the configuration has no use for the lead.
    let _ = configured.wait_for(|config| config.version > 0).await;
    while !ctx.is_stopping() {
        let looked = tokio::select! {
            looked = look(&ctx) => looked,
            () = ctx.stopped() => return,
        };
        match looked {
            Ok(Some((lead, process))) => lead_on(&ctx, Arc::new(lead), process).await,
            Ok(None) => {}
            Err(error) => {
                emit!(ctx.log, warn, WatchFailed; "of" => "lead", "error" => %error);
                time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Looks who leads and waits for a change; takes the lead if it is free.
async fn look(ctx: &Context) -> Result<Option<(Lead, Leader)>, Error> {
    let records = &ctx.edges.records;
    // The revision of the key itself may be older than the history.
    let page = records.page(keys::LEAD, "").await?;
    let Some(entry) = page.entries.into_iter().next() else {
        note_leader(ctx, None);
        time::sleep(jitter(TAKE_JITTER)).await;
        return take(ctx, Revision::ABSENT).await;
    };
    let Ok(leader) = work::decode::<Leader>(&entry.value) else {
        return take(ctx, entry.revision).await;
    };
    if &*leader.instance == ctx.settings.name.as_str() {
        return take(ctx, entry.revision).await;
    }
    note_leader(ctx, Some(leader));
    let mut revision = page.revision;
    loop {
        let changes = records.changes(keys::LEAD, revision, WATCH_WAIT).await?;
        revision = changes.revision;
        match changes.events.last() {
            None => {}
            Some(Event::Heartbeat | Event::Put(_) | Event::Deleted { .. }) => return Ok(None),
        }
    }
}

/// Takes the lead if its key still has the revision.
async fn take(ctx: &Context, expected: Revision) -> Result<Option<(Lead, Leader)>, Error> {
    let records = &ctx.edges.records;
    let last = records.get(keys::TERM).await?;
    let term = last.as_ref().and_then(|entry| work::decode::<u64>(&entry.value).ok()).unwrap_or(0);
    let leader = Leader {
        instance: Name::from(ctx.settings.name.as_str()),
        links: Name::from(ctx.settings.links.as_str()),
        process: ctx.process,
        term: term + 1,
    };
    let sent = clock::now();
    let ttl = Duration::from_millis(ctx.settings.lead.ttl_ms);
    let (lease, granted) = records.grant(ttl).await?;
    let write = |key: &str, value: Vec<u8>, lease| Write {
        key: key.to_owned(),
        value: Bytes::from(value),
        lease,
    };
    let commit = Commit {
        expected: vec![
            (keys::LEAD.to_owned(), expected),
            (keys::TERM.to_owned(), last.map_or(Revision::ABSENT, |entry| entry.revision)),
        ],
        writes: vec![
            write(keys::LEAD, work::encode(&leader), Some(lease)),
            write(keys::TERM, work::encode(&leader.term), None),
        ],
        removals: Vec::new(),
    };
    let revision = match records.commit(commit).await {
        Ok(Committed::Done(revision)) => revision,
        Ok(Committed::Conflict(_)) | Err(Error::Lapsed) => return Ok(None),
        // It may have been taken all the same.
        Err(_) => match records.get(keys::LEAD).await? {
            Some(entry) if work::decode(&entry.value) == Ok(leader.clone()) => entry.revision,
            _ => return Ok(None),
        },
    };
    let lead = Lead { term: leader.term, revision, lease, valid_until_ms: AtomicU64::new(0) };
    lead.extend(sent, granted.saturating_sub(margin(ctx)));
    Ok(Some((lead, leader)))
}

/// Leads until the lead is lost or the process ends.
async fn lead_on(ctx: &Arc<Context>, lead: Arc<Lead>, leader: Leader) {
    emit!(ctx.log, info, LeadTaken; "term" => lead.term);
    note_leader(ctx, Some(leader));
    let why = tokio::select! {
        why = placer::run(Arc::clone(ctx), Arc::clone(&lead)) => why,
        why = renew(ctx, &lead) => why,
    };
    note_leader(ctx, None);
    if ctx.is_stopping() {
        // The others need not wait for the lease to lapse.
        let ended = ctx.edges.records.revoke(lead.lease).await;
        emit!(ctx.log, info, LeadGiven; "term" => lead.term, "ended" => ?ended);
    } else {
        emit!(ctx.log, warn, LeadLost; "term" => lead.term, "why" => why);
    }
}

/// Renews the lease until it has lapsed; gets why. A renewal doesn't wait for
/// the answer to the one before, which may be lost.
async fn renew(ctx: &Context, lead: &Lead) -> &'static str {
    let ttl = Duration::from_millis(ctx.settings.lead.ttl_ms).saturating_sub(margin(ctx));
    let mut period = time::interval(Duration::from_millis(ctx.settings.lead.renew_ms));
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut under_way = FuturesUnordered::new();
    let mut was_valid = true;
    loop {
        tokio::select! {
            _ = period.tick() => {
                let sent = clock::now();
                let renewal = ctx.edges.records.renew(lead.lease);
                under_way.push(renewal.map(move |answer| (sent, answer)));
            }
            Some((sent, answer)) = under_way.next() => match answer {
                Ok(()) => lead.extend(sent, ttl),
                Err(Error::Lapsed) => return "the lease has lapsed",
                Err(error) => {
                    emit!(ctx.log, warn, StoreFailed; "request" => "renewal", "error" => %error);
                }
            },
        }
        let is_valid = lead.is_valid(clock::now());
        match (std::mem::replace(&mut was_valid, is_valid), is_valid) {
            (true, false) => emit!(ctx.log, warn, LeadSuspended; "term" => lead.term),
            (false, true) => emit!(ctx.log, info, LeadResumed; "term" => lead.term),
            (true, true) | (false, false) => {}
        }
    }
}

fn margin(ctx: &Context) -> Duration {
    Duration::from_millis(ctx.settings.lead.margin_ms)
}

fn note_leader(ctx: &Context, leader: Option<Leader>) {
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
