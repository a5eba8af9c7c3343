//! Log reports of the `gauge` command, as a library for integration tests.

pub mod losses;
