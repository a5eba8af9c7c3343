//! Decisions of the placer, without network or clock.

mod admission;
mod advice;
mod backlog;
mod blame;
mod bounds;
mod cell;
mod crashes;
mod gangs;
mod leases;
mod lifecycle;
mod placement;
mod preempt;
mod random_faults;
mod takeover;
mod targets;
