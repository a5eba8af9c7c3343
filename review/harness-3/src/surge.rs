//! Tasks that fill beside tasks that serve, whose users become more for a few seconds.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{cell::Cell, record::Record, runner::STARTUP};

const RUNNERS: usize = 48;
const FILLS: u32 = 768;
/// Tasks that fill and may be away at the same time as a result of the system's actions.
const MAY_MISS: u32 = 8;
const GOAL_MS: u32 = 100;
/// Users during the burst, in thousandths of the usual, and its length, as the site has them.
const BURST: u64 = 1800;
const BURST_LENGTH: Duration = Duration::from_secs(4);
const SERVES: &str = "5c0e7a21d94b36f8";
const FILLING: &str = "77aa01c2d94b36f1";

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut cell = Cell::start(Arc::clone(record), 3, RUNNERS, (64_000, 262_144), 0, 3);
    thread::sleep(Duration::from_secs(4));
    let serves = json!({
        "spec": "serves",
        "steps": [{"count": RUNNERS, "cpu": 30_000, "memMb": 8192, "estimateMs": 1000, "image": "web",
            "longRunning": true, "goalMs": GOAL_MS, "antiAffinity": 1}],
    });
    let fills = json!({
        "spec": "fills",
        "steps": [{"count": FILLS, "cpu": 2_000, "memMb": 1024, "estimateMs": 1000, "image": "index",
            "longRunning": true, "fills": true, "mayMiss": MAY_MISS}],
    });
    let at_work = |cell: &Cell| cell.runners.iter().map(|r| r.at_work(FILLING)).sum::<usize>();
    let is_accepted = cell.submit(0, SERVES, &serves) && {
        thread::sleep(Duration::from_secs(3));
        cell.submit(1, FILLING, &fills)
    };
    thread::sleep(Duration::from_secs(10));
    let before = at_work(&cell);
    record.note(&format!("{before} of {FILLS} tasks that fill are at work"));
    if !is_accepted || before != FILLS as usize {
        cell.stop();
        crate::cell::give_up("the jobs are not at work");
    }
    record.note("the burst begins");
    if has_trouble {
        cell.runners.iter().for_each(|runner| runner.load.store(BURST, Ordering::SeqCst));
    }
    let began = record.elapsed_s();
    let until = Instant::now() + BURST_LENGTH;
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(250));
        record.note(&format!("{} at work", at_work(&cell)));
    }
    cell.runners.iter().for_each(|runner| runner.load.store(1000, Ordering::SeqCst));
    record.note("the burst ends");
    thread::sleep(Duration::from_secs(8));
    record.note(&format!("{} at work", at_work(&cell)));
    cell.finish();
    // AVAIL: a stop ends a task at work while MAY_MISS others are away, ended by such orders and
    // not started again. A task that was stopped before it was at work doesn't count.
    let mut started: BTreeMap<String, f64> = BTreeMap::new();
    let mut away: BTreeSet<String> = BTreeSet::new();
    let (mut stops, mut beyond, mut most) = (0, 0, 0);
    for (at, task, how) in record.events(FILLING) {
        if how == "starts" {
            away.remove(&task);
            started.insert(task, at);
            continue;
        }
        let was_at_work = started.get(&task).is_some_and(|from| at - from >= STARTUP.as_secs_f64());
        if how == "stopped" && at >= began && was_at_work {
            stops += 1;
            beyond += u32::from(away.len() >= MAY_MISS as usize);
            away.insert(task);
            most = most.max(away.len());
        }
    }
    record.note(&format!(
        "{stops} stops of tasks at work since the burst began, {beyond} of them with {MAY_MISS} others away or more; \
         {most} away at most"
    ));
    beyond > 0
}
