//! Rendezvous hashing: who of several owns a name.

use base::Name;
use sha2::{Digest, Sha256};

/// Gets the weight of `owner` for `name`. All instances get the same.
pub fn weight(owner: &str, name: &str) -> u64 {
    let hash = Sha256::new().chain_update(owner).chain_update([0]).chain_update(name).finalize();
    u64::from_be_bytes(hash[..8].try_into().expect("a hash is longer than eight bytes"))
}

/// Gets the owner with the greatest weight for `name`.
pub fn select_owner<'a>(
    owners: impl IntoIterator<Item = &'a Name>,
    name: &str,
) -> Option<&'a Name> {
    owners.into_iter().max_by_key(|owner| weight(owner, name))
}
