//! Reports that are worth testing on their own.

pub mod losses;
