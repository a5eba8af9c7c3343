//! Placement decisions.
//!
//! A [`Cell`] is the exact account of what a region's workers have and what
//! has been promised on them. Workers of the same kind, labels and capacity
//! form a group, and each group is ordered by free capacity, so that the cost
//! of a decision follows the number of groups and the logarithm of their
//! sizes. A [`Health`] tells a worker that fails what it starts from one that
//! merely lacks room.

mod cell;
mod choice;
mod group;
mod health;
mod request;

pub use cell::{Cell, Id, State, Totals, Worker};
pub use choice::{Choice, Refusals};
pub use health::{Health, Outcome, Thresholds, Transition};
pub use request::{Constraints, Policy, Request};
