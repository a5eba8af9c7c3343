//! Keys and whose they are.

use std::{collections::HashMap, fmt};

use base::{Failure, Name, Result};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::config::Config;

/// Random bytes in a key.
const KEY_BYTES: usize = 32;

/// Start of every key, by which leaked ones can be found.
const KEY_PREFIX: &str = "ssk_";

/// Bytes of a digest by which keys are looked up. The rest is compared in
/// constant time.
const INDEX_BYTES: usize = 8;

/// A `Digest` is the keyed digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Reads a digest from hexadecimal digits.
    ///
    /// # Errors
    /// Fails if the text isn't 64 hexadecimal digits.
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

/// A `Digester` makes digests with a secret that all instances share.
#[derive(Clone)]
pub struct Digester(Hmac<Sha256>);

impl fmt::Debug for Digester {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digester(..)")
    }
}

impl Digester {
    /// Makes a digester from the shared secret.
    pub fn new(secret: &[u8]) -> Self {
        Self(Hmac::new_from_slice(secret).expect("HMAC takes a secret of any length"))
    }

    /// Gets the digest of a key.
    pub fn digest(&self, key: &str) -> Digest {
        Digest(self.0.clone().chain_update(key).finalize().into_bytes().into())
    }

    /// Makes a new random key.
    pub fn new_key() -> String {
        let mut bytes = [0; KEY_BYTES];
        getrandom::fill(&mut bytes).expect("the system has random bytes");
        format!("{KEY_PREFIX}{}", hex::encode(bytes))
    }
}

/// A `Rights` is whose key came with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rights {
    /// An operator's.
    Operator,
    /// A team's.
    Team(Name),
}

/// A `Keyring` is the keys of one version of the configuration.
#[derive(Debug)]
pub struct Keyring {
    digester: Digester,
    keys: HashMap<[u8; INDEX_BYTES], Vec<(Digest, Rights)>>,
}

impl Keyring {
    /// Makes the keyring of `config` with the `first` operator's key, which
    /// comes from the settings.
    pub fn new(config: &Config, digester: Digester, first: Option<Digest>) -> Self {
        let granted = config.keys.values().map(|key| {
            let rights = key.team.clone().map_or(Rights::Operator, Rights::Team);
            (key.digest, rights)
        });
        let first = first.map(|digest| (digest, Rights::Operator));
        let mut keys: HashMap<_, Vec<_>> = HashMap::new();
        for (digest, rights) in granted.chain(first) {
            keys.entry(digest.index()).or_default().push((digest, rights));
        }
        Self { digester, keys }
    }

    /// Gets whose key it is; `None` if the key isn't granted.
    pub fn rights(&self, key: &str) -> Option<&Rights> {
        let digest = self.digester.digest(key);
        self.keys
            .get(&digest.index())?
            .iter()
            .find(|(known, _)| bool::from(known.0.ct_eq(&digest.0)))
            .map(|(_, rights)| rights)
    }
}
