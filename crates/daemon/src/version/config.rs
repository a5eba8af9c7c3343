//! The configuration in force.

use std::{collections::HashMap, sync::Arc};

use arc_swap::ArcSwap;
use base::{Failure, Name, Result};
use bytes::Bytes;
use quota::{Config, Digest, Digester, Keyring};
use schema::Method;
use tokio::sync::watch;

/// Key of the configuration in the key-value service.
pub(crate) const CONFIG_KEY: &str = "s/config";

/// One version of the configuration, decoded and indexed.
#[derive(Debug)]
pub struct Snapshot {
    /// The configuration.
    pub config: Config,
    /// Encoded configuration, as stored in the key-value service.
    pub body: Bytes,
    /// Keyring of the configuration.
    pub keyring: Keyring,
    /// Methods of all schemas by path.
    pub methods: HashMap<Name, Arc<Method>>,
}

/// Outcome of applying a received configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Update {
    /// The received configuration is in force.
    Applied,
    /// The received version is not higher than the one in force.
    Stale,
}

/// Holder of the configuration in force. The version only rises, and a
/// configuration is replaced as a whole.
#[derive(Debug)]
pub struct Configs {
    digester: Digester,
    first_operator: Option<Digest>,
    active: ArcSwap<Snapshot>,
    version: watch::Sender<u64>,
}

impl Configs {
    /// Returns a holder of an empty configuration of version 0.
    pub fn new(digester: Digester, first_operator: Option<Digest>) -> Self {
        let config = Config::default();
        let active = Snapshot {
            keyring: Keyring::new(&config, digester.clone(), first_operator),
            body: Bytes::new(),
            methods: HashMap::new(),
            config,
        };
        Self {
            digester,
            first_operator,
            active: ArcSwap::from_pointee(active),
            version: watch::Sender::new(0),
        }
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Arc<Snapshot> {
        self.active.load_full()
    }

    /// Returns the version in force.
    pub fn version(&self) -> u64 {
        *self.version.borrow()
    }

    /// Subscribes to changes of the version in force.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Returns the digester for keys.
    pub fn digester(&self) -> &Digester {
        &self.digester
    }

    /// Puts a configuration in force if its version is higher than the one in
    /// force.
    ///
    /// # Errors
    /// Fails if any part of the configuration is malformed; the configuration
    /// in force then stays.
    pub fn apply(&self, body: Bytes) -> Result<Update> {
        let config = Config::decode(&body)?;
        if config.version <= self.version() {
            return Ok(Update::Stale);
        }
        let active = Arc::new(self.prepare(config, body)?);
        let version = active.config.version;
        // Two updates may run at once: comparing the versions again under the
        // lock of the channel keeps the higher one in force.
        let applied = self.version.send_if_modified(|current| {
            let is_newer = version > *current;
            if is_newer {
                self.active.store(active);
                *current = version;
            }
            is_newer
        });
        Ok(if applied { Update::Applied } else { Update::Stale })
    }

    fn prepare(&self, config: Config, body: Bytes) -> Result<Snapshot> {
        let mut methods = HashMap::new();
        for (name, descriptors) in &config.schemas {
            let schema_methods = schema::parse(descriptors)
                .map_err(|error| Failure::invalid(format!("schema {name}: {}", error.reason)))?;
            methods.extend(schema_methods.into_iter().map(|m| (m.path.clone(), Arc::new(m))));
        }
        let keyring = Keyring::new(&config, self.digester.clone(), self.first_operator);
        Ok(Snapshot { keyring, body, methods, config })
    }
}
