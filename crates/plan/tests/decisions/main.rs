//! What the placer decides, told without network or clock.

mod admission;
mod advice;
mod cell;
mod gangs;
mod lifecycle;
mod places;
mod preempt;
mod takeover;
mod targets;
