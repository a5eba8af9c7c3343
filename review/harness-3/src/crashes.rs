//! A sound job, of which runners crash one after the other.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{cell::Cell, record::Record};

const RUNNERS: usize = 12;
/// Each task takes a whole runner.
const CORES: u32 = 16_000;
const TASKS: u32 = 12;
const WORK_MS: u64 = 25_000;
/// Times of the crashes after the first start, in seconds; a runner is down for 2 s.
const CRASHES_S: [u64; 3] = [3, 8, 13];
const DOWN: Duration = Duration::from_secs(2);
const JOB: &str = "5c0e7a21d94b36f8";

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut cell = Cell::start(Arc::clone(record), 3, RUNNERS, (CORES, 65_536), 0);
    thread::sleep(Duration::from_secs(4));
    let body = json!({
        "spec": WORK_MS.to_string(),
        "steps": [{"count": TASKS, "cpu": CORES, "memMb": 1024, "estimateMs": WORK_MS}],
    });
    if !cell.submit(0, JOB, &body) {
        cell.stop();
        crate::cell::give_up("the job was not accepted");
    }
    let accepted = Instant::now();
    let mut crashes = CRASHES_S.iter().filter(|_| has_trouble);
    let mut next = crashes.next();
    let mut down = None;
    let mut crashed = 0;
    let mut shown = String::new();
    while accepted.elapsed() < Duration::from_secs(100) {
        thread::sleep(Duration::from_millis(100));
        if let Some((number, at)) = down
            && Instant::now() >= at
        {
            let number: usize = number;
            cell.runners[number].restart();
            down = None;
        }
        if let Some(at) = next
            && accepted.elapsed() >= Duration::from_secs(*at)
        {
            // One runner after the other, each at work.
            let busy = (crashed..RUNNERS).find(|n| !cell.runners[*n].running().is_empty());
            if let Some(number) = busy {
                cell.runners[number].crash();
                down = Some((number, Instant::now() + DOWN));
                crashed = number + 1;
                next = crashes.next();
            }
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
    let ended = cell.ended();
    cell.stop();
    let seen = record.of_job(JOB);
    let failed: u32 = seen.iter().map(|task| task.failed).sum();
    let lost: u32 = seen.iter().map(|task| task.lost).sum();
    record.note(&format!(
        "shown as {shown}; ends listed as failed: {failed}; runs lost with their runner: {lost}; \
         nodes that ended by themselves: {}",
        ended.len()
    ));
    // LOST: shown as failed without cause; only ends `failed` count as attempts.
    shown == "failed" && failed == 0
}
