//! A job that waits for room when all nodes are killed, and a runner that comes back and is lost.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{cell::Cell, record::Record};

const RUNNERS: usize = 12;
const NODES: usize = 3;
const CORES: u32 = 16_000;
/// Job that takes all runners.
const FIRST: &str = "5c0e7a21d94b36f8";
const FIRST_MS: u64 = 6000;
/// Job that waits for room meanwhile.
const SECOND: &str = "77aa01c2d94b36f1";
/// Times after the kill of all nodes.
const CRASH: Duration = Duration::from_millis(200);
const BACK: Duration = Duration::from_millis(1200);
const LOST: Duration = Duration::from_millis(1700);
const NODES_BACK: Duration = Duration::from_millis(2000);
/// `finish_s` of the site, and the 3 s of the rule.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut cell = Cell::start(Arc::clone(record), NODES, RUNNERS, (CORES, 65_536), 0, 3);
    thread::sleep(Duration::from_secs(4));
    let job = |work_ms: u64, count: usize, cpu: u32| {
        json!({
            "spec": work_ms.to_string(),
            "steps": [{"count": count, "cpu": cpu, "memMb": 1024, "estimateMs": work_ms}],
        })
    };
    let is_accepted = cell.submit(0, FIRST, &job(FIRST_MS, RUNNERS, CORES)) && {
        thread::sleep(Duration::from_secs(1));
        cell.submit(1, SECOND, &job(1000, 4, 4_000))
    };
    if !is_accepted {
        cell.stop();
        crate::cell::give_up("the jobs were not accepted");
    }
    record.note("the traffic ends");
    let accepted = Instant::now();
    thread::sleep(Duration::from_millis(500));
    let killed = Instant::now();
    let until = |time: Duration| thread::sleep(time.saturating_sub(killed.elapsed()));
    if has_trouble {
        (0..NODES).for_each(|node| cell.kill(node));
        until(CRASH);
        cell.runners[0].crash();
        until(BACK);
        cell.runners[0].restart();
        until(LOST);
        cell.runners[0].crash();
        until(NODES_BACK);
        (0..NODES).for_each(|node| cell.restart(node));
    }
    let (mut idle, mut shown) = (None, [String::new(), String::new()]);
    let mut longest = Duration::ZERO;
    while accepted.elapsed() < Duration::from_secs(40)
        && shown.iter().any(|state| state != "complete")
    {
        thread::sleep(Duration::from_millis(50));
        let busy: usize = cell.runners.iter().map(|runner| runner.running().len()).sum();
        let is_done = record.of_job(SECOND).iter().filter(|task| task.done > 0).count() == 4;
        if accepted.elapsed() < FINISH || busy > 0 || is_done {
            idle = None;
        } else {
            longest = longest.max(idle.get_or_insert_with(Instant::now).elapsed());
        }
        for (job, shown) in [FIRST, SECOND].into_iter().zip(&mut shown) {
            if let Some((status, state)) = cell.state(1, job)
                && state != *shown
                && status == 200
            {
                record.note(&format!("GET {job}: {status} {state}"));
                *shown = state;
            }
        }
    }
    cell.finish();
    record.note(&format!(
        "from 14 s after the traffic on, nothing ran on any runner for {:.1} s while {SECOND} waited",
        longest.as_secs_f64()
    ));
    longest >= IDLE
}
