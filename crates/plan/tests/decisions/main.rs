//! What the placer decides, told without network or clock.

mod admission;
mod advice;
mod board;
mod cell;
mod gangs;
mod places;
mod preempt;
mod takeover;
mod targets;
