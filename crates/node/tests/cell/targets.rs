//! Faults of targets.

use std::time::{Duration, Instant};

use base::Name;
use googletest::prelude::*;
use standin::cell::targets;
use work::{JobState, Step};

use crate::common::{Cell, TASK_SIZE, step, wait_until};

/// Returns the name of a target.
fn target(number: u32) -> Name {
    Name::from(format!("target-{number}"))
}

#[gtest]
fn delayed_starts_run_nothing_twice() {
    let cell = Cell::start(2, 3);
    cell.world
        .targets
        .set_fault(&target(0), targets::Fault::LateStarts(Duration::from_millis(2500)));
    for number in 0..4 {
        let id = format!("job-{number}");
        expect_that!(cell.nodes[0].submit(&id, "work:300", step(6)), ok(eq(&())));
    }
    for number in 0..4 {
        cell.wait_for_state(0, &format!("job-{number}"), JobState::Complete);
    }
    std::thread::sleep(Duration::from_millis(2600));
    expect_that!(cell.world.targets.violations(), is_empty());
}

#[gtest]
fn runs_continue_when_start_answers_are_lost() {
    let cell = Cell::start(2, 1);
    cell.world.targets.set_fault(&target(0), targets::Fault::LosingStartAnswers);
    expect_that!(cell.nodes[0].submit("job", "work:1500", step(4)), ok(eq(&())));
    cell.wait_for_state(0, "job", JobState::Complete);
    expect_that!(cell.world.targets.starts("job"), eq(4));
    expect_that!(cell.world.targets.violations(), is_empty());
}

#[gtest]
fn runs_of_an_unreachable_target_restart_elsewhere_after_their_leases_lapse() {
    let cell = Cell::start(2, 2);
    expect_that!(cell.nodes[0].submit("job", "work:60000", step(4)), ok(eq(&())));
    wait_until("a running job", || cell.world.targets.running("job") == 4);
    let starts = cell.world.targets.starts("job");
    cell.world.targets.set_fault(&target(0), targets::Fault::Silent);
    cell.world.targets.set_fault(&target(1), targets::Fault::Silent);
    std::thread::sleep(Duration::from_secs(2));
    cell.world.targets.set_fault(&target(1), targets::Fault::None);
    wait_until("runs on another target", || cell.world.targets.running("job") == 4);
    wait_until("other runs", || {
        cell.world.targets.starts("job") > starts || cell.world.targets.running("job") == 4
    });
    std::thread::sleep(Duration::from_secs(8));
    wait_until("runs on another target", || cell.world.targets.running("job") == 4);
    expect_that!(cell.world.targets.violations(), is_empty());
}

#[gtest]
fn lease_granted_by_an_unanswered_renewal_keeps_the_room_of_its_runs() {
    let cell = Cell::start(1, 1);
    let long_step = Step { estimate_ms: 20_000, ..step(8) };
    expect_that!(cell.nodes[0].submit("job", "work:20000", long_step), ok(eq(&())));
    wait_until("a full target", || cell.world.targets.running("job") == 8);
    expect_that!(cell.nodes[0].submit("next", "work:10", step(8)), ok(eq(&())));
    // The answer to the renewal after the silence comes when the earlier lease is over.
    let requests = cell.world.targets.listing_requests();
    wait_until("a renewal", || cell.world.targets.listing_requests() > requests);
    cell.world.targets.set_fault(&target(0), targets::Fault::Silent);
    std::thread::sleep(Duration::from_millis(5200));
    cell.world.targets.set_fault(&target(0), targets::Fault::None);
    std::thread::sleep(Duration::from_millis(2500));
    expect_that!(cell.world.targets.running("job"), eq(8));
    expect_that!(cell.world.targets.starts("next"), eq(0));
    expect_that!(cell.world.targets.violations(), is_empty());
}

#[gtest]
fn runs_of_a_restarted_target_are_started_again() {
    let cell = Cell::start(2, 1);
    expect_that!(cell.nodes[0].submit("job", "work:500", step(3)), ok(eq(&())));
    wait_until("a running job", || cell.world.targets.running("job") == 3);
    cell.world.targets.restart(&target(0));
    cell.wait_for_state(0, "job", JobState::Complete);
    expect_that!(cell.world.targets.starts("job"), eq(6));
    expect_that!(cell.world.targets.violations(), is_empty());
}

#[gtest]
fn request_rate_to_idle_targets_is_bounded_whatever_their_number() {
    /// Highest rate of requests to idle targets, independent of their number.
    const MAX_REQUESTS_PER_S: u32 = 400;
    const DURATION_S: u32 = 6;
    let cell = Cell::start(1, 1200);
    // All targets are listed once when the term begins.
    std::thread::sleep(Duration::from_secs(3));
    let before = cell.world.targets.listing_requests();
    std::thread::sleep(Duration::from_secs(u64::from(DURATION_S)));
    let requests = cell.world.targets.listing_requests() - before;
    expect_that!(requests, le(DURATION_S * MAX_REQUESTS_PER_S));
    // Starts on idle targets are still noticed at once.
    let started_at = Instant::now();
    expect_that!(cell.nodes[0].submit("job", "work:300", step(20)), ok(eq(&())));
    cell.wait_for_state(0, "job", JobState::Complete);
    expect_that!(started_at.elapsed(), lt(Duration::from_millis(1500)));
    expect_that!(cell.world.targets.violations(), is_empty());
}

#[gtest]
fn job_on_a_target_that_returns_to_the_list_is_not_lost() {
    let cell = Cell::start(1, 1);
    // The session of an unlisted target ends while its last request still waits.
    for round in 0..5 {
        cell.world.unlist_target(&target(0));
        std::thread::sleep(Duration::from_millis(700));
        let id = format!("job-{round}");
        expect_that!(cell.nodes[0].submit(&id, "work:10", step(4)), ok(eq(&())));
        std::thread::sleep(Duration::from_millis(100 * round));
        cell.world.republish_target(0);
        cell.wait_for_state(0, &id, JobState::Complete);
    }
    expect_that!(cell.world.targets.violations(), is_empty());
}

#[gtest]
fn task_that_crashes_its_targets_is_given_up() {
    /// Most starts: three targets may crash, and two starts more are tolerated.
    const MAX_STARTS: u32 = 5;
    let mut cell = Cell::start(3, 8);
    let payload = targets::CRASHING_PAYLOAD;
    expect_that!(cell.nodes[0].submit("deadly", payload, step(1)), ok(eq(&())));
    wait_until("a crash", || cell.world.targets.starts("deadly") > 0);
    let leader = cell.leader();
    cell.nodes[leader].kill();
    let survivor = (leader + 1) % cell.nodes.len();
    cell.wait_for_state(survivor, "deadly", JobState::Failed);
    expect_that!(cell.world.targets.starts("deadly"), le(MAX_STARTS));
    expect_that!(cell.nodes[survivor].submit("job", "work:10", step(64)), ok(eq(&())));
    cell.wait_for_state(survivor, "job", JobState::Complete);
    expect_that!(cell.world.targets.violations(), is_empty());
}

#[gtest]
fn crash_counts_if_the_target_comes_back_under_another_id() {
    const MAX_CRASHES: u32 = 3;
    let cell = Cell::start(1, 1);
    expect_that!(cell.nodes[0].submit("job", "work:60000", step(1)), ok(eq(&())));
    let mut current = target(0);
    for crash in 1..=MAX_CRASHES {
        wait_until("a run", || cell.world.targets.runs_on(&current) == 1);
        let next = Name::from(format!("again-{crash}"));
        cell.world.replace_target(&current, &next, TASK_SIZE, 8);
        current = next;
    }
    cell.wait_for_state(0, "job", JobState::Failed);
}
