//! Calls that may run at most once.
//!
//! Before such a call starts, its id is recorded. A repeat at any instance
//! finds the record, also after the first instance has died. Records are kept
//! in slots by time, so that one write carries only those of its slot.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use base::Failure;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use sha2::{Digest, Sha256};
use wire::Tell;

use crate::version::{ledger::Writer, placer::command::Reply};

/// Slots of a region; they are used in turn.
pub(crate) const SLOTS: usize = 12;

/// Time that one slot covers, in milliseconds.
const SLOT_MS: u64 = 60_000;

/// Time for which a repeat is surely found, in milliseconds.
const KEEP_MS: u64 = (SLOTS as u64 - 2) * SLOT_MS;

/// Most records in a slot; a slot then takes about 640 kilobytes.
const MOST_IN_SLOT: usize = 40_000;

/// Time after which a caller may come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time without word from the store after which nothing new is recorded.
const STORE_SILENCE: Duration = Duration::from_secs(2);

/// Bytes of the digest of a call's team and id.
const ID_BYTES: usize = 16;

type Id = [u8; ID_BYTES];

/// A `Record` is a slot as it is stored: digests one after another.
#[derive(Default, Serialize, Deserialize)]
struct Record {
    /// Start of the time that the slot covers, in milliseconds since 1970.
    start_ms: u64,
    ids: ByteBuf,
}

#[derive(Debug, Default)]
struct Slot {
    sheet: Option<Writer>,
    start_ms: u64,
    ids: HashSet<Id>,
    dirty: bool,
    written_at: Option<Duration>,
    next: Vec<Reply>,
    under_way: Vec<Reply>,
}

/// An `Admissions` is the record of the calls that may run at most once.
#[derive(Debug, Default)]
pub(crate) struct Admissions {
    slots: Vec<Slot>,
    /// The slot of each id.
    known: HashMap<Id, usize>,
}

impl Admissions {
    /// Takes in a slot that an earlier owner wrote.
    pub(crate) fn load(&mut self, sheet: Writer, body: &[u8]) {
        let record: Record = ciborium::from_reader(body).unwrap_or_default();
        let number = self.slots.len();
        let ids: HashSet<Id> = record.ids.as_chunks::<ID_BYTES>().0.iter().copied().collect();
        self.known.extend(ids.iter().map(|id| (*id, number)));
        let start_ms = record.start_ms;
        self.slots.push(Slot { sheet: Some(sheet), start_ms, ids, ..Default::default() });
    }

    /// Records a call and answers once that is certain.
    pub(crate) fn admit(
        &mut self,
        team: &str,
        request: &str,
        now_ms: u64,
        store_age: Duration,
        reply: Reply,
    ) {
        let id = id_of(team, request);
        let start_ms = now_ms / SLOT_MS * SLOT_MS;
        let number = (now_ms / SLOT_MS) as usize % SLOTS;
        let slot = &mut self.slots[number];
        let failure = if self.known.contains_key(&id) {
            Some(Failure::unknown("a call with this id was accepted before"))
        } else if store_age > STORE_SILENCE {
            Some(Failure::busy(RETRY_AFTER, "the key-value service doesn't answer"))
        } else if slot.start_ms > start_ms || slot.ids.len() >= MOST_IN_SLOT {
            Some(Failure::busy(RETRY_AFTER, "too many calls that may run at most once"))
        } else {
            None
        };
        if let Some(failure) = failure {
            let _ = reply.send(Err(failure));
            return;
        }
        if slot.start_ms < start_ms {
            // The slot's earlier records have been kept for their time.
            for old in slot.ids.drain() {
                self.known.remove(&old);
            }
            slot.start_ms = start_ms;
        }
        slot.ids.insert(id);
        slot.dirty = true;
        slot.next.push(reply);
        self.known.insert(id, number);
    }

    /// Takes back a record, so that the caller may repeat the call. If the
    /// write is lost, a repeat is refused, which is safe.
    pub(crate) fn retract(&mut self, team: &str, request: &str) {
        let id = id_of(team, request);
        if let Some(number) = self.known.remove(&id) {
            self.slots[number].ids.remove(&id);
            self.slots[number].dirty = true;
        }
    }

    /// Forgets records after their time.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        for slot in &mut self.slots {
            if !slot.ids.is_empty() && slot.start_ms + SLOT_MS + KEEP_MS < now_ms {
                for old in slot.ids.drain() {
                    self.known.remove(&old);
                }
                slot.dirty = true;
            }
        }
    }

    /// Gets the slots to write now, each with its number and body.
    pub(crate) fn next_writes(
        &mut self,
        now: Duration,
        least: Duration,
    ) -> Vec<(usize, Writer, Vec<u8>)> {
        let mut writes = Vec::new();
        for (number, slot) in self.slots.iter_mut().enumerate() {
            let is_due = slot.written_at.is_none_or(|at| now >= at + least);
            if !slot.dirty || !is_due {
                continue;
            }
            let Some(sheet) = slot.sheet.take() else {
                continue;
            };
            slot.dirty = false;
            slot.written_at = Some(now);
            slot.under_way = std::mem::take(&mut slot.next);
            let ids = ByteBuf::from(slot.ids.iter().flatten().copied().collect::<Vec<u8>>());
            let record = Record { start_ms: slot.start_ms, ids };
            let mut body = Vec::new();
            ciborium::into_writer(&record, &mut body).expect("a record has only encodable parts");
            writes.push((number, sheet, body));
        }
        writes
    }

    /// Answers those whose calls were recorded by a write.
    pub(crate) fn written(&mut self, number: usize, sheet: Writer) {
        let slot = &mut self.slots[number];
        slot.sheet = Some(sheet);
        for reply in slot.under_way.drain(..) {
            let _ = reply.send(Ok(Tell::Done));
        }
    }
}

fn id_of(team: &str, request: &str) -> Id {
    let hash = Sha256::new().chain_update(team).chain_update([0]).chain_update(request).finalize();
    hash[..ID_BYTES].try_into().expect("a hash is longer than an id")
}
