//! What the tests of the daemon share.

// Each test program uses a part of it.
#![allow(dead_code)]

use std::{path::PathBuf, time::Duration};

use rig::{Client, Options, Rig};
use serde_json::{Value, json};
use standin::{Group, Layout};
use wire::pb;

/// Time for what should happen soon, with room for a busy machine.
pub const SOON: Duration = Duration::from_secs(30);

/// Path of the method that may run twice.
pub const FIND: &str = "/counter.Parts/Find";

/// Path of the method that may run at most once.
pub const ORDER: &str = "/counter.Parts/Order";

/// Path of the method open to all.
pub const HOURS: &str = "/counter.Parts/Hours";

/// Gets the path of the daemon that was built with the tests.
pub fn daemon() -> PathBuf {
    env!("CARGO_BIN_EXE_skylarkspand").into()
}

/// Gets the schema of the example.
pub fn schema() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/counter.proto")
}

/// Gets settings with short times, so that faults run their course quickly.
pub fn quick() -> Value {
    json!({
        "membership": { "ttl_ms": 1500 },
        "targets": { "lease_ms": 5000, "silent_ms": 1000, "margin_ms": 200 },
        "platform": { "timeout_ms": 500, "list_ms": 300 },
        "ledger": { "flush_ms": 20 },
        "limits": { "linger_ms": 2000 },
    })
}

/// Gets a group of workers.
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

/// Gets a group of runners that serve the example's calls.
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
    start_in(&["r1"; 3], workers, runners).await
}

/// Starts a rig with an instance in each of `regions`.
pub async fn start_in(regions: &[&str], workers: Vec<Group>, runners: Vec<Group>) -> Rig {
    start_rig(regions, quick(), workers, runners).await
}

/// Starts a rig of three instances in one region, with settings.
pub async fn start_with(settings: Value, workers: Vec<Group>, runners: Vec<Group>) -> Rig {
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
        daemon: daemon(),
        ..Default::default()
    };
    Rig::start(options).await.expect("the processes start")
}

/// Gets a batch job of tasks that may be started again.
pub fn batch(tasks: u32, cpu_milli: u32, run_ms: u32) -> pb::Job {
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

/// Gets a batch job of tasks that may run at most once; the observer watches.
pub fn once(tasks: u32, cpu_milli: u32, run_ms: u32) -> pb::Job {
    pb::Job {
        name: "once".to_owned(),
        idempotent: false,
        payload: r#"{"once":true}"#.into(),
        ..batch(tasks, cpu_milli, run_ms)
    }
}

/// Waits until a job's status is as wanted; gets the last status seen.
pub async fn wait_job(
    client: &Client,
    job: &str,
    limit: Duration,
    wanted: impl Fn(&pb::JobStatus) -> bool,
) -> pb::JobStatus {
    let mut last = pb::JobStatus::default();
    let _ = Rig::wait_until(limit, async || {
        if let Ok(status) = client.job(job).await {
            last = status;
        }
        wanted(&last)
    })
    .await;
    last
}
