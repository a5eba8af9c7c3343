//! A world for nodes.

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
const TARGET_PREFIX: &str = "targets/";
const SERVICE: &str = "pool";

/// Jobs a second that the team is owed; more than any test sends, as what it
/// isn't owed counts for less.
const TEAM_WEIGHT: u32 = 1000;

/// A `World` is what the nodes of a cell meet.
#[derive(Clone)]
pub struct World {
    /// The key-value service.
    pub store: Arc<Store>,
    /// The targets.
    pub targets: Arc<Targets>,
    known: Arc<Known>,
}

/// What the values in the key-value service stand for, by number.
#[derive(Default)]
struct Known {
    configs: Mutex<Vec<Config>>,
    facts: Mutex<Vec<TargetInfo>>,
}

/// Gets the policy of the queue.
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
    /// Makes a world of targets that hold `slots` tasks of a size each, with
    /// the team `team`, its key `key` and the queue `host/queue/`.
    pub fn new(targets: u32, size: Resources, slots: u32) -> Self {
        let world = Self { store: Arc::default(), targets: Arc::default(), known: Arc::default() };
        for number in 0..targets {
            world.add_target(&Name::from(format!("target-{number}")), size, slots);
        }
        world.configure(&[("key", "team")]);
        world
    }

    /// Has a new target come.
    pub fn add_target(&self, id: &Name, size: Resources, slots: u32) {
        self.targets.add(id, size, slots);
        let facts = TargetInfo {
            id: id.clone(),
            service: Name::from(SERVICE),
            capacity: size * slots,
            ..TargetInfo::default()
        };
        let mut known = self.known.facts.lock().expect("no holder of the lock panics");
        known.push(facts);
        let value = Bytes::from((known.len() - 1).to_string());
        self.store.put(&format!("{TARGET_PREFIX}{id}"), value);
    }

    /// Has a target say of itself what it said before, as it does for its
    /// heartbeat.
    pub fn beat(&self, number: usize) {
        let id = {
            let known = self.known.facts.lock().expect("no holder of the lock panics");
            known[number].id.clone()
        };
        let value = Bytes::from(number.to_string());
        self.store.put(&format!("{TARGET_PREFIX}{id}"), value);
    }

    /// Counts the looks of all instances at the changes of the list of targets.
    pub fn target_looks(&self) -> u32 {
        self.store.looks(TARGET_PREFIX)
    }

    /// Has a target be gone for good.
    pub fn remove_target(&self, id: &Name) {
        self.targets.fail(id, crate::cell::targets::Fault::Silent);
        self.store.remove(&format!("{TARGET_PREFIX}{id}"));
    }

    /// Puts a new configuration in force, with these keys of teams.
    pub fn configure(&self, keys: &[(&str, &str)]) {
        let mut configs = self.known.configs.lock().expect("no holder of the lock panics");
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

    /// Puts the first configuration again where the newest one stands.
    pub fn put_first_configuration(&self) {
        self.store.put(CONFIG_KEY, Bytes::from_static(b"0"));
    }

    /// Gets the edges of an instance.
    pub fn services(&self, instance: &str) -> Services {
        Services {
            records: Arc::new(self.store.client(instance)),
            orders: Arc::new(Client(Arc::clone(&self.targets))),
            advisor: Arc::new(AllAllowed),
            catalog: Arc::new(Numbers(Arc::clone(&self.known))),
        }
    }
}

/// An advisor that allows all targets.
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

/// A catalog whose values are numbers of what is known.
struct Numbers(Arc<Known>);

fn number(value: &[u8]) -> Result<usize, String> {
    let text = std::str::from_utf8(value).map_err(|error| error.to_string())?;
    text.parse().map_err(|error: std::num::ParseIntError| error.to_string())
}

impl Catalog for Numbers {
    fn config_key(&self) -> (&'static str, &'static str) {
        (CONFIG_KEY, CONFIG_PREFIX)
    }

    fn config(&self, value: &[u8]) -> Result<Config, String> {
        let configs = self.0.configs.lock().expect("no holder of the lock panics");
        configs.get(number(value)?).cloned().ok_or_else(|| "no such configuration".to_owned())
    }

    fn target_prefix(&self) -> &'static str {
        TARGET_PREFIX
    }

    fn target(&self, _id: &str, value: &[u8]) -> Result<(TargetInfo, Name), String> {
        let facts = self.0.facts.lock().expect("no holder of the lock panics");
        let facts = facts.get(number(value)?).cloned().ok_or("no such target")?;
        Ok((facts, Name::default()))
    }
}
