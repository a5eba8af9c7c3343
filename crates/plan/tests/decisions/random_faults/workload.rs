//! Jobs of a simulated day.

use std::{sync::Arc, time::Duration};

use base::{Name, Resources};
use rand::{Rng, rngs::StdRng};
use work::{Advice, Config, Policy, Queue, Service, Spec, Step, Team};

pub const SERVICE: &str = "pool";
const TEAM: &str = "team";
pub const PLAIN_QUEUE: &str = "plain";
const ADVISED_QUEUE: &str = "advised";

/// Lifetime of a ticket.
pub const TICKET_VALIDITY: Duration = Duration::from_millis(1500);

/// Returns the capacity of a target.
pub fn capacity() -> Resources {
    size(8)
}

fn size(slots: u32) -> Resources {
    Resources { cpu_milli: 1000, memory_mib: 1024, accelerators: 0 } * slots
}

fn policy(is_advised: bool) -> Policy {
    let advice =
        Advice { request_us: 4000, target_us: 100, valid_ms: TICKET_VALIDITY.as_millis() as u32 };
    Policy {
        service: Name::from(SERVICE),
        max_attempts: 3,
        objective_factor_milli: 2000,
        objective_ms: 1000,
        advice: is_advised.then_some(advice),
        ..Policy::default()
    }
}

pub fn config() -> Arc<Config> {
    let queue = |name, is_advised| Queue {
        name: Name::from(name),
        policy: policy(is_advised),
        ..Queue::default()
    };
    Arc::new(Config {
        version: 1,
        queues: vec![queue(PLAIN_QUEUE, false), queue(ADVISED_QUEUE, true)],
        services: [(Name::from(SERVICE), Service::default())].into(),
        teams: [(Name::from(TEAM), Team { weight: 100, limit: Resources::MAX })].into(),
        ..Config::default()
    })
}

/// Returns a random job. Its payload is the work of each task in milliseconds.
pub fn spec(unix_ms: u64, rng: &mut StdRng) -> Spec {
    let is_advised = rng.random_bool(0.3);
    let work_ms = if rng.random_bool(0.5) {
        rng.random_range(50..1000)
    } else {
        rng.random_range(1000..9000)
    };
    let mut steps = Vec::new();
    for number in 0..rng.random_range(1..=2) {
        let gang = rng.random_bool(0.2);
        steps.push(Step {
            count: if gang { rng.random_range(2..=3) } else { rng.random_range(1..=4) },
            size: size(rng.random_range(1..=3)),
            estimate_ms: work_ms as u32,
            after: (number > 0).then_some(0).into_iter().collect(),
            gang,
            ..Step::default()
        });
    }
    Spec {
        queue: Name::from(if is_advised { ADVISED_QUEUE } else { PLAIN_QUEUE }),
        policy: policy(is_advised),
        team: Name::from(TEAM),
        payload: Name::from(work_ms.to_string()),
        accepted_unix_ms: unix_ms,
        steps,
        ..Spec::default()
    }
}

/// Returns the work of each task of a job.
pub fn work(spec: &Spec) -> Duration {
    Duration::from_millis(spec.payload.parse().expect("payloads are numbers"))
}
