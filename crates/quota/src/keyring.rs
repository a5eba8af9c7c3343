//! Keys and the principals that they belong to.

use std::{collections::HashMap, fmt};

use base::{Failure, Name, Result};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::config::Config;

/// Number of random bytes in a key.
const KEY_BYTES: usize = 32;

/// Prefix of every key, by which leaked keys can be found in text.
const KEY_PREFIX: &str = "ssk_";

/// Length of the part of a digest that serves as the look-up index. The whole
/// digest is then compared in constant time.
const INDEX_BYTES: usize = 8;

/// Keyed digest (HMAC-SHA-256) of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Parses a digest from hexadecimal digits.
    ///
    /// # Errors
    /// Fails if `text` isn't 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Result<Self> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes)
            .map_err(|_| Failure::invalid("a digest is 64 hexadecimal digits"))?;
        Ok(Self(bytes))
    }

    fn index(&self) -> [u8; INDEX_BYTES] {
        self.0[..INDEX_BYTES].try_into().expect("a digest is longer than its index")
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}

/// Computes digests with a secret that all instances share.
#[derive(Clone)]
pub struct Digester(Hmac<Sha256>);

impl fmt::Debug for Digester {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digester(..)")
    }
}

impl Digester {
    /// Creates a digester with the shared secret.
    pub fn new(secret: &[u8]) -> Self {
        Self(Hmac::new_from_slice(secret).expect("HMAC accepts a secret of any length"))
    }

    /// Returns the digest of a key.
    pub fn digest(&self, key: &str) -> Digest {
        Digest(self.0.clone().chain_update(key).finalize().into_bytes().into())
    }

    /// Generates a random key.
    pub fn new_key() -> String {
        let mut bytes = [0; KEY_BYTES];
        getrandom::fill(&mut bytes).expect("the system provides random bytes");
        format!("{KEY_PREFIX}{}", hex::encode(bytes))
    }
}

/// Owner of the key that authenticates a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Principal {
    /// An operator.
    Operator,
    /// A team.
    Team(Name),
}

/// Granted keys of one version of the configuration.
#[derive(Debug)]
pub struct Keyring {
    digester: Digester,
    keys: HashMap<[u8; INDEX_BYTES], Vec<(Digest, Principal)>>,
}

impl Keyring {
    /// Creates the keyring of `config`. `first_operator` is the digest of the first
    /// operator's key, which comes from the settings.
    pub fn new(config: &Config, digester: Digester, first_operator: Option<Digest>) -> Self {
        let granted = config.keys.values().map(|key| {
            let principal = key.team.clone().map_or(Principal::Operator, Principal::Team);
            (key.digest, principal)
        });
        let first_operator = first_operator.map(|digest| (digest, Principal::Operator));
        let mut keys: HashMap<_, Vec<_>> = HashMap::new();
        for (digest, principal) in granted.chain(first_operator) {
            keys.entry(digest.index()).or_default().push((digest, principal));
        }
        Self { digester, keys }
    }

    /// Returns the principal that owns `key`; `None` if the key isn't granted.
    pub fn principal(&self, key: &str) -> Option<&Principal> {
        let digest = self.digester.digest(key);
        self.keys
            .get(&digest.index())?
            .iter()
            .find(|(known, _)| bool::from(known.0.ct_eq(&digest.0)))
            .map(|(_, principal)| principal)
    }
}
