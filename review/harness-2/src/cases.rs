//! The cases. Each returns whether the rule was broken; `None` if the case could
//! not run.

use std::{
    collections::HashMap,
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{cell::Cell, record::Record, runner::Seen};

/// Time from the last run of a task that lasts after which it has to run again,
/// and for which it may then be without a run (RULES.md, LOST).
const LASTING_GRACE: Duration = Duration::from_millis(6000 + 3000);

fn wait_until(limit: Duration, mut is_met: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if is_met() {
            return true;
        }
        sleep(Duration::from_millis(50));
    }
    false
}

/// Returns for each task the longest time without a run between `since` and
/// now, counted from the end of its last run.
fn longest_gaps(seen: &[Seen], since: Instant) -> HashMap<String, Duration> {
    let mut ended: HashMap<String, Instant> = HashMap::new();
    let mut gaps: HashMap<String, Duration> = HashMap::new();
    for event in seen {
        if event.end.is_some() {
            ended.insert(event.task.clone(), event.at);
        } else if let Some(at) = ended.remove(&event.task) {
            if event.at >= since {
                let gap = gaps.entry(event.task.clone()).or_default();
                *gap = (*gap).max(event.at.saturating_duration_since(at.max(since)));
            }
        }
    }
    for (task, at) in ended {
        let gap = gaps.entry(task).or_default();
        *gap = (*gap).max(at.max(since).elapsed());
    }
    gaps
}

fn judge_lasting(cell: &Cell, record: &Record, since: Instant) -> bool {
    let seen = cell.seen.lock().unwrap().clone();
    let mut gaps: Vec<_> = longest_gaps(&seen, since).into_iter().collect();
    gaps.sort();
    let mut broken = 0;
    for (task, gap) in gaps {
        let is_broken = gap > LASTING_GRACE;
        broken += u32::from(is_broken);
        record.line(&format!("{task}: longest time without a run {:.1} s{}", gap.as_secs_f64(), if is_broken { ", LOST" } else { "" }));
    }
    record.line(&format!("{broken} tasks that last had no run for over {:.0} s", LASTING_GRACE.as_secs_f64()));
    broken > 0
}

/// All tasks of six services, which have one task a runner, fail once.
pub fn failing(record: &Arc<Record>, trouble: bool) -> Option<bool> {
    const RUNNERS: usize = 8;
    const JOBS: usize = 6;
    const TASKS: usize = 6;
    let cell = Cell::start(RUNNERS, Arc::clone(record))?;
    let step = format!(r#"{{"count":{TASKS},"cpu":1000,"memMb":500,"antiAffinity":1,"longRunning":true}}"#);
    for job in 0..JOBS {
        if !cell.submit(&format!("{job:016x}"), "serve", &step) {
            return None;
        }
    }
    let tasks: Vec<String> =
        (0..JOBS).flat_map(|job| (0..TASKS).map(move |index| format!("{job:016x}.0.0.{index}"))).collect();
    let all_run = |cell: &Cell| tasks.iter().all(|task| cell.runner_of(task).is_some());
    if !wait_until(Duration::from_secs(15), || all_run(&cell)) {
        return None;
    }
    record.line("all tasks run");
    sleep(Duration::from_secs(8));
    let since = Instant::now();
    if trouble {
        record.line("all tasks fail once");
        for task in &tasks {
            if let Some(index) = cell.runner_of(task) {
                cell.runners[index].fail_task(task);
            }
        }
    }
    sleep(Duration::from_secs(50));
    Some(judge_lasting(&cell, record, since))
}

/// Runners crash one at a time, each for a second: in turn the one with the task
/// of a batch job and the one with the first task of a job that lasts.
pub fn crashes(record: &Arc<Record>, trouble: bool) -> Option<bool> {
    const RUNNERS: usize = 8;
    const ROUNDS: usize = 3;
    const PAUSE: Duration = Duration::from_millis(7000);
    let cell = Cell::start(RUNNERS, Arc::clone(record))?;
    let (batch, lasting) = ("00000000000000ba", "00000000000000fe");
    if !cell.submit(lasting, "serve", r#"{"count":3,"cpu":1000,"memMb":500,"antiAffinity":1,"longRunning":true}"#)
        || !cell.submit(batch, "run 25000", r#"{"count":1,"cpu":4000,"memMb":1000,"estimateMs":25000}"#)
    {
        return None;
    }
    let first_tasks = [format!("{batch}.0.0.0"), format!("{lasting}.0.0.0")];
    let mut failed: Vec<&str> = Vec::new();
    let mut look = |cell: &Cell| {
        for job in [batch, lasting] {
            if !failed.contains(&job) && cell.state(job) == "failed" {
                record.line(&format!("client sees failed for job {job}"));
                failed.push(job);
            }
        }
        failed.len()
    };
    for task in first_tasks.iter().cycle().take(ROUNDS * first_tasks.len()) {
        sleep(PAUSE);
        look(&cell);
        if let Some(index) = cell.runner_of(task).filter(|_| trouble) {
            cell.runners[index].crash();
            sleep(Duration::from_millis(1000));
            cell.runners[index].restart();
        }
    }
    record.line("no more crashes");
    wait_until(Duration::from_secs(40), || look(&cell) == 2 || cell.state(batch) == "complete");
    let failed_ends = cell.seen.lock().unwrap().iter().filter(|seen| seen.end == Some("failed")).count();
    let shown = look(&cell);
    record.line(&format!("jobs shown as failed: {shown}; runs that ended failed: {failed_ends}"));
    record.line(&format!("state of the batch job: {}; of the lasting one: {}", cell.state(batch), cell.state(lasting)));
    Some(shown > 0 && failed_ends == 0)
}

/// A runner with a task that serves is lost, and all free runners have backfill.
pub fn backfill(record: &Arc<Record>, trouble: bool) -> Option<bool> {
    const RUNNERS: usize = 8;
    let cell = Cell::start(RUNNERS, Arc::clone(record))?;
    let (service, filler) = ("00000000000000aa", "00000000000000ff");
    let serving = r#"{"count":4,"cpu":1000,"memMb":500,"antiAffinity":1,"longRunning":true,"image":"web","goalMs":200}"#;
    let filling = r#"{"count":4,"cpu":1000,"memMb":500,"antiAffinity":1,"longRunning":true,"image":"fold","fills":true}"#;
    if !cell.submit(service, "serve", serving) {
        return None;
    }
    let run = |job: &str| (0..4).all(|index| cell.runner_of(&format!("{job}.0.0.{index}")).is_some());
    if !wait_until(Duration::from_secs(10), || run(service)) || !cell.submit(filler, "serve", filling) {
        return None;
    }
    if !wait_until(Duration::from_secs(10), || run(filler)) {
        return None;
    }
    record.line("all tasks run");
    sleep(Duration::from_secs(5));
    let since = Instant::now();
    if trouble {
        let index = cell.runner_of(&format!("{service}.0.0.0"))?;
        cell.runners[index].crash();
    }
    sleep(Duration::from_secs(45));
    Some(judge_lasting(&cell, record, since))
}

/// A job with a task on each runner takes 20 times as long as estimated; then a
/// task of a service fails once.
pub fn estimates(record: &Arc<Record>, trouble: bool) -> Option<bool> {
    const RUNNERS: usize = 4;
    const ESTIMATE_MS: u64 = 1000;
    const TIMES: u64 = 20;
    let work_ms = ESTIMATE_MS * if trouble { TIMES } else { 1 };
    let cell = Cell::start(RUNNERS, Arc::clone(record))?;
    let service = "00000000000000aa";
    if !cell.submit(service, "serve", r#"{"count":2,"cpu":1000,"memMb":500,"antiAffinity":1,"longRunning":true}"#) {
        return None;
    }
    // Jobs that take as long as estimated.
    for job in 0..40 {
        let step = format!(r#"{{"count":4,"cpu":1000,"memMb":500,"estimateMs":{ESTIMATE_MS}}}"#);
        if !cell.submit(&format!("{:016x}", 0x1000 + job), &format!("run {ESTIMATE_MS}"), &step) {
            return None;
        }
        sleep(Duration::from_millis(250));
    }
    sleep(Duration::from_secs(10));
    let since = Instant::now();
    let step = format!(r#"{{"count":{RUNNERS},"cpu":1000,"memMb":500,"antiAffinity":1,"estimateMs":{ESTIMATE_MS}}}"#);
    if !cell.submit("00000000000000bb", &format!("run {work_ms}"), &step) {
        return None;
    }
    sleep(Duration::from_millis(2500));
    let task = format!("{service}.0.0.0");
    let index = cell.runner_of(&task)?;
    cell.runners[index].fail_task(&task);
    sleep(Duration::from_secs(35));
    cell.seen.lock().unwrap().retain(|seen| seen.task.starts_with(service));
    Some(judge_lasting(&cell, record, since))
}

/// A client hands in a job with more tasks than can ever be done, and then a
/// common one.
pub fn too_many(record: &Arc<Record>, trouble: bool) -> Option<bool> {
    let mut cell = Cell::start(4, Arc::clone(record))?;
    let step = |count: u64| format!(r#"{{"count":{count},"cpu":1000,"memMb":500,"estimateMs":1000}}"#);
    // With TROUBLE=0 one task less, so that the product is below 2^64.
    let steps = [step(u64::from(u32::MAX)), step(u64::from(u32::MAX)), step(if trouble { 2 } else { 1 })];
    let body = format!(r#"{{"spec":"run 1000","steps":[{}],"times":2147483648,"startAtMs":0,"intervalMs":0}}"#, steps.join(","));
    cell.submit_body("00000000000000dd", &body);
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(10) {
        sleep(Duration::from_millis(100));
        cell.restart_ended();
    }
    let job = "00000000000000bb";
    if !cell.submit(job, "run 1000", &step(2)) {
        return None;
    }
    let mut exits = Vec::new();
    let has_run = wait_until(Duration::from_secs(20), || {
        exits = cell.restart_ended();
        cell.seen.lock().unwrap().iter().any(|seen| seen.task.starts_with(job))
    });
    sleep(Duration::from_secs(2));
    record.line(&format!("the nodes have ended by themselves this many times: {exits:?}"));
    record.line(&format!("the common job has begun: {has_run}; its state: {}", cell.state(job)));
    Some(!has_run)
}
