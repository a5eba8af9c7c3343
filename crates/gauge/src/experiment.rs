//! Experiments with scheduling policies: open-loop arrivals at real daemons, and
//! the same arrivals at daemons with the baseline decisions.

use std::{
    collections::BTreeMap,
    path::Path,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rig::{Client, Rig};
use serde::Deserialize;
use serde_json::{Value, json};
use standin::Group;
use tokio::{task::JoinSet, time};
use wire::pb::{self, change_request::Change};

use crate::{
    figures::{Figures, histogram, record},
    path::{FIND_PATH, quiet_log_settings, start_rig},
};

/// Interval between samples of the resource usage of the cell.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Method of the non-urgent calls.
const HOURS_PATH: &str = "/counter.Parts/Hours";

/// Settings of an experiment, as read from its file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    name: String,
    seed: u64,
    seconds: u64,
    #[serde(default)]
    workers: Vec<Group>,
    #[serde(default)]
    runners: Vec<Group>,
    teams: Vec<TeamSettings>,
    #[serde(default)]
    jobs: Vec<JobStream>,
    #[serde(default)]
    calls: Vec<CallStream>,
}

/// Team of an experiment, with its share.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TeamSettings {
    name: String,
    share: u32,
}

/// Jobs with random arrival times.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct JobStream {
    team: String,
    kind: String,
    urgency: String,
    per_s: f64,
    tasks: u32,
    cpu_milli: u32,
    memory_mib: u32,
    run_ms: u32,
    /// Largest factor by which the run time of a task differs from the declared
    /// one, in either direction.
    #[serde(default = "one")]
    off_by: f64,
}

/// Calls with random arrival times.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CallStream {
    team: String,
    urgent: bool,
    per_s: f64,
    call_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// Results of one run of an experiment.
#[derive(Debug)]
struct Outcome {
    /// Times from submission of a job to its first start in milliseconds, by
    /// urgency.
    waits: BTreeMap<String, Histogram<u64>>,
    /// Times that urgent calls took beyond their own duration, in milliseconds.
    lookup_waits: Histogram<u64>,
    failed_calls: u64,
    /// Mean fraction of the CPU capacity in use.
    used_fraction: f64,
    /// Mean fraction of the used CPU that is held by the wrong teams.
    share_distance: f64,
    overcommits: u32,
    two_places: u32,
}

/// Runs an experiment with the share-based and with the baseline decisions.
pub(crate) async fn measure(figures: &mut Figures, file: &Path) -> Result<(), String> {
    let settings = read_settings(file)?;
    for (decisions, suffix) in [("shares", ""), ("baseline", "_baseline")] {
        let outcome = run(&settings, decisions).await?;
        let name = &settings.name;
        let mut add = |figure: &str, value: f64| {
            figures.add(format!("{name}_{figure}{suffix}"), value);
        };
        for (urgency, waits) in &outcome.waits {
            for (label, quantile) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
                let wait = waits.value_at_quantile(quantile) as f64 / 1000.0;
                add(&format!("{urgency}_wait_{label}_s"), wait);
            }
        }
        if !outcome.lookup_waits.is_empty() {
            add("lookup_wait_p50_ms", outcome.lookup_waits.value_at_quantile(0.5) as f64);
            add("lookup_wait_p99_ms", outcome.lookup_waits.value_at_quantile(0.99) as f64);
            add("calls_refused", outcome.failed_calls as f64);
        }
        if !settings.jobs.is_empty() {
            add("packing_used_fraction", outcome.used_fraction);
            add("share_distance", outcome.share_distance);
            add("overcommits", f64::from(outcome.overcommits));
            add("two_places", f64::from(outcome.two_places));
        }
        // The figures that matter most to the users are also added under names
        // without that of the experiment.
        let (urgent, lookup_waits) = (outcome.waits.get("urgent"), &outcome.lookup_waits);
        if let Some(urgent) = urgent.filter(|_| name == "firm") {
            let wait = urgent.value_at_quantile(0.99) as f64 / 1000.0;
            figures.add(format!("urgent_wait_p99_s{suffix}"), wait);
            figures.add(format!("packing_used_fraction{suffix}"), outcome.used_fraction);
            figures.add(format!("share_distance{suffix}"), outcome.share_distance);
        }
        if !lookup_waits.is_empty() && name == "association" {
            let wait = lookup_waits.value_at_quantile(0.99) as f64;
            figures.add(format!("lookup_wait_p99_ms{suffix}"), wait);
        }
    }
    Ok(())
}

fn read_settings(file: &Path) -> Result<Settings, String> {
    let invalid = |what: String| format!("{}: {what}", file.display());
    let text = std::fs::read_to_string(file).map_err(|error| invalid(error.to_string()))?;
    let value = jsonc_parser::parse_to_serde_value(&text, &Default::default())
        .map_err(|error| invalid(error.to_string()))?
        .unwrap_or_default();
    serde_json::from_value(value).map_err(|error| invalid(error.to_string()))
}

/// Runs an experiment with one kind of decisions, `shares` or `baseline`.
async fn run(settings: &Settings, decisions: &str) -> Result<Outcome, String> {
    let mut overrides: Value = json!({ "decisions": decisions });
    rig::merge_settings(&mut overrides, &quiet_log_settings());
    let rig = start_rig(settings.workers.clone(), settings.runners.clone(), overrides).await?;
    let mut keys = BTreeMap::new();
    for team in &settings.teams {
        let key = rig.create_team(&team.name, "r1", u32::MAX).await;
        let put = pb::PutTeam {
            name: team.name.clone(),
            share: team.share,
            limit: None,
            calls: 100_000,
            home_region: "r1".to_owned(),
        };
        rig.operator_client(0).change(Change::PutTeam(put)).await.map_err(|f| f.to_string())?;
        keys.insert(team.name.clone(), key);
    }
    let duration = Duration::from_secs(settings.seconds);
    let mut jobs = JoinSet::new();
    for (number, stream) in settings.jobs.iter().enumerate() {
        let client = rig.client(number % 3, &keys[&stream.team]);
        let rng = StdRng::seed_from_u64(settings.seed + number as u64);
        jobs.spawn(send_jobs(client, stream.clone(), number, rng, duration));
    }
    let mut calls = JoinSet::new();
    for (number, stream) in settings.calls.iter().enumerate() {
        let clients: Vec<_> = (0..3).map(|i| rig.client(i, &keys[&stream.team])).collect();
        let rng = StdRng::seed_from_u64(settings.seed + 1000 + number as u64);
        calls.spawn(send_calls(clients, stream.clone(), rng, duration));
    }
    let (used_fraction, share_distance) = sample(&rig, settings, duration).await;

    let mut waits: BTreeMap<String, Histogram<u64>> = BTreeMap::new();
    while let Some(result) = jobs.join_next().await {
        for (client, urgency, job, submitted_at) in result.map_err(|error| error.to_string())? {
            let status = client.job(&job).await.map_err(|failure| failure.to_string())?;
            // A job that has not started counts with its wait so far.
            let wait = match status.first_start_ms {
                0 if status.running + status.succeeded == 0 => {
                    submitted_at.elapsed().as_millis() as u64
                }
                wait => u64::from(wait),
            };
            record(waits.entry(urgency).or_insert_with(histogram), wait);
        }
    }
    let mut lookup_waits = histogram();
    let mut failed_calls = 0;
    while let Some(result) = calls.join_next().await {
        let (times, failed) = result.map_err(|error| error.to_string())?;
        lookup_waits.add(times).map_err(|error| error.to_string())?;
        failed_calls += failed;
    }
    let counts = rig.world.observer().counts();
    Ok(Outcome {
        waits,
        lookup_waits,
        failed_calls,
        used_fraction,
        share_distance,
        overcommits: counts.overcommits,
        two_places: counts.two_places,
    })
}

/// Returns the time to the next arrival of a Poisson process.
fn next_arrival_gap(rng: &mut StdRng, per_s: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / per_s)
}

/// Submitting client, urgency, job and time of submission.
type Submission = (Client, String, String, Instant);

/// Submits the jobs of a stream for `duration`. Returns the accepted ones.
async fn send_jobs(
    client: Client,
    stream: JobStream,
    number: usize,
    mut rng: StdRng,
    duration: Duration,
) -> Vec<Submission> {
    let start = Instant::now();
    let mut sent = Vec::new();
    let mut due = Duration::ZERO;
    let mut serial = 0;
    loop {
        due += next_arrival_gap(&mut rng, stream.per_s);
        if due > duration {
            return sent;
        }
        time::sleep(due.saturating_sub(start.elapsed())).await;
        serial += 1;
        let run_factor = stream.off_by.powf(rng.random_range(-1.0..1.0));
        let run_ms = (f64::from(stream.run_ms) * run_factor) as u64;
        let payload = json!({ "run_ms": run_ms, "team": stream.team }).to_string();
        let kind = if stream.kind == "gang" { pb::JobKind::Gang } else { pb::JobKind::Batch };
        let urgency = match stream.urgency.as_str() {
            "urgent" => pb::Urgency::Urgent,
            "batch" => pb::Urgency::Batch,
            _ => pb::Urgency::Normal,
        };
        let job = pb::Job {
            name: format!("{}-{serial}", stream.team),
            kind: kind.into(),
            urgency: urgency.into(),
            tasks: stream.tasks,
            size: Some(pb::Resources {
                cpu_milli: stream.cpu_milli,
                memory_mib: stream.memory_mib,
                accelerators: 0,
            }),
            idempotent: true,
            declared_run_ms: stream.run_ms,
            payload: payload.into(),
            ..Default::default()
        };
        let submitted_at = Instant::now();
        if let Ok(reply) = client.submit(&format!("{number}-{serial}"), job).await {
            sent.push((client.clone(), stream.urgency.clone(), reply.job, submitted_at));
        }
    }
}

/// Sends calls. Returns the times that urgent calls took beyond their own
/// duration in milliseconds, and the number of failed calls.
async fn send_calls(
    clients: Vec<Client>,
    stream: CallStream,
    mut rng: StdRng,
    duration: Duration,
) -> (Histogram<u64>, u64) {
    let start = Instant::now();
    let mut due = Duration::ZERO;
    let mut calls = JoinSet::new();
    loop {
        due += next_arrival_gap(&mut rng, stream.per_s);
        if due > duration {
            break;
        }
        time::sleep(due.saturating_sub(start.elapsed())).await;
        let client = clients[rng.random_range(0..clients.len())].clone();
        let (path, call_ms) = (if stream.urgent { FIND_PATH } else { HOURS_PATH }, stream.call_ms);
        calls.spawn(async move {
            let sent_at = Instant::now();
            let answer = client.call(path, &format!("sleep={call_ms}"), None).await;
            (answer.is_ok(), sent_at.elapsed().saturating_sub(Duration::from_millis(call_ms)))
        });
    }
    let mut waits = histogram();
    let mut failed = 0;
    while let Some(Ok((answered, wait))) = calls.join_next().await {
        // The time of a failed call counts as well.
        if stream.urgent {
            record(&mut waits, wait.as_millis() as u64);
        }
        failed += u64::from(!answered);
    }
    (waits, failed)
}

/// Samples the second half of a run. Returns the mean fraction of the cell's CPU
/// that is in use, and the mean distance of the teams from their shares.
async fn sample(rig: &Rig, settings: &Settings, duration: Duration) -> (f64, f64) {
    let start = Instant::now();
    let capacity: u64 =
        settings.workers.iter().map(|g| u64::from(g.count) * u64::from(g.cpu_milli)).sum();
    let weights: u32 = settings.teams.iter().map(|team| team.share).sum();
    let (mut used_fraction, mut share_distance, mut samples) = (0.0, 0.0, 0.0);
    while start.elapsed() < duration {
        time::sleep(SAMPLE_INTERVAL).await;
        if start.elapsed() < duration / 2 || capacity == 0 {
            continue;
        }
        let counts = rig.world.observer().counts();
        let cpu = |team: &str| counts.cpu_milli.get(team).copied().unwrap_or(0) as f64;
        let total: f64 = settings.teams.iter().map(|team| cpu(&team.name)).sum();
        used_fraction += total / capacity as f64;
        // Half of the sum of the differences is the fraction of the used CPU that
        // the wrong teams hold.
        let deviations = settings.teams.iter().map(|team| {
            let entitled = f64::from(team.share) / f64::from(weights);
            (cpu(&team.name) / total.max(1.0) - entitled).abs()
        });
        share_distance += deviations.sum::<f64>() / 2.0;
        samples += 1.0;
    }
    if samples == 0.0 { (0.0, 0.0) } else { (used_fraction / samples, share_distance / samples) }
}
