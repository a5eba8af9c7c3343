//! A sound job that has the cell for itself, when a few of its runners crash at once.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{cell::Cell, record::Record};

const RUNNERS: usize = 24;
/// Each task takes a whole runner.
const CORES: u32 = 16_000;
const WORK_MS: u64 = 10_000;
/// Runners that crash, a share of 0.125, at a time after the job was accepted, and how long they
/// are down.
const CRASHED: usize = 3;
const CRASH_AT: Duration = Duration::from_secs(3);
const DOWN: Duration = Duration::from_secs(4);
const MAX_ATTEMPTS: u32 = 3;
const JOB: &str = "5c0e7a21d94b36f8";

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut cell = Cell::start(Arc::clone(record), 3, RUNNERS, (CORES, 65_536), 0, MAX_ATTEMPTS);
    thread::sleep(Duration::from_secs(4));
    let body = json!({
        "spec": WORK_MS.to_string(),
        "steps": [{"count": RUNNERS, "cpu": CORES, "memMb": 1024, "estimateMs": WORK_MS}],
    });
    if !cell.submit(0, JOB, &body) {
        cell.stop();
        crate::cell::give_up("the job was not accepted");
    }
    let accepted = Instant::now();
    let mut down: Vec<usize> = Vec::new();
    let mut has_crashed = false;
    let mut shown = String::new();
    while accepted.elapsed() < Duration::from_secs(60) {
        thread::sleep(Duration::from_millis(50));
        if has_trouble && !has_crashed && accepted.elapsed() >= CRASH_AT {
            let busy = (0..RUNNERS).filter(|n| !cell.runners[*n].running().is_empty());
            down = busy.take(CRASHED).collect();
            down.iter().for_each(|number| cell.runners[*number].crash());
            has_crashed = true;
        }
        if accepted.elapsed() >= CRASH_AT + DOWN {
            down.drain(..).for_each(|number| cell.runners[number].restart());
        }
        if let Some((status, state)) = cell.state(1, JOB)
            && state != shown
        {
            record.note(&format!("GET {JOB}: {status} {state}"));
            shown = state;
            if ["complete", "failed", "canceled"].contains(&shown.as_str()) {
                break;
            }
        }
    }
    cell.finish();
    let seen = record.of_job(JOB);
    let failed: u32 = seen.iter().map(|task| task.failed).sum();
    let lost: u32 = seen.iter().map(|task| task.lost).sum();
    record.note(&format!(
        "shown as {shown}; ends listed as failed: {failed}; runs lost with their runner: {lost}"
    ));
    // LOST: shown as failed without cause; only ends `failed` count as attempts.
    shown == "failed" && failed == 0
}
