//! What the placer decides, told without network or clock.

mod admission;
mod advice;
mod board;
mod cell;
mod gangs;
mod places;
mod takeover;
mod targets;
