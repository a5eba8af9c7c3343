//! Measurements of calls and tasks through real daemons.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rig::{Client, Options, Rig};
use serde_json::json;
use standin::{Group, Layout};
use tokio::task::JoinSet;
use wire::pb;

use crate::figures::{Figures, histogram, record};

/// Sequential calls for the latency that the daemon adds.
const HOP_CALLS: usize = 3000;

/// Concurrent callers for the throughput of calls.
const CONCURRENT_CALLERS: usize = 48;

/// Duration of the throughput measurement of calls.
const THROUGHPUT_DURATION: Duration = Duration::from_secs(5);

/// Tasks to start for the throughput of placements.
const THROUGHPUT_TASKS: u32 = 8000;

/// Method of the urgent calls.
pub(crate) const FIND_PATH: &str = "/counter.Parts/Find";

/// Returns settings that log only warnings and errors, as logging would
/// otherwise distort measurements under load.
pub(crate) fn quiet_log_settings() -> serde_json::Value {
    json!({ "log": { "level": "warning" } })
}

/// Returns a group of runners with 8 slots each.
pub(crate) fn runner_group(count: u32, call_ms: u64) -> Group {
    Group {
        prefix: "runner".to_owned(),
        count,
        slots: 8,
        services: vec!["counter.Parts".to_owned()],
        call_ms,
        ..Default::default()
    }
}

/// Returns a group of workers with 64 cores and 256 GiB each.
pub(crate) fn worker_group(count: u32) -> Group {
    Group {
        prefix: "worker".to_owned(),
        count,
        cpu_milli: 64_000,
        memory_mib: 262_144,
        ..Default::default()
    }
}

/// Starts a rig of three instances in one region, with the schema of the
/// example service.
pub(crate) async fn start_rig(
    workers: Vec<Group>,
    runners: Vec<Group>,
    settings: serde_json::Value,
) -> Result<Rig, String> {
    let layout = Layout { workers, runners, ..Default::default() };
    let rig = Rig::start(Options { layout, settings, ..Default::default() })
        .await
        .map_err(|error| error.to_string())?;
    rig.apply_schema("examples/counter.proto".as_ref()).await;
    Ok(rig)
}

/// Measures the latency and throughput of calls, and the throughput of
/// placements.
pub(crate) async fn measure(figures: &mut Figures) -> Result<(), String> {
    measure_calls(figures).await?;
    measure_tasks(figures).await
}

async fn measure_calls(figures: &mut Figures) -> Result<(), String> {
    let rig = start_rig(vec![], vec![runner_group(12, 0)], quiet_log_settings()).await?;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    let runner = rig.world.instances().first().ok_or("the rig has no runner")?;
    let direct = Client::new(&runner.address, "");
    let routed = rig.client(0, &key);
    for client in [&direct, &routed] {
        time_calls(client, HOP_CALLS / 10).await?;
    }
    let direct = time_calls(&direct, HOP_CALLS).await?;
    let routed = time_calls(&routed, HOP_CALLS).await?;
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let added_us =
            routed.value_at_quantile(quantile) as f64 - direct.value_at_quantile(quantile) as f64;
        figures.add(format!("hop_added_{name}_us"), added_us);
        let direct_us = direct.value_at_quantile(quantile) as f64;
        figures.add(format!("direct_call_{name}_us"), direct_us);
    }

    let start = Instant::now();
    let mut callers = JoinSet::new();
    for number in 0..CONCURRENT_CALLERS {
        let client = rig.client(number % 3, &key);
        callers.spawn(async move {
            let (mut answered, mut failed) = (0u32, 0u32);
            while start.elapsed() < THROUGHPUT_DURATION {
                match client.call(FIND_PATH, "spring", None).await {
                    Ok(_) => answered += 1,
                    Err(_) => failed += 1,
                }
            }
            (answered, failed)
        });
    }
    let (mut answered, mut failed) = (0, 0);
    while let Some(Ok((a, f))) = callers.join_next().await {
        answered += a;
        failed += f;
    }
    let took = start.elapsed().as_secs_f64();
    figures.add("calls_per_s", f64::from(answered) / took);
    figures.add("calls_failed", f64::from(failed));
    Ok(())
}

/// Sends calls one after another. Returns their times in microseconds.
async fn time_calls(client: &Client, count: usize) -> Result<Histogram<u64>, String> {
    let mut times = histogram();
    for _ in 0..count {
        let start = Instant::now();
        client.call(FIND_PATH, "spring", None).await.map_err(|failure| failure.to_string())?;
        record(&mut times, start.elapsed().as_micros() as u64);
    }
    Ok(times)
}

/// Returns an idempotent batch job whose tasks run for `run_ms` each.
pub(crate) fn batch_job(tasks: u32, cpu_milli: u32, run_ms: u32) -> pb::Job {
    pb::Job {
        name: "batch".to_owned(),
        kind: pb::JobKind::Batch.into(),
        tasks,
        size: Some(pb::Resources { cpu_milli, memory_mib: 64, accelerators: 0 }),
        urgency: pb::Urgency::Normal.into(),
        idempotent: true,
        declared_run_ms: run_ms,
        ..Default::default()
    }
}

async fn measure_tasks(figures: &mut Figures) -> Result<(), String> {
    let rig = start_rig(vec![worker_group(50)], vec![], quiet_log_settings()).await?;
    let key = rig.create_team("engineers", "r1", u32::MAX).await;
    let client = rig.client(0, &key);
    let first = client.submit("first", batch_job(1, 100, 1)).await.map_err(|f| f.to_string())?;
    let _ = Rig::wait_until(Duration::from_secs(10), async || {
        client.job(&first.job).await.is_ok_and(|status| status.ended)
    })
    .await;
    let before = rig.world.observer().counts().starts;
    let start = Instant::now();
    let mut submits = JoinSet::new();
    for number in 0..16 {
        let client = rig.client(number % 3, &key);
        submits.spawn(async move {
            client.submit(&format!("load-{number}"), batch_job(THROUGHPUT_TASKS / 16, 100, 1)).await
        });
    }
    while submits.join_next().await.is_some() {}
    let done = Rig::wait_until(Duration::from_secs(60), async || {
        rig.world.observer().counts().starts - before >= THROUGHPUT_TASKS
    })
    .await;
    if done.is_some() {
        figures.add(
            "path_placements_per_s",
            f64::from(THROUGHPUT_TASKS) / start.elapsed().as_secs_f64(),
        );
    }
    Ok(())
}
