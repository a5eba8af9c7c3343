//! A job whose tasks start together, after jobs that can never be done.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{cell::Cell, record::Record};

const RUNNERS: usize = 12;
/// Jobs that come within 3 s, of which `HOPELESS` can never be done: a share of 0.05.
const JOBS: usize = 60;
const HOPELESS: usize = 3;
/// Tasks of such a job. Each fails after 2 s.
const HOPELESS_TASKS: u32 = 12;
/// Time after these jobs in which nothing comes.
const CALM: Duration = Duration::from_secs(12);
/// `finish_s` of the site.
const FINISH: Duration = Duration::from_secs(14);
/// Time of the rule in which nothing runs.
const IDLE: Duration = Duration::from_secs(3);
const LONGEST_WAIT: Duration = Duration::from_secs(30);
const GANG: &str = "5c0e7a21d94b36f8";
const MEMBERS: u32 = 16;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut cell = Cell::start(Arc::clone(record), 3, RUNNERS, (16_000, 65_536), 0, 2);
    thread::sleep(Duration::from_secs(4));
    let job = |spec: &str, count: u32, is_gang: bool| {
        json!({"spec": spec, "steps": [{"count": count, "cpu": 1_000, "memMb": 1024, "estimateMs": 1000, "gang": is_gang,
            "antiAffinity": if spec.starts_with("fails") { 1 } else { 0 }}]})
    };
    let began = Instant::now();
    for number in 0..JOBS {
        let is_hopeless = has_trouble && number >= JOBS - HOPELESS;
        let (spec, count) =
            if is_hopeless { ("fails 2000 2000", HOPELESS_TASKS) } else { ("500", 2) };
        cell.submit(number, &format!("{number:016x}"), &job(spec, count, false));
        thread::sleep(
            (Duration::from_millis(50) * (number as u32 + 1)).saturating_sub(began.elapsed()),
        );
    }
    thread::sleep(CALM);
    let states: Vec<String> = (0..JOBS)
        .map(|number| {
            cell.state(number, &format!("{number:016x}"))
                .map(|(_, state)| state)
                .unwrap_or_default()
        })
        .collect();
    let count = |state: &str| states.iter().filter(|known| *known == state).count();
    record.note(&format!(
        "of {JOBS} jobs {} are complete, {} failed",
        count("complete"),
        count("failed")
    ));
    if !cell.submit(0, GANG, &job("1000", MEMBERS, true)) {
        cell.stop();
        crate::cell::give_up("the gang was not accepted");
    }
    let accepted = Instant::now();
    let mut since = None;
    let mut idle = Duration::ZERO;
    let mut shown = String::new();
    let is_done = || record.of_job(GANG).iter().any(|task| task.done > 0);
    while accepted.elapsed() < LONGEST_WAIT && !is_done() {
        thread::sleep(Duration::from_millis(50));
        let busy: usize = cell.runners.iter().map(|runner| runner.running().len()).sum();
        if busy > 0 || accepted.elapsed() < FINISH {
            since = None;
        } else {
            idle = idle.max(since.get_or_insert_with(Instant::now).elapsed());
        }
        if let Some((status, state)) = cell.state(1, GANG)
            && state != shown
        {
            record.note(&format!("GET {GANG}: {status} {state}"));
            shown = state;
        }
    }
    cell.finish();
    record.note(&format!(
        "{GANG} was shown as {shown}; from 14 s after the traffic on, it waited {:.1} s at a stretch \
         beside empty runners, and {} of its tasks had started",
        idle.as_secs_f64(),
        record.of_job(GANG).len()
    ));
    // LOST: `finish_s` after the end of the traffic, for 3 s, the job has nothing running while its
    // turn has come, and all runners are empty.
    idle >= IDLE
}
