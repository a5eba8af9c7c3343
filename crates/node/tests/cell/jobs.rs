//! Jobs of callers: acceptance, failure, cancellation, refusal.

use std::time::Duration;

use base::{Failure, Remedy};
use googletest::prelude::*;
use standin::cell::targets;
use work::{JobState, Step};

use crate::common::{Cell, step, wait_until};

#[gtest]
fn jobs_run_once_regardless_of_the_accepting_node() {
    let cell = Cell::start(3, 4);
    for (number, node) in cell.nodes.iter().enumerate() {
        let second = Step { after: [0].into_iter().collect(), ..step(2) };
        let gang = Step { gang: true, ..step(4) };
        expect_that!(node.submit(&format!("batch-{number}"), "work:50", step(5)), ok(eq(&())));
        let steps = vec![gang, second];
        expect_that!(node.submit_steps(&format!("gang-{number}"), "work:50", steps), ok(eq(&())));
        // A repeated submission is accepted as the first job.
        expect_that!(node.submit(&format!("batch-{number}"), "work:50", step(5)), ok(eq(&())));
    }
    for number in 0..3 {
        cell.wait_for_state((number + 1) % 3, &format!("batch-{number}"), JobState::Complete);
        cell.wait_for_state(number, &format!("gang-{number}"), JobState::Complete);
        expect_that!(cell.world.targets.starts(&format!("batch-{number}")), eq(5));
    }
    expect_that!(cell.world.targets.violations(), is_empty());
}

#[gtest]
fn job_too_large_to_be_stored_is_refused_as_invalid() {
    // Its write failed, which had the node take the store for failing.
    const STEPS: usize = 6000;
    let cell = Cell::start(1, 1);
    let refused = cell.nodes[0].submit_steps("large", "work:10", vec![step(1); STEPS]);
    expect_that!(refused, err(field!(Failure.remedy, eq(&Remedy::Fix))));
    expect_that!(cell.world.store.value("skylarkspan/in/large"), none());
    expect_that!(cell.nodes[0].state("large"), ok(eq(&None)));
    expect_that!(cell.nodes[0].submit("small", "work:10", step(1)), ok(eq(&())));
    cell.wait_for_state(0, "small", JobState::Complete);
}

#[gtest]
fn job_at_its_failure_limit_is_failed_on_every_node() {
    let cell = Cell::start(2, 2);
    expect_that!(cell.nodes[0].submit("job", targets::FAILING_PAYLOAD, step(1)), ok(eq(&())));
    cell.wait_for_state(0, "job", JobState::Failed);
    cell.wait_for_state(1, "job", JobState::Failed);
    expect_that!(cell.world.targets.starts("job"), eq(3));
}

#[gtest]
fn cancelled_job_stops_and_stays_cancelled() {
    let cell = Cell::start(2, 1);
    expect_that!(cell.nodes[0].submit("job", "work:60000", step(20)), ok(eq(&())));
    wait_until("a running job", || cell.world.targets.running("job") == 8);
    expect_that!(cell.nodes[1].cancel("job"), ok(eq(&true)));
    expect_that!(cell.nodes[1].state("job"), ok(eq(&Some(JobState::Cancelled))));
    wait_until("an empty target", || cell.world.targets.running("job") == 0);
    std::thread::sleep(Duration::from_millis(500));
    expect_that!(cell.world.targets.running("job"), eq(0));
    expect_that!(cell.nodes[0].cancel("unknown"), ok(eq(&false)));
    expect_that!(cell.nodes[0].state("unknown"), ok(eq(&None)));
}

#[gtest]
fn overloaded_queue_refuses_with_a_retry_delay() {
    /// Longest time until all instances refuse: the leader knows all instances
    /// after 3 s, and sends them the state of the queues every 0.7 s.
    const MAX_REFUSAL_DELAY: Duration = Duration::from_millis(4200);
    let cell = Cell::start(2, 1);
    // Eight of these tasks run at a time.
    let long = Step { estimate_ms: 4000, ..step(1) };
    for number in 0..150 {
        let id = format!("job-{number}");
        expect_that!(cell.nodes[1].submit(&id, "work:500", long.clone()), ok(eq(&())));
    }
    std::thread::sleep(MAX_REFUSAL_DELAY);
    let refused = cell.nodes[0].submit("refused", "work:500", long.clone());
    let failure = refused.expect_err("the overloaded queue should refuse the job");
    expect_true!(failure.is_not_run());
    let has_retry_delay = matches!(failure.remedy, base::Remedy::Retry(after) if !after.is_zero());
    expect_true!(has_retry_delay);
    // In the scenario trouble-3 of the grown sites, the last attempt of a client,
    // with little time left, was recorded although its queue refused jobs.
    for (id, time_left_ms) in [("little", 150), ("none", 0)] {
        let time_left = Duration::from_millis(time_left_ms);
        let step = long.clone();
        expect_that!(
            cell.nodes[0].submit_with_timeout(id, "work:500", step, time_left),
            err(anything())
        );
        expect_that!(cell.world.store.value(&format!("skylarkspan/in/{id}")), none());
    }
    // A repeated submission of an accepted job is still accepted, and the job
    // completes.
    expect_that!(cell.nodes[0].submit("job-149", "work:500", long.clone()), ok(eq(&())));
    cell.wait_for_state(0, "job-149", JobState::Complete);
    for id in ["refused", "little", "none"] {
        expect_that!(cell.world.targets.starts(id), eq(0), "{id}");
    }
    wait_until("an accepting queue", || {
        cell.nodes[0].submit("refused", "work:10", step(1)).is_ok()
    });
    cell.wait_for_state(1, "refused", JobState::Complete);
}

#[gtest]
fn malformed_job_is_refused_and_counted() {
    let cell = Cell::start(1, 1);
    let too_many = vec![step(u32::MAX), step(u32::MAX)];
    for steps in [Vec::new(), vec![step(0)], too_many] {
        let refused = cell.nodes[0].submit_steps("job", "work:10", steps);
        expect_that!(refused.map_err(|failure| failure.remedy), err(eq(base::Remedy::Fix)));
    }
    let metrics = cell.nodes[0].metrics();
    expect_that!(
        metrics,
        contains_substring(r#"requests_total{kind="submit",outcome="refused"} 3"#)
    );
}
