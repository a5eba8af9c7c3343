//! Resource usage of daemons at several cell sizes.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use rig::Rig;
use tokio::time;

use crate::{
    figures::Figures,
    path::{batch_job, quiet_log_settings, start_rig, worker_group},
    plot::draw,
    process::{cpu_seconds, rss_mb},
};

/// Duration of the measurement at each cell size.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(10);

/// Tasks started per second, equal at all cell sizes.
const TASKS_PER_S: u32 = 20;

/// Run time of the tasks that are started each second.
const TASK_RUN_MS: u32 = 1000;

/// Tasks per worker that run during the whole measurement.
const TASKS_PER_WORKER: u32 = 23;

/// Measurements at one cell size.
#[derive(Clone, Copy, Debug)]
struct Point {
    workers: f64,
    rss_mb: f64,
    cpu_percent: f64,
    bytes_per_s: f64,
}

/// Figure that grows with the number of workers: name, unit and value.
type Series = (&'static str, &'static str, fn(&Point) -> f64);

/// Measures the resource usage at each cell size, and fits lines over the number
/// of workers.
pub(crate) async fn measure(figures: &mut Figures, full: bool) -> Result<(), String> {
    let sizes: &[u32] = if full { &[50, 500, 1500, 3300] } else { &[50, 200, 500] };
    let mut points = Vec::new();
    for size in sizes {
        points.push(measure_size(figures, *size).await?);
    }
    let last = points.last().ok_or("there is no size")?;
    figures.add("control_cpu_percent_per_worker", last.cpu_percent / last.workers);
    figures.add("control_bytes_per_s_per_worker", last.bytes_per_s / last.workers);
    let series: [Series; 3] = [
        ("rss", "MB", |point| point.rss_mb),
        ("cpu", "% of a core", |point| point.cpu_percent),
        ("bytes", "bytes/s", |point| point.bytes_per_s),
    ];
    for (name, unit, value) in series {
        let points_of_series: Vec<_> =
            points.iter().map(|point| (point.workers, value(point))).collect();
        let (slope, intercept, residual) = fit_line(&points_of_series);
        figures.add(format!("placer_{name}_slope_per_worker"), slope);
        figures.add(format!("placer_{name}_at_zero"), intercept);
        figures.add(format!("placer_{name}_residual"), residual);
        let path = format!("target/scale-{name}.svg");
        draw(Path::new(&path), &format!("placer: {name}"), "workers", unit, &points_of_series)?;
    }
    Ok(())
}

/// Measures the resource usage of the placer in a cell of `size` workers.
async fn measure_size(figures: &mut Figures, size: u32) -> Result<Point, String> {
    let rig = start_rig(vec![worker_group(size)], vec![], quiet_log_settings()).await?;
    let key = rig.create_team("engineers", "r1", u32::MAX).await;
    let client = rig.client(0, &key);
    // The base load: jobs whose tasks outlast the measurement.
    let standing_tasks = size * TASKS_PER_WORKER;
    let mut left = standing_tasks;
    while left > 0 {
        let tasks = left.min(5000);
        let job = batch_job(tasks, 1000, 3_600_000);
        client.submit(&format!("standing-{left}"), job).await.map_err(|f| f.to_string())?;
        left -= tasks;
    }
    let filled = Rig::wait_until(Duration::from_secs(120), async || {
        rig.world.observer().counts().running >= standing_tasks
    });
    if filled.await.is_none() {
        return Err(format!("{size} workers were not filled in time"));
    }
    let placer = rig.placer("r1").await;
    let pid = rig.instances[placer].pid().ok_or("the placer is gone")?;

    let (reads, writes) = rig.world.store_counts();
    let (bytes, platform) = (rig.world.target_bytes(), rig.world.platform_bytes());
    let cpu = cpu_seconds(pid);
    let start = Instant::now();
    let mut ticks = time::interval(Duration::from_secs(1));
    let mut second = 0;
    while start.elapsed() < MEASUREMENT_DURATION {
        ticks.tick().await;
        second += 1;
        let job = batch_job(TASKS_PER_S, 100, TASK_RUN_MS);
        client.submit(&format!("second-{second}"), job).await.map_err(|f| f.to_string())?;
    }
    let took = start.elapsed().as_secs_f64();
    let (reads_after, writes_after) = rig.world.store_counts();
    let per_second = |from: u64, to: u64| (to - from) as f64 / took;
    let point = Point {
        workers: f64::from(size),
        rss_mb: rss_mb(pid),
        cpu_percent: (cpu_seconds(pid) - cpu) / took * 100.0,
        bytes_per_s: per_second(bytes, rig.world.target_bytes()),
    };
    figures.add(format!("kv_writes_per_s_{size}w"), per_second(writes, writes_after));
    figures.add(format!("kv_reads_per_s_{size}w"), per_second(reads, reads_after));
    let platform = per_second(platform, rig.world.platform_bytes());
    figures.add(format!("kv_bytes_per_s_{size}w"), platform);
    figures.add(format!("daemon_rss_mb_{size}w"), point.rss_mb);
    figures.add(format!("daemon_cpu_percent_{size}w"), point.cpu_percent);
    figures.add(format!("target_bytes_per_s_{size}w"), point.bytes_per_s);
    Ok(point)
}

/// Fits a line by least squares. Returns its slope, its intercept and the largest
/// residual.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let count = points.len() as f64;
    let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let joint: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = joint / spread;
    let intercept = mean_y - slope * mean_x;
    let distance = |(x, y): &(f64, f64)| (y - intercept - slope * x).abs();
    (slope, intercept, points.iter().map(distance).fold(0.0, f64::max))
}
