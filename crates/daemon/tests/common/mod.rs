//! Constants and helpers shared by the tests of the daemon.

// Each test program uses only some of these items.
#![allow(dead_code)]

use std::{path::PathBuf, time::Duration};

use rig::{Client, Options, Rig};
use serde_json::{Value, json};
use standin::{Group, Layout};
use wire::pb;

/// Timeout for an expected event, long enough for a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Path of the example's idempotent method.
pub const FIND: &str = "/counter.Parts/Find";

/// Path of the example's method that may run at most once per request id.
pub const ORDER: &str = "/counter.Parts/Order";

/// Path of the example's method that needs no key.
pub const HOURS: &str = "/counter.Parts/Hours";

/// Returns the path of the daemon that was built with the tests.
pub fn daemon_path() -> PathBuf {
    env!("CARGO_BIN_EXE_skylarkspand").into()
}

/// Returns the path of the example's schema.
pub fn schema_path() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/counter.proto")
}

/// Returns settings with short timeouts and intervals, so that faults are detected
/// and recovered from quickly.
pub fn fast_settings() -> Value {
    json!({
        "membership": { "ttl_ms": 1500 },
        "targets": { "lease_ms": 5000, "silent_ms": 1000, "margin_ms": 200 },
        "platform": { "timeout_ms": 500, "list_ms": 300 },
        "ledger": { "flush_ms": 20 },
        "limits": { "linger_ms": 2000 },
    })
}

/// Returns a group of workers in racks of two.
pub fn workers(region: &str, count: u32, cpu_milli: u32) -> Group {
    Group {
        prefix: format!("{region}-worker"),
        count,
        region: region.to_owned(),
        data_centre: format!("{region}-a"),
        rack_size: 2,
        cpu_milli,
        memory_mib: 32_768,
        ..Default::default()
    }
}

/// Returns a group of runners that serve the example's methods.
pub fn runners(region: &str, count: u32, slots: u32) -> Group {
    Group {
        prefix: format!("{region}-runner"),
        count,
        region: region.to_owned(),
        data_centre: format!("{region}-a"),
        slots,
        services: vec!["counter.Parts".to_owned()],
        call_ms: 2,
        ..Default::default()
    }
}

/// Starts a rig of three instances in one region.
pub async fn start(workers: Vec<Group>, runners: Vec<Group>) -> Rig {
    start_in_regions(&["r1"; 3], workers, runners).await
}

/// Starts a rig with one instance per entry of `regions`.
pub async fn start_in_regions(regions: &[&str], workers: Vec<Group>, runners: Vec<Group>) -> Rig {
    start_rig(regions, fast_settings(), workers, runners).await
}

/// Starts a rig of three instances in one region with the given settings.
pub async fn start_with_settings(settings: Value, workers: Vec<Group>, runners: Vec<Group>) -> Rig {
    start_rig(&["r1"; 3], settings, workers, runners).await
}

async fn start_rig(
    regions: &[&str],
    settings: Value,
    workers: Vec<Group>,
    runners: Vec<Group>,
) -> Rig {
    let options = Options {
        layout: Layout { workers, runners, ..Default::default() },
        regions: regions.iter().map(|region| (*region).to_owned()).collect(),
        settings,
        daemon: daemon_path(),
        ..Default::default()
    };
    Rig::start(options).await.expect("the rig starts")
}

/// Returns a batch job of idempotent tasks, which may run again after a failure.
pub fn batch_job(tasks: u32, cpu_milli: u32, run_ms: u32) -> pb::Job {
    pb::Job {
        name: "batch".to_owned(),
        kind: pb::JobKind::Batch.into(),
        tasks,
        size: Some(pb::Resources { cpu_milli, memory_mib: 256, accelerators: 0 }),
        urgency: pb::Urgency::Normal.into(),
        idempotent: true,
        declared_run_ms: run_ms,
        ..Default::default()
    }
}

/// Returns a batch job of tasks that may run at most once. Their payload makes the
/// observer count second runs.
pub fn at_most_once_job(tasks: u32, cpu_milli: u32, run_ms: u32) -> pb::Job {
    pb::Job {
        name: "once".to_owned(),
        idempotent: false,
        payload: r#"{"once":true}"#.into(),
        ..batch_job(tasks, cpu_milli, run_ms)
    }
}

/// Waits until the status of a job satisfies `condition`. Returns the last status
/// read, also after the timeout.
pub async fn wait_for_job(
    client: &Client,
    job: &str,
    timeout: Duration,
    condition: impl Fn(&pb::JobStatus) -> bool,
) -> pb::JobStatus {
    let mut last = pb::JobStatus::default();
    let _ = Rig::wait_until(timeout, async || {
        if let Ok(status) = client.job(job).await {
            last = status;
        }
        condition(&last)
    })
    .await;
    last
}
