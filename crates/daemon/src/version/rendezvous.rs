//! Rendezvous hashing: assigns names to owners.

use base::Name;
use sha2::{Digest, Sha256};

/// Returns the weight of `owner` for `name`, the same on every instance.
pub fn weight(owner: &str, name: &str) -> u64 {
    let hash = Sha256::new().chain_update(owner).chain_update([0]).chain_update(name).finalize();
    u64::from_be_bytes(hash[..8].try_into().expect("a hash is longer than eight bytes"))
}

/// Returns the owner with the highest weight for `name`; `None` without owners.
pub fn select_owner<'a>(
    owners: impl IntoIterator<Item = &'a Name>,
    name: &str,
) -> Option<&'a Name> {
    owners.into_iter().max_by_key(|owner| weight(owner, name))
}
