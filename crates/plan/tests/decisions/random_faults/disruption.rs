//! Faults of a day, and their ends.

use std::time::Duration;

use plan::Availability;
use rand::Rng;
use work::End;

use super::{
    faults::Kind,
    leader,
    leader::Handover,
    target::{Cut, Impairment},
    world::{Event, World},
};

/// Time after which the entry of a silent target is removed.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(4500);

/// Trouble of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    Slow,
    Down,
    LosesAnswers,
}

/// Change that a fault brings later.
pub enum Disruption {
    /// A target starts.
    Up(usize),
    /// A target writes its entry.
    Entry(usize),
    /// The entry of a target is removed if this process wrote it.
    Expiry(usize, u64),
    /// A drained target leaves.
    Leave(usize),
    /// The leader of this term may send orders, or no longer.
    Validity(u32, bool),
    /// The leader of this term is dead, and its lease is over.
    Death(u32),
    StoreBack,
}

impl World {
    fn random_target(&mut self) -> usize {
        self.rng.random_range(0..self.targets.len())
    }

    /// Lets a fault strike.
    pub fn strike(&mut self, kind: Kind) {
        let target = self.random_target();
        match kind {
            Kind::Crash => {
                self.crash(target);
                // Targets that come back are cut off more often than others.
                if self.rng.random_bool(0.3) {
                    self.cut(target);
                }
            }
            Kind::Cut => self.cut(target),
            Kind::Impairment => {
                let impairments = [
                    Impairment::Errors,
                    Impairment::Hangs,
                    Impairment::LostAnswers,
                    Impairment::Late,
                    Impairment::Slow,
                ];
                let impairment = impairments[self.rng.random_range(0..impairments.len())];
                let until = self.now + self.time(300..8000);
                self.note(|_| format!("target-{target}: {impairment:?} until {until:?}"));
                self.targets[target].impairment = Some((impairment, until));
            }
            Kind::Unlisting => self.unlist(target),
            Kind::Drain => {
                if let Some((availability, _)) = &mut self.targets[target].entry {
                    *availability = Availability::Draining;
                    self.list_changed();
                    let after = self.time(2500..8000);
                    self.schedule(after, Event::Disruption(Disruption::Leave(target)));
                }
            }
            Kind::Leader => self.disturb_leader(),
            Kind::Store => self.disturb_store(),
        }
    }

    fn crash(&mut self, target: usize) {
        let Some(process) = self.targets[target].process.take() else {
            return;
        };
        let place = (target, process.born);
        self.note(|_| format!("{place:?} crashes"));
        for (task, run) in process.runs.keys() {
            self.judge.ended(task, place, *run);
            self.leave_gang(task, *run, End::Lapsed);
        }
        for call in process.parked {
            self.parked.remove(&call);
        }
        let after = self.time(30..5000);
        self.schedule(after, Event::Disruption(Disruption::Up(target)));
        let expiry = Disruption::Expiry(target, process.born);
        self.schedule(ENTRY_TIMEOUT, Event::Disruption(expiry));
    }

    fn cut(&mut self, target: usize) {
        let cut = [Cut::Both, Cut::Both, Cut::Orders, Cut::Answers][self.rng.random_range(0..4)];
        let begin = self.now;
        let time =
            if self.rng.random_bool(0.5) { self.time(100..3000) } else { self.time(3000..14_000) };
        let is_for_all = self.rng.random_bool(0.6);
        let term = self.leader.as_ref().map(|leader| leader.term).filter(|_| !is_for_all);
        self.note(|_| format!("target-{target}: cut {cut:?} for {time:?} of term {term:?}"));
        self.targets[target].cut = Some((cut, begin + time, term));
    }

    fn unlist(&mut self, target: usize) {
        if self.targets[target].entry.take().is_some() {
            self.note(|_| format!("target-{target} is unlisted"));
            self.list_changed();
            let after = self.time(100..5000);
            self.schedule(after, Event::Disruption(Disruption::Entry(target)));
        }
    }

    fn disturb_leader(&mut self) {
        let Some(term) = self.leader.as_ref().map(|leader| leader.term) else {
            return;
        };
        match self.rng.random_range(0..5) {
            0 => {
                self.note(|_| format!("leader {term} dies"));
                self.leader = None;
                let after = self.time(200..3500);
                self.schedule(after, Event::Disruption(Disruption::Death(term)));
            }
            1 => self.tell_leader(Duration::ZERO, leader::Event::HandOver),
            2 => {
                let time = self.time(50..1500);
                self.pause(time);
            }
            3 => {
                // The pause outlasts the leadership; orders that were about to be sent
                // leave when it is over.
                self.note(|_| format!("leader {term} stands still for good"));
                self.send_delay = self.time(100..9000);
                self.handle_leader(term, leader::Event::Tick);
                self.send_delay = Duration::ZERO;
                self.leader = None;
                let after = self.time(1500..3500);
                self.schedule(after, Event::Disruption(Disruption::Death(term)));
            }
            _ => self.suspend(term, true),
        }
    }

    fn pause(&mut self, time: Duration) {
        self.note(|_| format!("leader stands still for {time:?}"));
        let until = self.now + time;
        if let Some(leader) = &mut self.leader {
            leader.paused_until = until;
        }
    }

    /// Suspends the leadership for a while.
    fn suspend(&mut self, term: u32, is_resumed: bool) {
        let begin = self.time(0..1000);
        self.schedule(begin, Event::Disruption(Disruption::Validity(term, false)));
        if is_resumed {
            let end = begin + self.time(200..5000);
            self.schedule(end, Event::Disruption(Disruption::Validity(term, true)));
        }
    }

    fn disturb_store(&mut self) {
        if self.trouble.is_some() {
            return;
        }
        let trouble = [Trouble::Slow, Trouble::Down, Trouble::LosesAnswers];
        let trouble = trouble[self.rng.random_range(0..3)];
        let time = self.time(300..7000);
        self.note(|_| format!("store: {trouble:?} for {time:?}"));
        self.trouble = Some((trouble, self.now + time));
        self.schedule(time, Event::Disruption(Disruption::StoreBack));
        if trouble != Trouble::Down {
            return;
        }
        // Entries may expire meanwhile, and the lease of the leader may end.
        for target in 0..self.targets.len() {
            if self.rng.random_bool(0.3) {
                self.unlist(target);
            }
        }
        let Some(term) = self.leader.as_ref().map(|leader| leader.term) else {
            return;
        };
        let suspended = Duration::from_secs(1);
        if time > suspended {
            let is_lost = self.rng.random_bool(0.5);
            self.schedule(suspended, Event::Disruption(Disruption::Validity(term, false)));
            let after = time + self.time(0..500);
            let end =
                if is_lost { Disruption::Death(term) } else { Disruption::Validity(term, true) };
            self.schedule(after, Event::Disruption(end));
        }
    }

    pub fn disrupt(&mut self, disruption: Disruption) {
        match disruption {
            Disruption::Up(target) => {
                if self.targets[target].process.is_none() {
                    let process = self.new_process();
                    let clock_ms = process.clock_ms(self.now);
                    let born = process.born;
                    self.note(|_| format!("target-{target} starts as {born}, clock {clock_ms}"));
                    self.targets[target].process = Some(process);
                    let after = self.time(0..1500);
                    self.schedule(after, Event::Disruption(Disruption::Entry(target)));
                }
            }
            Disruption::Entry(target) => {
                let born = self.targets[target].process.as_ref().map(|process| process.born);
                if let Some(born) = born {
                    self.targets[target].entry = Some((Availability::Ready, born));
                    self.list_changed();
                }
            }
            Disruption::Expiry(target, born) => {
                let is_expired = self.targets[target].entry.is_some_and(|(_, by)| by == born);
                let process = self.targets[target].process.as_ref();
                if is_expired && process.is_none_or(|process| process.born != born) {
                    self.targets[target].entry = None;
                    self.list_changed();
                }
            }
            Disruption::Leave(target) => {
                let is_draining = self.targets[target]
                    .entry
                    .is_some_and(|(availability, _)| availability == Availability::Draining);
                if is_draining {
                    self.targets[target].entry = None;
                    self.list_changed();
                    self.crash(target);
                }
            }
            Disruption::Validity(term, is_valid) => {
                let leader = self.leader.as_mut().filter(|leader| leader.term == term);
                if let Some(leader) = leader {
                    leader.is_valid = is_valid;
                    self.note(|_| format!("leader {term} is valid: {is_valid}"));
                }
            }
            Disruption::Death(term) => {
                if self.store.term == term {
                    self.leader = None;
                    self.schedule(Duration::ZERO, Event::TakeOver(term, Handover::default()));
                }
            }
            Disruption::StoreBack => self.trouble = None,
        }
    }
}
