//! Placer: the sole owner of the account of the cell's targets while its
//! instance leads.
//!
//! [`mod@run`] reads the stored state and then processes events in one loop,
//! with handlers in [`mod@run`], [`frames`], [`targets`] and [`succession`]. Tasks
//! beside the loop follow the key-value service ([`follow`]), renew the leases
//! of the targets ([`session`]), send orders ([`order`]) with tokens that fence off
//! earlier ones ([`fences`]), and record progress ([`progress`], [`snapshot`], [`speeds`]) with
//! fenced writes ([`guard`]). Advice requests are spread over the linked nodes
//! ([`peers`]). [`report`] logs what the planner concludes. All tasks end with the
//! loop.

mod evacuation;
mod event;
mod fences;
mod follow;
mod frames;
pub(crate) mod guard;
mod order;
mod peers;
mod progress;
mod report;
mod run;
mod session;
mod snapshot;
mod speeds;
mod state;
mod succession;
mod targets;

pub(crate) use run::run;
