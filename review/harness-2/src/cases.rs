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

/// All nodes are killed; meanwhile a runner crashes, starts again under its id and
/// is lost for good.
pub fn takeover(record: &Arc<Record>, trouble: bool) -> Option<bool> {
    const RUNNERS: usize = 8;
    const JOBS: usize = 4;
    /// Time after the end of the traffic at which jobs are asked for (`finish_s`).
    const FINISH: Duration = Duration::from_secs(14);
    /// Time for which a job may have nothing running then.
    const PAUSE: Duration = Duration::from_secs(3);
    let mut cell = Cell::start(RUNNERS, Arc::clone(record))?;
    let service = "00000000000000aa";
    if !cell.submit(service, "serve", r#"{"count":4,"cpu":1000,"memMb":500,"antiAffinity":1,"longRunning":true}"#) {
        return None;
    }
    sleep(Duration::from_secs(6));
    let step = r#"{"count":2,"cpu":1000,"memMb":500,"estimateMs":4000}"#;
    let next = r#"{"count":2,"cpu":1000,"memMb":500,"estimateMs":4000,"after":[0]}"#;
    let jobs: Vec<String> = (0..JOBS).map(|job| format!("{:016x}", 0xb0 + job)).collect();
    for job in &jobs {
        if !cell.submit(job, "run 4000", &format!("{step},{next}")) {
            return None;
        }
    }
    record.line("end of the traffic");
    let ended = Instant::now();
    sleep(Duration::from_millis(500));
    // A runner without tasks of these jobs.
    let busy: Vec<usize> = jobs
        .iter()
        .flat_map(|job| (0..2).filter_map(|index| cell.runner_of(&format!("{job}.0.0.{index}"))).collect::<Vec<_>>())
        .collect();
    let lost = (0..RUNNERS).rev().find(|index| !busy.contains(index))?;
    if trouble {
        cell.kill_nodes();
        sleep(Duration::from_millis(300));
        cell.runners[lost].crash();
        sleep(Duration::from_millis(1000));
        cell.runners[lost].restart();
        sleep(Duration::from_millis(500));
        cell.runners[lost].crash();
        sleep(Duration::from_millis(200));
        cell.start_nodes();
    }
    sleep((FINISH + PAUSE).saturating_sub(ended.elapsed()));
    let seen = cell.seen.lock().unwrap().clone();
    let mut broken = 0;
    for job in &jobs {
        // The first step has ended long ago, so it is the turn of the second.
        let events: Vec<&Seen> = seen.iter().filter(|event| event.task.starts_with(job.as_str())).collect();
        let first_done = events.iter().filter(|event| event.task.contains(".0.0.") && event.end == Some("done")).count();
        let is_recent = events.iter().any(|event| event.at >= ended + FINISH);
        let runs = events.iter().filter(|event| event.end.is_none()).count() - events.iter().filter(|event| event.end.is_some()).count();
        let state = cell.state(job);
        let is_broken = state != "complete" && first_done >= 2 && runs == 0 && !is_recent;
        broken += u32::from(is_broken);
        record.line(&format!("job {job}: {state}, {first_done} of 2 tasks of the first step done, {runs} runs now{}", if is_broken { ", LOST" } else { "" }));
    }
    sleep(Duration::from_secs(14));
    let complete = jobs.iter().filter(|job| cell.state(job) == "complete").count();
    record.line(&format!("{broken} jobs had nothing running; complete {:.0} s after the end of the traffic: {complete}", ended.elapsed().as_secs_f64()));
    Some(broken > 0)
}

/// A start gets no answer and is late; its runner crashes and starts again under
/// its id before the start arrives.
pub fn late_start(record: &Arc<Record>, trouble: bool) -> Option<bool> {
    const RUNNERS: usize = 8;
    let cell = Cell::start(RUNNERS, Arc::clone(record))?;
    sleep(Duration::from_secs(10));
    cell.runners.iter().for_each(|runner| runner.delay_next_start(trouble));
    let job = "00000000000000ba";
    if !cell.submit(job, "run 12000", r#"{"count":1,"cpu":4000,"memMb":1000,"estimateMs":12000}"#) {
        return None;
    }
    if trouble {
        if !wait_until(Duration::from_secs(3), || cell.runners.iter().any(|runner| runner.has_delayed())) {
            return None;
        }
        cell.runners.iter().for_each(|runner| runner.delay_next_start(false));
        sleep(Duration::from_millis(2500));
        let runner = cell.runners.iter().find(|runner| runner.has_delayed())?;
        runner.crash();
        sleep(Duration::from_millis(500));
        runner.restart();
    }
    if !wait_until(Duration::from_secs(30), || cell.state(job) == "complete") {
        return None;
    }
    // Two runs at the same time.
    let mut running: HashMap<String, Instant> = HashMap::new();
    let mut is_broken = false;
    for event in cell.seen.lock().unwrap().iter() {
        let key = format!("{} on runner {}", event.task, event.runner);
        if event.end.is_some() {
            running.remove(&key);
            continue;
        }
        for other in running.keys().filter(|other| other.starts_with(&event.task)) {
            record.line(&format!("TWICE: {key} begins beside {other}"));
            is_broken = true;
        }
        running.insert(key, event.at);
    }
    Some(is_broken)
}
