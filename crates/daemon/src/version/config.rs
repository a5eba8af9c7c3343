//! The configuration in force.

use std::{collections::HashMap, sync::Arc};

use arc_swap::ArcSwap;
use base::{Failure, Name, Result};
use bytes::Bytes;
use quota::{Config, Digest, Digester, Keyring};
use schema::Method;
use tokio::sync::watch;

/// Key of the configuration.
pub(crate) const CONFIG_KEY: &str = "s/config";

/// A `Snapshot` is one version of the configuration, made ready for use.
#[derive(Debug)]
pub struct Snapshot {
    /// The configuration.
    pub config: Config,
    /// The configuration as it is stored.
    pub body: Bytes,
    /// The keys.
    pub keyring: Keyring,
    /// The methods of all schemas by path.
    pub methods: HashMap<Name, Arc<Method>>,
}

/// An `Update` is what became of a configuration that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Update {
    /// It is in force now.
    Applied,
    /// It is no newer than the one in force.
    Stale,
}

/// A `Configs` holds the configuration in force. It only ever goes to a higher
/// version, and as a whole.
#[derive(Debug)]
pub struct Configs {
    digester: Digester,
    first_operator: Option<Digest>,
    active: ArcSwap<Snapshot>,
    version: watch::Sender<u64>,
}

impl Configs {
    /// Starts with an empty configuration of version 0.
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

    /// Gets the configuration in force.
    pub fn current(&self) -> Arc<Snapshot> {
        self.active.load_full()
    }

    /// Gets the version in force.
    pub fn version(&self) -> u64 {
        *self.version.borrow()
    }

    /// Subscribes to changes of the version.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Gets the digester for keys.
    pub fn digester(&self) -> &Digester {
        &self.digester
    }

    /// Puts a configuration in force if it is newer than the current one.
    ///
    /// # Errors
    /// Fails, and changes nothing, if any part of it is malformed.
    pub fn apply(&self, body: Bytes) -> Result<Update> {
        let config = Config::decode(&body)?;
        if config.version <= self.version() {
            return Ok(Update::Stale);
        }
        let active = Arc::new(self.prepare(config, body)?);
        let version = active.config.version;
        // The version is compared again under the lock of the channel, so that
        // of two updates at once the higher one stays.
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
                .map_err(|fault| Failure::fix(format!("schema {name}: {}", fault.reason)))?;
            methods.extend(schema_methods.into_iter().map(|m| (m.path.clone(), Arc::new(m))));
        }
        let keyring = Keyring::new(&config, self.digester.clone(), self.first_operator);
        Ok(Snapshot { keyring, body, methods, config })
    }
}
