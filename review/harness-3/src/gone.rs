//! A job whose client leaves before the answer and cancels it, while the store does a write late.

use std::{sync::Arc, thread, time::Duration};

use serde_json::json;

use crate::{
    cell::{Cell, PREFIX},
    record::Record,
};

const JOB: &str = "5c0e7a21d94b36f8";
/// Time after which the client leaves: half of an objective of 500 ms, and a little more.
const LEAVES_AFTER: Duration = Duration::from_millis(300);
/// Time after which the store does the write that it has not answered; 1 to 6 s.
const LATE: Duration = Duration::from_millis(5800);
/// Bound on starts after an acknowledged cancel, `cancel_ms`.
const CANCEL_S: f64 = 3.0;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let mut cell = Cell::start(Arc::clone(record), 3, 12, (16_000, 65_536), 0, 3);
    thread::sleep(Duration::from_secs(4));
    let leader = cell.leader().map_or(0, |(_, node)| node);
    record.note(&format!("node {leader} leads"));
    let (first, second) = ((leader + 1) % 3, (leader + 2) % 3);
    if has_trouble {
        cell.store.lose_next("skylarkspan/in/", LATE);
    }
    let body = json!({
        "spec": "2000",
        "steps": [{"count": 2, "cpu": 1_000, "memMb": 1024, "estimateMs": 2000}],
    });
    let path = format!("{PREFIX}{JOB}");
    let answer = cell.call_for(first, "POST", &path, Some(&body), LEAVES_AFTER);
    let status = answer.map(|(status, _)| status);
    record.note(&format!("POST {JOB} at node {first}, for {LEAVES_AFTER:?}: {status:?}"));
    if has_trouble && cell.store.is_losing() {
        cell.stop();
        crate::cell::give_up("no write was lost");
    }
    let mut acknowledged = None;
    for attempt in 0..5 {
        let answer = cell.call(second, "DELETE", &path, None).map(|(status, _)| status);
        record.note(&format!("DELETE {JOB} at node {second}: {answer:?}"));
        if matches!(answer, Some(200 | 410)) {
            acknowledged = Some(record.elapsed_s());
            break;
        }
        thread::sleep(Duration::from_millis(500 * (attempt + 1)));
    }
    let Some(acknowledged) = acknowledged else {
        cell.stop();
        crate::cell::give_up("the cancel was not acknowledged");
    };
    for _ in 0..24 {
        thread::sleep(Duration::from_millis(500));
        let state = cell.state(second, JOB);
        record.note(&format!("GET {JOB}: {state:?}"));
    }
    cell.finish();
    let starts = record.events(JOB).into_iter().filter(|(_, _, how)| how == "starts");
    let late: Vec<f64> =
        starts.map(|(at, ..)| at - acknowledged).filter(|s| *s > CANCEL_S).collect();
    record
        .note(&format!("starts later than cancel_ms after the acknowledged cancel: {late:.1?} s"));
    !late.is_empty()
}
