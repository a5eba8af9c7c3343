//! The placer: the one owner of the cell's account while its instance leads.
//!
//! [`run`] reads what is recorded, then takes in what happens in one loop.
//! The tasks beside it follow the key-value service ([`follow`]), hold the
//! targets ([`hold`]), carry orders ([`order`]), ask for advice ([`advice`])
//! and record progress ([`record`], [`change`]). They end with it. What the loop does is in
//! [`run`], [`fronts`], [`targets`] and [`succession`].

mod event;
mod follow;
mod frames;
pub(crate) mod guard;
mod order;
mod peers;
mod progress;
mod run;
mod session;
mod snapshot;
mod state;
mod succession;
mod targets;

pub(crate) use run::run;
