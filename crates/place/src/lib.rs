//! Placement decisions.
//!
//! A [`Cell`] holds the capacity of a region's workers and the resources
//! allocated on them. Workers of the same kind, labels and capacity form a
//! group, and each group is ordered by free capacity, so that the cost of a
//! decision grows with the number of groups and the logarithm of their sizes.
//! A [`Health`] distinguishes a worker on which attempts fail from one that
//! merely lacks free capacity.

mod cell;
mod choice;
mod group;
mod health;
mod request;

pub use cell::{Cell, Id, State, Totals, Worker};
pub use choice::{Choice, Refusals};
pub use health::{Health, Outcome, Thresholds, Transition};
pub use request::{Constraints, Policy, Request};
