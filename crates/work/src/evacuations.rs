//! Evacuated data centres.

use std::collections::BTreeSet;

use base::Name;

/// Data centres in which nothing may be started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Revision of the last change of the set in the key-value service.
    pub revision: u64,
    /// Names of the data centres.
    pub data_centres: BTreeSet<Name>,
}

impl Evacuations {
    /// Returns whether nothing may be started in a data centre.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.data_centres.contains(data_centre)
    }
}
