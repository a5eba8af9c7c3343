//! Exhaustively checked models of the core protocols.
//!
//! A model defines an initial state, the transitions out of each state and an
//! invariant of all states. Each transition is one atomic action of one party:
//! a message is sent or delivered, a write takes effect, a pause ends. Messages
//! may stay in flight for any length of time, which covers pauses, slow links
//! and lost answers. [`check`] searches all states within the bounds of a
//! model, breadth first, so that a counterexample is of minimal length.
//!
//! Each guard of a protocol can be disabled. A model with a guard disabled must
//! have a counterexample; otherwise the guard isn't needed, or the model
//! doesn't exercise it.

use std::{fmt::Debug, hash::Hash};

use pathfinding::directed::bfs::{bfs, bfs_reach};

pub mod admission;
pub mod allowance;
pub mod completion;
pub mod configuration;
pub mod ownership;

/// Protocol with a bounded state space.
pub trait Model {
    /// State of all parties, and the messages in flight.
    type State: Clone + Debug + Eq + Hash;

    /// Returns the state that the search starts from.
    fn initial_state(&self) -> Self::State;

    /// Returns the states that one transition leads to.
    fn successors(&self, state: &Self::State) -> Vec<Self::State>;

    /// Returns a description of the invariant that a state violates, if any.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// Result of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<S> {
    /// The invariant holds in every state within the bounds.
    Holds {
        /// Number of distinct states.
        state_count: usize,
    },
    /// A reachable state violates the invariant.
    Violated {
        /// Description of the violation.
        violation: &'static str,
        /// States from the initial to the violating one, in the fewest
        /// transitions.
        trace: Vec<S>,
    },
}

/// Searches all states of a model for a violation.
pub fn check<M: Model>(model: &M) -> Outcome<M::State> {
    let start = model.initial_state();
    let trace =
        bfs(&start, |state| model.successors(state), |state| model.violation(state).is_some());
    match trace {
        Some(trace) => {
            let last = trace.last().unwrap_or(&start);
            Outcome::Violated { violation: model.violation(last).unwrap_or(""), trace }
        }
        None => Outcome::Holds {
            state_count: bfs_reach(start, |state| model.successors(state)).count(),
        },
    }
}
