//! Simulated day: a cell with its store, targets, links and leaders.

use std::{
    collections::{BTreeMap, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use base::Name;
use plan::{AdviceRequest, Availability};
use rand::{Rng, SeedableRng, rngs::StdRng};
use work::{Config, Spec, StepKey};

use super::{
    delays::{self, Delays},
    disruption::{Disruption, Trouble},
    faults::{Faults, Kind, Orders},
    judge::Judge,
    leader::{self, Effect, Handover, Leader, target_info, unix_ms},
    message::{Call, Reply},
    network::{Arrival, Gang, Occurrence},
    store::{Outcome, Store, Write},
    target::{Process, Target},
    workload,
};

/// Time during which jobs arrive and faults strike.
const BUSY_TIME: Duration = Duration::from_secs(35);

/// Length of a day.
const DAY: Duration = Duration::from_secs(50);

pub enum Event {
    /// Event of the leader of a term.
    Leader(u32, leader::Event),
    /// An order reaches its target.
    Arrival(Arrival),
    Occurrence(Occurrence),
    Disruption(Disruption),
    Fault(Kind),
    /// The leader learns of the list of targets.
    ShowList,
    ConfirmList,
    Submission,
    /// The cell is looked at for tasks that wait.
    Observation,
    /// A write reaches the store.
    Write {
        write: Write,
        is_answered: bool,
        latency: Duration,
    },
    /// An instance takes the leadership after this term.
    TakeOver(u32, Handover),
    /// The leader of this term has read the stored state.
    Begin(u32, Handover),
}

/// Results of a day.
#[derive(Debug, PartialEq, Eq)]
pub struct Day {
    /// Tasks that broke the rule, and how.
    pub violations: Vec<(work::TaskKey, String)>,
    pub starts: usize,
    /// Tasks that were not started in time, and when.
    pub delays: Vec<(work::TaskKey, String)>,
    /// Tasks that were seen to be due and were started.
    pub due_starts: usize,
    /// Ends of done tasks that were taken note of.
    pub noted: usize,
    pub terms: u32,
    pub restarts: u64,
    /// Hash of all that has happened on the targets.
    pub digest: u64,
}

pub struct World {
    pub now: Duration,
    pub rng: StdRng,
    pub faults: Faults,
    pub targets: Vec<Target>,
    pub store: Store,
    pub trouble: Option<(Trouble, Duration)>,
    pub judge: Judge,
    pub delays: Delays,
    pub leader: Option<Leader>,
    pub specs: BTreeMap<Name, Spec>,
    pub gangs: BTreeMap<(StepKey, u32), Gang>,
    /// Requests that wait for an end at a target.
    pub parked: HashMap<u64, Call>,
    pub restarts: u64,
    /// Additional time until the orders sent at present leave the leader.
    pub send_delay: Duration,
    config: Arc<Config>,
    events: BTreeMap<(Duration, u64), Event>,
    last_event: u64,
    hasher: DefaultHasher,
    /// What has happened, if it is recorded.
    pub trace: Option<Vec<String>>,
}

/// Plays a day. Equal seeds give equal days.
pub fn play(seed: u64, orders: Orders, trace: Option<&mut Vec<String>>) -> Day {
    let mut rng = StdRng::seed_from_u64(seed);
    let faults = Faults::draw(orders, &mut rng);
    let mut world = World::new(faults, rng, trace.is_some());
    world.run();
    if let (Some(trace), Some(lines)) = (trace, world.trace) {
        *trace = lines;
    }
    Day {
        violations: world.judge.violations,
        delays: world.delays.violations,
        due_starts: world.delays.starts,
        starts: world.judge.starts,
        noted: world.judge.noted,
        terms: world.store.term,
        restarts: world.restarts,
        digest: world.hasher.finish(),
    }
}

impl World {
    fn new(faults: Faults, rng: StdRng, is_traced: bool) -> Self {
        let mut world = Self {
            now: Duration::from_secs(1),
            rng,
            faults,
            targets: Vec::new(),
            store: Store::default(),
            trouble: None,
            judge: Judge::default(),
            delays: Delays::default(),
            leader: None,
            specs: BTreeMap::new(),
            gangs: BTreeMap::new(),
            parked: HashMap::new(),
            restarts: 0,
            send_delay: Duration::ZERO,
            config: workload::config(),
            events: BTreeMap::new(),
            last_event: 0,
            hasher: DefaultHasher::new(),
            trace: is_traced.then(Vec::new),
        };
        world.note(|world| format!("{:?}", world.faults));
        for number in 0..world.rng.random_range(2..=6) {
            let process = world.new_process();
            world.targets.push(Target {
                name: Name::from(format!("target-{number}")),
                entry: Some((Availability::Ready, process.born)),
                process: Some(process),
                cut: None,
                impairment: None,
            });
        }
        for (kind, _) in world.faults.rates.clone() {
            world.schedule_fault(kind);
        }
        world.schedule(Duration::ZERO, Event::TakeOver(0, Handover::default()));
        world.schedule(Duration::ZERO, Event::ConfirmList);
        world.schedule(Duration::ZERO, Event::Submission);
        world.schedule(Duration::ZERO, Event::Observation);
        world
    }

    /// Returns a process that starts now, with a clock of its own.
    pub fn new_process(&mut self) -> Process {
        self.restarts += 1;
        let born = unix_ms(self.now) * 1000 + self.restarts;
        let reading = [0, 5_000, 1_000_000_000][self.rng.random_range(0..3)];
        let reading = self.rng.random_range(0..=reading);
        Process::new(born, self.now, reading, self.rng.random_range(980..=1000))
    }

    fn run(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > DAY {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    /// Returns whether the day is at its busy time.
    pub fn is_busy(&self) -> bool {
        self.now < BUSY_TIME
    }

    pub fn schedule(&mut self, after: Duration, event: Event) {
        self.last_event += 1;
        self.events.insert((self.now + after, self.last_event), event);
    }

    pub fn schedule_fault(&mut self, kind: Kind) {
        let rate = self.faults.rates.iter().find(|(known, _)| *known == kind);
        let gap = -self.rng.random_range(f64::EPSILON..1.0_f64).ln() / rate.map_or(1.0, |r| r.1);
        self.schedule(Duration::from_secs_f64(gap.min(1e3)), Event::Fault(kind));
    }

    /// Returns a random time in a range of milliseconds.
    pub fn time(&mut self, ms: std::ops::Range<u64>) -> Duration {
        Duration::from_micros(self.rng.random_range(ms.start * 1000..ms.end * 1000))
    }

    /// Records what has happened.
    pub fn note(&mut self, text: impl FnOnce(&Self) -> String) {
        if self.trace.is_some() {
            let line = format!("{:.6} {}", self.now.as_secs_f64(), text(self));
            self.trace.iter_mut().for_each(|trace| trace.push(line.clone()));
        }
    }

    /// Adds what has happened on a target to the hash.
    pub fn count(&mut self, what: &impl Hash) {
        (self.now, what).hash(&mut self.hasher);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Leader(term, event) => self.handle_leader(term, event),
            Event::Arrival(arrival) => self.arrive(arrival),
            Event::Occurrence(occurrence) => self.occur(occurrence),
            Event::Disruption(disruption) => self.disrupt(disruption),
            Event::Fault(kind) => {
                if self.is_busy() {
                    self.strike(kind);
                    self.schedule_fault(kind);
                }
            }
            Event::ShowList => self.show_list(),
            Event::ConfirmList => {
                if self.trouble.is_none() {
                    self.tell_leader(Duration::ZERO, leader::Event::TargetsConfirmed(self.now));
                }
                self.schedule(Duration::from_millis(500), Event::ConfirmList);
            }
            Event::Submission => self.submit(),
            Event::Observation => {
                self.observe();
                self.schedule(delays::INTERVAL, Event::Observation);
            }
            Event::Write { write, is_answered, latency } => {
                let outcome = self.store.apply(&write);
                if is_answered {
                    let event = leader::Event::Written(write.number, outcome);
                    self.schedule(latency, Event::Leader(write.term, event));
                }
            }
            Event::TakeOver(term, handover) => self.take_over(term, handover),
            Event::Begin(term, handover) => {
                if self.store.term == term {
                    self.begin(handover);
                }
            }
        }
    }

    /// Lets the present leader process an event after a time.
    pub fn tell_leader(&mut self, after: Duration, event: leader::Event) {
        if let Some(leader) = &self.leader {
            let term = leader.term;
            self.schedule(after, Event::Leader(term, event));
        }
    }

    pub fn handle_leader(&mut self, term: u32, event: leader::Event) {
        let now = self.now;
        let Some(leader) = self.leader.as_mut().filter(|leader| leader.term == term) else {
            return;
        };
        if now < leader.paused_until {
            let after = leader.paused_until - now;
            return self.schedule(after, Event::Leader(term, event));
        }
        leader.handle(event, now);
        for effect in leader.take_effects() {
            match effect {
                Effect::Send { call, timeout } => self.send(call, timeout),
                Effect::After(after, event) => self.schedule(after, Event::Leader(term, event)),
                Effect::Write(write) => self.write(write),
                Effect::Advise(request) => self.advise(request),
                Effect::End(handover) => {
                    self.note(|_| format!("term {term} ends: {handover:?}"));
                    self.leader = None;
                    let after = match handover {
                        Some(_) => self.time(20..400),
                        None => self.time(300..2500),
                    };
                    self.schedule(after, Event::TakeOver(term, handover.unwrap_or_default()));
                }
            }
        }
    }

    fn take_over(&mut self, after_term: u32, handover: Handover) {
        if self.store.term != after_term {
            return;
        }
        if let Some((Trouble::Down, until)) = self.trouble {
            let after = until - self.now + self.time(0..300);
            return self.schedule(after, Event::TakeOver(after_term, handover));
        }
        self.leader = None;
        self.store.term += 1;
        let after =
            if self.rng.random_bool(0.1) { self.time(500..4000) } else { self.time(5..300) };
        self.schedule(after, Event::Begin(self.store.term, handover));
    }

    fn begin(&mut self, handover: Handover) {
        let handed_over = handover.clone();
        if handover.is_none_known() {
            let processes = self.store.snapshot.processes.born_unix_ms.clone();
            self.delays.killed(self.now, processes);
        }
        let leader = Leader::new(&self.store, Arc::clone(&self.config), handover, self.now);
        let term = leader.term;
        self.note(|world| {
            let snapshot = &world.store.snapshot;
            let held: std::collections::BTreeSet<&Name> = snapshot.held.iter().collect();
            format!(
                "term {term} begins: held {held:?} closed {:?} of {} handed over {handed_over:?}",
                snapshot.closed, world.store.snapshot_term
            )
        });
        self.leader = Some(leader);
        self.schedule(Duration::ZERO, Event::ShowList);
        // Starts the timers of the leader.
        let event = leader::Event::TargetsConfirmed(self.now);
        self.handle_leader(term, event);
    }

    fn show_list(&mut self) {
        if let Some((_, until)) = self.trouble {
            let after = until - self.now + self.time(5..300);
            return self.schedule(after, Event::ShowList);
        }
        let info = |target: &Target| {
            let (availability, born) = target.entry?;
            Some(target_info(&target.name, availability, born))
        };
        let infos = self.targets.iter().filter_map(info).collect();
        self.tell_leader(Duration::ZERO, leader::Event::TargetsChanged(infos));
    }

    /// Lets the leader learn of a change of the list of targets.
    pub fn list_changed(&mut self) {
        let after = self.time(5..400);
        self.schedule(after, Event::ShowList);
    }

    fn submit(&mut self) {
        if !self.is_busy() {
            return;
        }
        let after = self.time(20..700);
        self.schedule(after, Event::Submission);
        if matches!(self.trouble, Some((Trouble::Down, _))) {
            return;
        }
        let id = Name::from(format!("job-{}", self.specs.len()));
        let spec = workload::spec(unix_ms(self.now), &mut self.rng);
        self.specs.insert(id.clone(), spec.clone());
        self.store.jobs.insert(id.clone(), spec.clone());
        for _ in 0..2 {
            let after = self.time(1..900);
            self.tell_leader(after, leader::Event::Accepted(id.clone(), spec.clone()));
        }
        if self.rng.random_bool(0.05) {
            self.store.cancelled.insert(id.clone());
            self.tell_leader(Duration::from_secs(1), leader::Event::Cancelled(id));
        }
    }

    /// Sends a write to the store.
    fn write(&mut self, write: Write) {
        let (term, number) = (write.term, write.number);
        let there = self.time(1..20);
        let back = self.time(1..20);
        let unknown = leader::Event::Written(number, Outcome::Unknown { last_renewal: 0 });
        let (is_run, is_answered, latency) = match self.trouble {
            None => (true, true, Duration::ZERO),
            Some((Trouble::Slow, _)) => (true, true, self.time(100..900)),
            Some((Trouble::LosesAnswers, _)) => {
                (self.rng.random_bool(0.7), self.rng.random_bool(0.4), Duration::ZERO)
            }
            Some((Trouble::Down, _)) if self.rng.random_bool(0.5) => {
                let event = leader::Event::Written(number, Outcome::NotRun);
                return self.schedule(there + back, Event::Leader(term, event));
            }
            Some((Trouble::Down, until)) => {
                // Some of them are carried out when the store is back.
                let after = until - self.now + there;
                if self.rng.random_bool(0.4) {
                    let write = Event::Write { write, is_answered: false, latency: back };
                    self.schedule(after, write);
                }
                return self.schedule(Duration::from_secs(1), Event::Leader(term, unknown));
            }
        };
        if is_run {
            let is_late = self.trouble.is_some() && self.rng.random_bool(0.2);
            let late = if is_late { self.time(0..3000) } else { Duration::ZERO };
            let is_answered = is_answered && late.is_zero();
            self.schedule(
                there + latency + late,
                Event::Write { write, is_answered, latency: back },
            );
        }
        if !(is_run && is_answered) || self.trouble.is_some() {
            self.schedule(Duration::from_secs(1), Event::Leader(term, unknown));
        }
    }

    /// Answers a request for advice.
    fn advise(&mut self, request: AdviceRequest) {
        let after = self.time(10..150);
        let expires_at = self.now + workload::TICKET_VALIDITY;
        let is_allowed =
            |number: usize| !(number + usize::from(request.step.step)).is_multiple_of(3);
        let mut allowed = Vec::new();
        for (number, target) in self.targets.iter().enumerate() {
            if request.targets.contains(&target.name)
                && is_allowed(number)
                && let Some(process) = &target.process
            {
                allowed.push((target.name.clone(), process.ticket(expires_at)));
            }
        }
        self.tell_leader(after, leader::Event::Advised { request, allowed, expires_at });
    }

    /// Sends an answer to the leader that has made the call.
    pub fn answer(&mut self, call: &Call, reply: Reply, after: Duration) {
        let event = leader::Event::Replied(call.number, reply);
        self.schedule(after, Event::Leader(call.term, event));
    }
}
