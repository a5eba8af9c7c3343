//! External services of the nodes of a cell, in one process.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use base::{Name, Resources};
use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use node::external::{Advisor, AllowedTargets, Catalog, Services};
use plan::TargetInfo;
use work::{Advice, Config, Policy, Queue, Service, StepKey, Team};

use crate::cell::{
    store::Store,
    targets::{Client, Targets},
};

const CONFIG_KEY: &str = "operator/config";
const CONFIG_PREFIX: &str = "operator/";
const EVACUATION_PREFIX: &str = "operator/evacuate/";
const TARGET_PREFIX: &str = "targets/";
const SERVICE: &str = "pool";

/// Jobs a second that the team is entitled to. More than any test submits, as
/// jobs beyond the entitlement are ranked lower.
const TEAM_WEIGHT: u32 = 1000;

/// External services of the nodes of a cell.
#[derive(Clone)]
pub struct World {
    /// Key-value service.
    pub store: Arc<Store>,
    /// Targets of the cell.
    pub targets: Arc<Targets>,
    registry: Arc<Registry>,
}

/// Configurations and descriptions of targets. The values in the key-value
/// service are positions in these lists.
#[derive(Default)]
struct Registry {
    configs: Mutex<Vec<Config>>,
    /// Targets with their addresses.
    targets: Mutex<Vec<(TargetInfo, Name)>>,
}

/// Returns the policy of the queue that [`World::configure`] sets up.
pub fn policy() -> Policy {
    Policy {
        service: Name::from(SERVICE),
        max_attempts: 3,
        objective_factor_milli: 2000,
        objective_ms: 1000,
        advice: Some(Advice { request_us: 2000, target_us: 100, valid_ms: 1500 }),
        ..Policy::default()
    }
}

impl World {
    /// Creates a cell of targets with room for `slots` tasks of a size each, with
    /// the team `team`, the team's key `key` and the queue `host/queue/`.
    pub fn new(targets: u32, size: Resources, slots: u32) -> Self {
        let world =
            Self { store: Arc::default(), targets: Arc::default(), registry: Arc::default() };
        for number in 0..targets {
            world.add_target(&Name::from(format!("target-{number}")), size, slots);
        }
        world.configure(&[("key", "team")]);
        world
    }

    /// Adds a target with room for `slots` tasks of a size and publishes the
    /// target's description in the key-value service.
    pub fn add_target(&self, id: &Name, size: Resources, slots: u32) {
        self.add_target_at(id, id, size, slots);
    }

    /// Moves a target to a data centre.
    pub fn move_target(&self, number: usize, data_centre: &str) {
        {
            let mut targets = self.registry.targets.lock().expect("no holder of the lock panics");
            targets[number].0.data_centre = Name::from(data_centre);
        }
        self.republish_target(number);
    }

    /// Evacuates a data centre; the value of the key is arbitrary.
    pub fn evacuate(&self, data_centre: &str, value: &'static [u8]) {
        self.store.put(&format!("{EVACUATION_PREFIX}{data_centre}"), Bytes::from_static(value));
    }

    /// Revokes the evacuation of a data centre.
    pub fn revoke_evacuation(&self, data_centre: &str) {
        self.store.remove(&format!("{EVACUATION_PREFIX}{data_centre}"));
    }

    /// Crashes a target, which comes back at its address under another id.
    pub fn replace_target(&self, id: &Name, new: &Name, size: Resources, slots: u32) {
        let address = {
            let targets = self.registry.targets.lock().expect("no holder of the lock panics");
            let earlier = targets.iter().find(|(info, _)| info.id == *id);
            earlier.map(|(_, address)| address.clone()).unwrap_or_default()
        };
        self.remove_target(id);
        self.targets.restart(id);
        self.add_target_at(new, &address, size, slots);
    }

    fn add_target_at(&self, id: &Name, address: &Name, size: Resources, slots: u32) {
        self.targets.add(id, size, slots);
        let info = TargetInfo {
            id: id.clone(),
            service: Name::from(SERVICE),
            capacity: size * slots,
            ..TargetInfo::default()
        };
        let mut targets = self.registry.targets.lock().expect("no holder of the lock panics");
        targets.push((info, address.clone()));
        let value = Bytes::from((targets.len() - 1).to_string());
        self.store.put(&format!("{TARGET_PREFIX}{id}"), value);
    }

    /// Writes the description of a target again, as the target's heartbeat does.
    pub fn republish_target(&self, number: usize) {
        let id = {
            let targets = self.registry.targets.lock().expect("no holder of the lock panics");
            targets[number].0.id.clone()
        };
        let value = Bytes::from(number.to_string());
        self.store.put(&format!("{TARGET_PREFIX}{id}"), value);
    }

    /// Returns the number of requests of all instances for changes of the list of
    /// targets.
    pub fn target_list_requests(&self) -> u32 {
        self.store.change_requests(TARGET_PREFIX)
    }

    /// Removes the description of a target from the key-value service, as if the
    /// target did not reach the service.
    pub fn unlist_target(&self, id: &Name) {
        self.store.remove(&format!("{TARGET_PREFIX}{id}"));
    }

    /// Silences a target and removes its description from the key-value service.
    pub fn remove_target(&self, id: &Name) {
        self.targets.set_fault(id, crate::cell::targets::Fault::Silent);
        self.unlist_target(id);
    }

    /// Publishes a new configuration with the given keys, each paired with its
    /// team.
    pub fn configure(&self, keys: &[(&str, &str)]) {
        let mut configs = self.registry.configs.lock().expect("no holder of the lock panics");
        let config = Config {
            version: configs.len() as u64 + 1,
            queues: vec![Queue {
                name: Name::from("queue"),
                host: Name::from("host"),
                prefix: Name::from("/queue/"),
                is_public: false,
                policy: policy(),
            }],
            services: [(Name::from(SERVICE), Service::default())].into(),
            teams: [(Name::from("team"), Team { weight: TEAM_WEIGHT, limit: Resources::MAX })]
                .into(),
            keys: keys.iter().map(|(key, team)| (Name::from(*key), Name::from(*team))).collect(),
            ..Config::default()
        };
        configs.push(config);
        self.store.put(CONFIG_KEY, Bytes::from((configs.len() - 1).to_string()));
    }

    /// Overwrites the current configuration with the first one, which has a lower
    /// version.
    pub fn restore_first_configuration(&self) {
        self.store.put(CONFIG_KEY, Bytes::from_static(b"0"));
    }

    /// Returns the clients of the external services for an instance.
    pub fn services(&self, instance: &str) -> Services {
        Services {
            store: Arc::new(self.store.client(instance)),
            orders: Arc::new(Client(Arc::clone(&self.targets))),
            advisor: Arc::new(AllAllowed),
            catalog: Arc::new(IndexCatalog(Arc::clone(&self.registry))),
        }
    }
}

/// Advisor that allows all targets.
struct AllAllowed;

impl Advisor for AllAllowed {
    fn advise<'a>(
        &'a self,
        _step: &'a StepKey,
        targets: &'a [Name],
        _timeout: Duration,
    ) -> BoxFuture<'a, Result<AllowedTargets, String>> {
        async move {
            tokio::time::sleep(Duration::from_millis(2)).await;
            let allowed = targets.iter().map(|id| (id.clone(), Name::from("ticket"))).collect();
            Ok(AllowedTargets { allowed, valid: Some(Duration::from_millis(1500)) })
        }
        .boxed()
    }
}

/// Catalog whose values are positions in the lists of a [`Registry`].
struct IndexCatalog(Arc<Registry>);

fn index(value: &[u8]) -> Result<usize, String> {
    let text = std::str::from_utf8(value).map_err(|error| error.to_string())?;
    text.parse().map_err(|error: std::num::ParseIntError| error.to_string())
}

impl Catalog for IndexCatalog {
    fn config_key(&self) -> (&'static str, &'static str) {
        (CONFIG_KEY, CONFIG_PREFIX)
    }

    fn config(&self, value: &[u8]) -> Result<Config, String> {
        let configs = self.0.configs.lock().expect("no holder of the lock panics");
        configs.get(index(value)?).cloned().ok_or_else(|| "no such configuration".to_owned())
    }

    fn evacuation_prefix(&self) -> &'static str {
        EVACUATION_PREFIX
    }

    fn evacuated_data_centre(&self, key: &str) -> Option<Name> {
        key.strip_prefix(EVACUATION_PREFIX).map(Name::from)
    }

    fn target_prefix(&self) -> &'static str {
        TARGET_PREFIX
    }

    fn target(&self, _id: &str, value: &[u8]) -> Result<(TargetInfo, Name), String> {
        let targets = self.0.targets.lock().expect("no holder of the lock panics");
        targets.get(index(value)?).cloned().ok_or_else(|| "no such target".to_owned())
    }
}
