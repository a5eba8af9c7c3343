//! Small models of the core protocols.
//!
//! A model is a state, the steps that can follow it and what must hold in every
//! state. Each step is one atomic act of one party: a message sent or
//! delivered, a write that takes effect, a pause that ends. Messages stay under
//! way as long as they like, which covers pauses, slow links and lost answers.
//! [`check`] searches all states within the bounds of a model, breadth first,
//! so that a counterexample is as short as any.
//!
//! Each guard of a protocol can be left out. A model without one of its guards
//! must have a counterexample, or the guard proves nothing.

use std::{fmt::Debug, hash::Hash};

use pathfinding::directed::bfs::{bfs, bfs_reach};

pub mod admission;
pub mod allowance;
pub mod configuration;
pub mod ownership;

/// A `Model` is a protocol with bounds on what happens.
pub trait Model {
    /// All that the parties know and all that is under way.
    type State: Clone + Debug + Eq + Hash;

    /// Gets the state at the start.
    fn initial_state(&self) -> Self::State;

    /// Gets the states that can follow.
    fn successors(&self, state: &Self::State) -> Vec<Self::State>;

    /// Gets what is wrong with a state, if anything.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// A `Outcome` is the outcome of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<S> {
    /// No state within the bounds is wrong.
    Holds {
        /// States that were searched.
        state_count: usize,
    },
    /// The states from the start to one that is wrong.
    Violated {
        /// What is wrong.
        violation: &'static str,
        /// The way there, as short as any.
        trace: Vec<S>,
    },
}

/// Searches all states of a model.
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
