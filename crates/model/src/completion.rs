//! Completion of a job that callers are told of: one task, the target that runs
//! it, and two nodes, while the key-value service has an outage.
//!
//! A target keeps an end until it is recorded, and nodes keep what they have
//! learnt, but either forgets everything when its process is killed. The service
//! forgets nothing, but takes no record while it is down.

use crate::Model;

/// Number of nodes, each of which may lead.
const NODE_COUNT: usize = 2;

/// Maximum number of starts of the task.
const MAX_STARTS: u8 = 2;

/// Maximum number of kills of nodes.
const MAX_KILLS: u8 = 2;

/// Maximum number of crashes of the target.
const MAX_CRASHES: u8 = 1;

/// Maximum number of outages of the service.
const MAX_OUTAGES: u8 = 1;

/// Guards of the protocol that are enabled.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// Callers are told that the job is complete only after the end is recorded.
    /// Without this guard, they are told as soon as the target and all nodes
    /// hold the end.
    pub records_before_telling: bool,
    /// A node that takes over starts a task of which no target lists a run or an
    /// end. Without this guard, it never does, as the task may have been told as
    /// done.
    pub restarts_unlisted: bool,
}

impl Guards {
    /// All guards enabled.
    pub const ALL: Self = Self { records_before_telling: true, restarts_unlisted: true };
}

/// Model of the completion of a job.
#[derive(Clone, Copy, Debug)]
pub struct Completion {
    /// Guards that are enabled.
    pub guards: Guards,
}

/// State of the task on its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Run {
    /// The target lists neither a run nor an end.
    Unlisted,
    Running,
    Ended,
}

/// What a node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Node {
    /// The process has started and has read nothing yet.
    Fresh,
    /// The node has read the records and the target's list; `true` if it has
    /// learnt of the end.
    Loaded(bool),
}

/// State of all parties.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    is_store_up: bool,
    is_recorded: bool,
    run: Run,
    nodes: [Node; NODE_COUNT],
    is_told: bool,
    /// Whether a node has taken over since the first start.
    has_taken_over: bool,
    is_started_after_told: bool,
    starts: u8,
    kills: u8,
    crashes: u8,
    outages: u8,
}

impl Model for Completion {
    type State = State;

    fn initial_state(&self) -> State {
        State {
            is_store_up: true,
            is_recorded: false,
            run: Run::Unlisted,
            nodes: [Node::Loaded(false); NODE_COUNT],
            is_told: false,
            has_taken_over: false,
            is_started_after_told: false,
            starts: 0,
            kills: 0,
            crashes: 0,
            outages: 0,
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        let mut add = |is_possible: bool, change: &dyn Fn(&mut State)| {
            if is_possible {
                let mut changed = state.clone();
                change(&mut changed);
                next.push(changed);
            }
        };
        add(state.run == Run::Running, &|state| state.run = Run::Ended);
        add(state.crashes < MAX_CRASHES, &|state| {
            state.run = Run::Unlisted;
            state.crashes += 1;
        });
        add(state.is_store_up && state.outages < MAX_OUTAGES, &|state| {
            state.is_store_up = false;
            state.outages += 1;
        });
        add(!state.is_store_up, &|state| state.is_store_up = true);
        add(!state.is_told && self.may_tell(state), &|state| state.is_told = true);
        for number in 0..NODE_COUNT {
            let node = state.nodes[number];
            add(state.kills < MAX_KILLS, &|state| {
                state.nodes[number] = Node::Fresh;
                state.kills += 1;
            });
            add(node == Node::Fresh && state.is_store_up, &|state| {
                state.nodes[number] = Node::Loaded(state.is_recorded || state.run == Run::Ended);
                state.has_taken_over = state.starts > 0;
            });
            add(node == Node::Loaded(false) && state.run == Run::Ended, &|state| {
                state.nodes[number] = Node::Loaded(true);
            });
            add(node == Node::Loaded(true) && state.is_store_up, &|state| {
                state.is_recorded = true;
            });
            add(node == Node::Loaded(false) && self.may_start(state), &|state| {
                state.run = Run::Running;
                state.starts += 1;
                state.is_started_after_told = state.is_told;
            });
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        if state.is_started_after_told {
            return Some("a job that was told as complete runs again");
        }
        let knows_end = state.nodes.contains(&Node::Loaded(true));
        let is_waiting = state.run == Run::Unlisted && !state.is_recorded && !knows_end;
        let is_abandoned = is_waiting && !state.is_told && state.has_taken_over;
        (is_abandoned && !self.guards.restarts_unlisted).then_some("a job is never done")
    }
}

impl Completion {
    fn may_tell(&self, state: &State) -> bool {
        if self.guards.records_before_telling {
            return state.is_recorded;
        }
        state.run == Run::Ended && state.nodes.iter().all(|node| *node == Node::Loaded(true))
    }

    /// Returns whether a node that knows of no end may start the task: one node
    /// leads at a time, so no other node may know of an end either.
    fn may_start(&self, state: &State) -> bool {
        let is_known = state.is_recorded || state.nodes.contains(&Node::Loaded(true));
        let is_first = state.starts == 0;
        state.run == Run::Unlisted
            && !is_known
            && state.starts < MAX_STARTS
            && (is_first || self.guards.restarts_unlisted)
    }
}
