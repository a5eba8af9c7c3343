//! A tenant at its limit, whose job is cancelled while the runners that run it are cut off, just
//! before the leader is killed.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    cell::{Cell, PREFIX},
    record::Record,
    runner::Runner,
};

const RUNNERS: usize = 12;
const RUNNER_CPU: u32 = 16_000;
/// Limit of the tenant, as much as two runners have.
const MAX_CPU: u32 = 32_000;
const TASKS: u32 = 8;
const TASK_CPU: u32 = 4_000;
/// Limit of the rule: `maxCount` x (1 + `quotaOverage`) and one task more.
const BOUND_CPU: u32 = MAX_CPU + MAX_CPU / 10 + TASK_CPU;
const FIRST: &str = "5c0e7a21d94b36f8";
const SECOND: &str = "77aa01c2d94b36f1";
/// Length of the cut; the site has 5.5 s.
const CUT: Duration = Duration::from_millis(5500);
const KILL_AFTER: Duration = Duration::from_millis(400);
const RESTART_AFTER: Duration = Duration::from_secs(2);

fn running(runners: &[Arc<Runner>]) -> u32 {
    runners.iter().map(|runner| runner.running().len() as u32).sum()
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut cell = Cell::start(Arc::clone(record), 3, RUNNERS, (RUNNER_CPU, 65_536), MAX_CPU, 3);
    thread::sleep(Duration::from_secs(4));
    let body = |work_ms: u64| {
        json!({
            "spec": work_ms.to_string(),
            "steps": [{"count": TASKS, "cpu": TASK_CPU, "memMb": 1024, "estimateMs": work_ms}],
        })
    };
    if !cell.submit(0, FIRST, &body(30_000)) {
        cell.stop();
        crate::cell::give_up("the job was not accepted");
    }
    let end = Instant::now() + Duration::from_secs(5);
    while running(&cell.runners) < TASKS && Instant::now() < end {
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_secs(3));
    let Some((term, leader)) = cell.leader().filter(|_| running(&cell.runners) == TASKS) else {
        cell.stop();
        crate::cell::give_up("the first job does not run");
    };
    record.note(&format!("node {leader} leads"));
    // Looks every few milliseconds at what runs, on all runners, cut off or not.
    let (is_over, watched, seen) =
        (Arc::new(AtomicBool::new(false)), cell.runners.clone(), Arc::clone(record));
    let ending = Arc::clone(&is_over);
    let watch = thread::spawn(move || {
        let (mut most, mut noted) = (0, 0);
        while !ending.load(Ordering::SeqCst) {
            let cpu = running(&watched) * TASK_CPU;
            if cpu != noted {
                seen.note(&format!("the tenant has {cpu} running, at most {BOUND_CPU} allowed"));
                noted = cpu;
            }
            most = most.max(cpu);
            thread::sleep(Duration::from_millis(5));
        }
        most
    });
    let busy: Vec<usize> =
        (0..RUNNERS).filter(|n| !cell.runners[*n].running().is_empty()).collect();
    let cut_at = Instant::now();
    if has_trouble {
        busy.iter().for_each(|number| cell.runners[*number].set_cut(true));
    }
    let node = (leader + 1) % 3;
    let answer =
        cell.call(node, "DELETE", &format!("{PREFIX}{FIRST}"), None).map(|(status, _)| status);
    record.note(&format!("DELETE {FIRST} at node {node}: {answer:?}"));
    if has_trouble {
        thread::sleep(KILL_AFTER.saturating_sub(cut_at.elapsed()));
        cell.kill(leader);
        thread::sleep(RESTART_AFTER);
        cell.restart(leader);
        // A job that comes before another node leads counts as one of an earlier term.
        let end = Instant::now() + Duration::from_secs(3);
        while cell.leader().is_none_or(|(now, _)| now == term) && Instant::now() < end {
            thread::sleep(Duration::from_millis(20));
        }
        thread::sleep(Duration::from_millis(200));
    } else {
        thread::sleep(KILL_AFTER + RESTART_AFTER);
    }
    let is_accepted = cell.submit(node, SECOND, &body(1_500));
    thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
    if has_trouble {
        busy.iter().for_each(|number| cell.runners[*number].set_cut(false));
    }
    let end = Instant::now() + Duration::from_secs(20);
    let mut shown = String::new();
    while is_accepted && Instant::now() < end && shown != "complete" {
        thread::sleep(Duration::from_millis(200));
        if let Some((status, state)) = cell.state(node, SECOND)
            && state != shown
        {
            record.note(&format!("GET {SECOND}: {status} {state}"));
            shown = state;
        }
    }
    is_over.store(true, Ordering::SeqCst);
    let most = watch.join().unwrap_or(0);
    cell.finish();
    record.note(&format!("the tenant had {most} running at most; maxCount is {MAX_CPU}"));
    most > BOUND_CPU
}
