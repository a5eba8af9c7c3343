//! Calls that may run at most once.
//!
//! The id of such a call is recorded before the call starts. A repeat through
//! any instance finds the record, even after the first instance has failed.
//! Records are kept in slots by time, so that a write carries only the records
//! of one slot.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use base::Failure;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use sha2::{Digest, Sha256};
use wire::PeerReply;

use crate::version::{ledger::Writer, placer::command::Reply};

/// Slots of a region, used in turn.
pub(crate) const SLOT_COUNT: usize = 12;

/// Time that one slot covers, in milliseconds.
const SLOT_DURATION_MS: u64 = 60_000;

/// Time for which a repeat is certainly found, in milliseconds. Two slots less
/// than a full turn, so that the records of a slot expire before the slot is
/// used again.
const RETENTION_MS: u64 = (SLOT_COUNT as u64 - 2) * SLOT_DURATION_MS;

/// Maximum number of records in a slot; a full slot takes about 640 kB of the
/// megabyte that a value may hold.
const MAX_RECORDS_PER_SLOT: usize = 40_000;

/// Time after which a refused caller may repeat the call.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Age of the last answer from the store above which new calls are refused.
const MAX_STORE_AGE: Duration = Duration::from_secs(2);

/// Bytes of the digest of a call's team and id.
const ID_BYTES: usize = 16;

type Id = [u8; ID_BYTES];

/// Stored form of a slot.
#[derive(Default, Serialize, Deserialize)]
struct Record {
    /// Start of the time that the slot covers, in milliseconds since 1970.
    start_ms: u64,
    ids: ByteBuf,
}

#[derive(Debug, Default)]
struct Slot {
    writer: Option<Writer>,
    start_ms: u64,
    ids: HashSet<Id>,
    is_dirty: bool,
    written_at: Option<Duration>,
    queued: Vec<Reply>,
    in_flight: Vec<Reply>,
}

/// Records of the calls that may run at most once.
#[derive(Debug, Default)]
pub(crate) struct Admissions {
    slots: Vec<Slot>,
    /// Index of the slot that holds each id.
    slot_by_id: HashMap<Id, usize>,
}

impl Admissions {
    /// Adds the next slot, as an earlier owner stored it.
    pub(crate) fn load(&mut self, writer: Writer, body: &[u8]) {
        let record: Record = ciborium::from_reader(body).unwrap_or_default();
        let index = self.slots.len();
        let ids: HashSet<Id> = record.ids.as_chunks::<ID_BYTES>().0.iter().copied().collect();
        self.slot_by_id.extend(ids.iter().map(|id| (*id, index)));
        let start_ms = record.start_ms;
        self.slots.push(Slot { writer: Some(writer), start_ms, ids, ..Default::default() });
    }

    /// Records a call and answers once the record is stored. Repeats are
    /// refused, and so are new calls while the store does not answer or the
    /// slot is full.
    pub(crate) fn admit(
        &mut self,
        team: &str,
        request: &str,
        now_ms: u64,
        store_age: Duration,
        reply: Reply,
    ) {
        let id = digest_id(team, request);
        let start_ms = now_ms / SLOT_DURATION_MS * SLOT_DURATION_MS;
        let index = (now_ms / SLOT_DURATION_MS) as usize % SLOT_COUNT;
        let slot = &mut self.slots[index];
        let failure = if self.slot_by_id.contains_key(&id) {
            Some(Failure::unknown("a call with this id was accepted before"))
        } else if store_age > MAX_STORE_AGE {
            Some(Failure::busy(RETRY_AFTER, "the key-value service doesn't answer"))
        } else if slot.start_ms > start_ms || slot.ids.len() >= MAX_RECORDS_PER_SLOT {
            Some(Failure::busy(RETRY_AFTER, "too many calls that may run at most once"))
        } else {
            None
        };
        if let Some(failure) = failure {
            let _ = reply.send(Err(failure));
            return;
        }
        if slot.start_ms < start_ms {
            // Reuses the slot: its records are older than the retention time.
            for old in slot.ids.drain() {
                self.slot_by_id.remove(&old);
            }
            slot.start_ms = start_ms;
        }
        slot.ids.insert(id);
        slot.is_dirty = true;
        slot.queued.push(reply);
        self.slot_by_id.insert(id, index);
    }

    /// Removes a record, so that the caller may repeat the call. If the write
    /// of the removal is lost, a repeat is refused, which is safe.
    pub(crate) fn retract(&mut self, team: &str, request: &str) {
        let id = digest_id(team, request);
        if let Some(index) = self.slot_by_id.remove(&id) {
            self.slots[index].ids.remove(&id);
            self.slots[index].is_dirty = true;
        }
    }

    /// Removes records that are older than the retention time.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        for slot in &mut self.slots {
            if !slot.ids.is_empty() && slot.start_ms + SLOT_DURATION_MS + RETENTION_MS < now_ms {
                for old in slot.ids.drain() {
                    self.slot_by_id.remove(&old);
                }
                slot.is_dirty = true;
            }
        }
    }

    /// Returns the writes that are due, each with the slot's index and body. A
    /// slot is written at most once per `min_interval`.
    pub(crate) fn take_due_writes(
        &mut self,
        now: Duration,
        min_interval: Duration,
    ) -> Vec<(usize, Writer, Vec<u8>)> {
        let mut writes = Vec::new();
        for (index, slot) in self.slots.iter_mut().enumerate() {
            let is_due = slot.written_at.is_none_or(|at| now >= at + min_interval);
            if !slot.is_dirty || !is_due {
                continue;
            }
            let Some(writer) = slot.writer.take() else {
                continue;
            };
            slot.is_dirty = false;
            slot.written_at = Some(now);
            slot.in_flight = std::mem::take(&mut slot.queued);
            let ids = ByteBuf::from(slot.ids.iter().flatten().copied().collect::<Vec<u8>>());
            let record = Record { start_ms: slot.start_ms, ids };
            let mut body = Vec::new();
            ciborium::into_writer(&record, &mut body).expect("record fields are CBOR-encodable");
            writes.push((index, writer, body));
        }
        writes
    }

    /// Takes back the writer after a write and answers the recorded calls.
    pub(crate) fn finish_write(&mut self, index: usize, writer: Writer) {
        let slot = &mut self.slots[index];
        slot.writer = Some(writer);
        for reply in slot.in_flight.drain(..) {
            let _ = reply.send(Ok(PeerReply::Done));
        }
    }
}

fn digest_id(team: &str, request: &str) -> Id {
    let hash = Sha256::new().chain_update(team).chain_update([0]).chain_update(request).finalize();
    hash[..ID_BYTES].try_into().expect("a hash is longer than an id")
}
