//! Account of connections and held bytes, and the decisions that follow from it.

use std::{collections::HashMap, time::Duration};

use super::budget::{Budget, Port};

/// Bytes that a link may have in a message that is not complete before the bytes
/// are charged, and before its greeting.
const FREE_LINK_BYTES: usize = 16 << 10;

/// Time without progress after which a connection with a valid key, or a keyless
/// one towards another keyless one, may lose its place to a newer request. A
/// client that is sending has progress every few round trips.
const MIN_STALL: Duration = Duration::from_millis(300);

/// Number of a connection.
pub type Id = u64;

/// Reason for refusing or disconnecting a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// No connection could make room for a new one.
    Full,
    /// A connection had to make room for a new one.
    Evicted,
    /// A connection with a request that is not complete had to make room.
    Stalled,
    /// The head was not complete in time.
    Head,
    /// The request did not fit into the budget.
    NoRoom,
    /// The request is larger than the limit.
    TooLarge,
    /// The body was not complete in time.
    Body,
}

impl Refusal {
    /// Returns the name of the reason in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Evicted => "evicted",
            Self::Stalled => "stalled",
            Self::Head => "head_timeout",
            Self::NoRoom => "no_room",
            Self::TooLarge => "too_large",
            Self::Body => "body_timeout",
        }
    }
}

/// Answer to a request for room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Charge {
    /// There is room once these connections are closed.
    Granted(Vec<Id>),
    /// There is no room.
    Refused,
}

/// What is known of the client of a connection. Clients of a lower standing are
/// disconnected first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    /// No request has been served.
    New,
    /// A request has been served.
    Known,
    /// A request had a valid key, or an instance has greeted.
    Trusted,
}

/// Part of a request that a connection is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Between requests.
    Idle,
    /// In a head that began at this time.
    Head(Duration),
    /// In a body.
    Body,
    /// The request is complete and is being answered. Closing the connection now
    /// would leave its caller without an answer.
    Answer,
}

#[derive(Debug)]
struct Slot {
    port: Port,
    standing: Standing,
    phase: Phase,
    progress_at: Duration,
    held: usize,
    /// Bytes of a link's incomplete message.
    unsettled: usize,
}

/// Account of the connections of a process. Times are passed in.
#[derive(Debug)]
pub struct Ledger {
    budget: Budget,
    slots: HashMap<Id, Slot>,
    last_id: Id,
    held: usize,
    link_held: usize,
}

impl Ledger {
    /// Creates an empty account.
    pub fn new(budget: Budget) -> Self {
        Self { budget, slots: HashMap::new(), last_id: 0, held: 0, link_held: 0 }
    }

    /// Returns the budget in force.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Replaces the budget. Open connections stay.
    pub fn set_budget(&mut self, budget: Budget) {
        self.budget = budget;
    }

    /// Returns the number of connections of a port.
    pub fn connections(&self, port: Port) -> usize {
        self.slots.values().filter(|slot| slot.port == port).count()
    }

    /// Returns the held bytes of clients and of links.
    pub fn held(&self) -> (usize, usize) {
        (self.held, self.link_held)
    }

    /// Returns the number of connections that hold bytes.
    pub fn holders(&self) -> usize {
        self.slots.values().filter(|slot| slot.held > 0).count()
    }

    /// Admits a connection. If the port is full, the connection of the lowest
    /// standing that has gone longest without progress has to be closed for it.
    pub fn open(&mut self, port: Port, now: Duration) -> Result<(Id, Option<Id>), Refusal> {
        let evicted = if self.connections(port) < self.budget.connections(port) {
            None
        } else {
            let longest = self.longest_stalled(port).ok_or(Refusal::Full)?;
            self.close(longest);
            Some(longest)
        };
        self.last_id += 1;
        let slot = Slot {
            port,
            standing: Standing::New,
            phase: Phase::Idle,
            progress_at: now,
            held: 0,
            unsettled: 0,
        };
        self.slots.insert(self.last_id, slot);
        Ok((self.last_id, evicted))
    }

    /// Chooses a connection to close after the process has run out of descriptors.
    pub fn shed(&mut self) -> Option<Id> {
        let longest = Port::ALL.into_iter().find_map(|port| self.longest_stalled(port))?;
        self.close(longest);
        Some(longest)
    }

    /// Ends a connection and releases what it holds.
    pub fn close(&mut self, id: Id) {
        if let Some(slot) = self.slots.remove(&id) {
            *self.pool(slot.port) -= slot.held;
        }
    }

    /// Notes received bytes.
    ///
    /// # Errors
    /// Fails if a link's message does not fit into the budget; the link must be
    /// closed.
    pub fn receive(&mut self, id: Id, bytes: usize, now: Duration) -> Result<(), Refusal> {
        let Some(slot) = self.slots.get_mut(&id) else {
            return Err(Refusal::Evicted);
        };
        slot.progress_at = now;
        if slot.phase == Phase::Idle {
            slot.phase = Phase::Head(now);
        }
        if slot.port != Port::Links {
            return Ok(());
        }
        slot.unsettled += bytes;
        if slot.unsettled <= FREE_LINK_BYTES {
            return Ok(());
        }
        if slot.standing != Standing::Trusted {
            return Err(Refusal::TooLarge);
        }
        if self.link_held + bytes > self.budget.link_bytes {
            return Err(Refusal::NoRoom);
        }
        slot.held += bytes;
        self.link_held += bytes;
        Ok(())
    }

    /// Notes the end of a link's message.
    pub fn settle(&mut self, id: Id) {
        if let Some(slot) = self.slots.get_mut(&id) {
            self.link_held -= slot.held;
            (slot.held, slot.unsettled, slot.phase) = (0, 0, Phase::Idle);
        }
    }

    /// Notes that a head is complete and its body, if any, follows.
    pub fn begin_body(&mut self, id: Id, now: Duration) {
        if let Some(slot) = self.slots.get_mut(&id) {
            (slot.phase, slot.progress_at) = (Phase::Body, now);
        }
    }

    /// Notes that a request is complete.
    pub fn begin_answer(&mut self, id: Id) {
        if let Some(slot) = self.slots.get_mut(&id) {
            slot.phase = Phase::Answer;
        }
    }

    /// Notes that a request is answered, and whether it was served or refused.
    pub fn finish(&mut self, id: Id, is_served: bool, now: Duration) {
        if let Some(slot) = self.slots.get_mut(&id) {
            (slot.phase, slot.progress_at) = (Phase::Idle, now);
            if is_served {
                slot.standing = slot.standing.max(Standing::Known);
            }
        }
    }

    /// Notes that the client of a connection has shown a valid key.
    pub fn trust(&mut self, id: Id) {
        if let Some(slot) = self.slots.get_mut(&id) {
            slot.standing = Standing::Trusted;
        }
    }

    /// Charges a connection for bytes of its request, before they are read. When
    /// the budget is used up, connections whose requests have gone longest without
    /// progress make room: those without a valid key first, and for a caller with a
    /// valid key at once. A request is always granted while nothing else is held.
    pub fn charge(&mut self, id: Id, bytes: usize, now: Duration) -> Charge {
        let Some(slot) = self.slots.get(&id) else {
            return Charge::Refused;
        };
        let (standing, own) = (slot.standing, slot.held);
        let is_trusted = standing == Standing::Trusted;
        let max = if is_trusted { self.budget.held_bytes } else { self.budget.keyless_bytes };
        let wanted = self.held.saturating_add(bytes);
        let mut victims = Vec::new();
        if wanted > max && self.held > own {
            let mut missing = wanted - max;
            let mut stalled: Vec<(bool, Duration, Id, usize)> = self
                .slots
                .iter()
                .filter(|(other, slot)| **other != id && slot.held > 0 && slot.phase == Phase::Body)
                .filter(|(_, slot)| slot.port != Port::Links)
                .filter_map(|(other, slot)| {
                    let is_other_trusted = slot.standing == Standing::Trusted;
                    let is_stalled = now.saturating_sub(slot.progress_at) >= MIN_STALL;
                    let may_evict = match (is_trusted, is_other_trusted) {
                        (true, false) => true,
                        (true, true) | (false, false) => is_stalled,
                        (false, true) => false,
                    };
                    may_evict.then_some((is_other_trusted, slot.progress_at, *other, slot.held))
                })
                .collect();
            stalled.sort_unstable();
            for (_, _, other, held) in stalled {
                if missing == 0 {
                    break;
                }
                missing = missing.saturating_sub(held);
                victims.push(other);
            }
            // A request alone is granted whatever its size.
            let rest: usize = victims.iter().map(|victim| self.slots[victim].held).sum();
            if missing > 0 && self.held - rest > own {
                return Charge::Refused;
            }
            for victim in &victims {
                self.close(*victim);
            }
        }
        self.held = self.held.saturating_add(bytes);
        if let Some(slot) = self.slots.get_mut(&id) {
            slot.held = slot.held.saturating_add(bytes);
        }
        Charge::Granted(victims)
    }

    /// Releases bytes that a connection was charged for.
    pub fn release(&mut self, id: Id, bytes: usize) {
        if let Some(slot) = self.slots.get_mut(&id) {
            let bytes = bytes.min(slot.held);
            slot.held -= bytes;
            self.held -= bytes;
        }
    }

    /// Returns the connections that must be closed because a time limit has passed,
    /// and forgets them. There is no limit between requests or before the first one,
    /// as clients open connections ahead of use and keep them; they only make room
    /// when the port is full.
    pub fn overdue(&mut self, now: Duration) -> Vec<(Id, Port, Refusal)> {
        let Budget { head_timeout, idle_timeout, .. } = self.budget;
        let reason = |slot: &Slot| {
            let stalled = now.saturating_sub(slot.progress_at);
            match slot.phase {
                // Links have time limits of their own once they have greeted.
                Phase::Head(_)
                    if slot.port == Port::Links && slot.standing == Standing::Trusted =>
                {
                    None
                }
                Phase::Head(since) if now.saturating_sub(since) > head_timeout => {
                    Some(Refusal::Head)
                }
                Phase::Body if stalled > head_timeout.max(idle_timeout) => Some(Refusal::Body),
                _ => None,
            }
        };
        let overdue: Vec<_> = self
            .slots
            .iter()
            .filter_map(|(id, slot)| reason(slot).map(|reason| (*id, slot.port, reason)))
            .collect();
        for (id, _, _) in &overdue {
            self.close(*id);
        }
        overdue
    }

    /// Returns the connection of a port to close first: of the lowest standing, and
    /// longest without progress. Connections that wait for an answer are left.
    fn longest_stalled(&self, port: Port) -> Option<Id> {
        let of_port = self.slots.iter().filter(|(_, slot)| slot.port == port);
        let open = of_port.filter(|(_, slot)| slot.phase != Phase::Answer);
        // Links that have greeted close themselves when they fall silent.
        let open =
            open.filter(|(_, slot)| port != Port::Links || slot.standing != Standing::Trusted);
        open.min_by_key(|(id, slot)| (slot.standing, slot.progress_at, **id)).map(|(id, _)| *id)
    }

    fn pool(&mut self, port: Port) -> &mut usize {
        match port {
            Port::Links => &mut self.link_held,
            Port::Clients | Port::Readiness | Port::Metrics => &mut self.held,
        }
    }
}
