//! Decisions of the placer, without network or clock.

mod admission;
mod advice;
mod backlog;
mod blame;
mod bounds;
mod cell;
mod crashes;
mod evacuation;
mod eviction;
mod gangs;
mod leases;
mod lifecycle;
mod limits;
mod placement;
mod preempt;
mod random_faults;
mod recovery;
mod settled;
mod sharing;
mod speeds;
mod takeover;
mod targets;
