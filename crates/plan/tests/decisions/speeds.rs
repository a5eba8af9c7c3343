//! Usual speeds of targets and what follows from them.

use std::time::Duration;

use base::Name;
use googletest::prelude::*;
use plan::{QueueBaseline, SpeedRecord, StartAnswer, TargetSpeed};
use work::End;

use crate::cell::{Cell, QUEUE, step};

/// Number of tasks that fill two targets.
const ALL_SLOTS: u32 = 16;

/// Estimate of a task.
const ESTIMATE: Duration = Duration::from_secs(1);

const TARGETS: [&str; 2] = ["target-0", "target-1"];

/// Fills two targets several times. The runs on `fast` take `percent.0` of their
/// estimate, those on the other target `percent.1`.
fn run_everywhere(cell: &mut Cell, fast: &str, percent: (u32, u32)) {
    for round in 0..6 {
        for target in TARGETS {
            cell.list_nothing(target);
        }
        cell.accept(&format!("{fast}-{round}-{:?}", cell.now), vec![step(ALL_SLOTS)]);
        let starts = cell.decide_starts();
        assert_that!(starts.len(), eq(ALL_SLOTS as usize));
        cell.answer_starts(&starts, &StartAnswer::Started);
        cell.advance(ESTIMATE * percent.0 / 100);
        for start in starts.iter().filter(|start| &*start.target == fast) {
            cell.end_run(start, End::Done);
        }
        cell.advance(ESTIMATE * (percent.1 - percent.0) / 100);
        for start in starts.iter().filter(|start| &*start.target != fast) {
            cell.end_run(start, End::Done);
        }
        cell.record();
    }
}

/// Returns the targets of a job that has little time left.
fn targets_of_tight_job(cell: &mut Cell, id: &str) -> Vec<String> {
    cell.accept(id, vec![step(4)]);
    cell.advance(Duration::from_secs(1));
    for target in TARGETS {
        cell.list_nothing(target);
    }
    cell.decide_starts().iter().map(|start| start.target.to_string()).collect()
}

#[gtest]
fn takeover_keeps_the_usual_speeds() {
    // The new leader chose targets as if all had the same speed, so that jobs with
    // little time left were late by their run time on slow targets.
    for fast in TARGETS {
        let mut cell = Cell::new(2);
        run_everywhere(&mut cell, fast, (62, 160));
        let mut next = cell.take_over();
        let targets = targets_of_tight_job(&mut next, "tight");
        expect_that!(targets, elements_are![eq(fast), eq(fast), eq(fast), eq(fast)]);
    }
}

#[gtest]
fn speeds_survive_several_takeovers_before_the_targets_answer() {
    let mut cell = Cell::new(2);
    run_everywhere(&mut cell, TARGETS[1], (62, 160));
    let before = cell.planner.speeds(cell.now);
    expect_that!(before.targets.len(), eq(2));
    let next = cell.take_over_without_listings().take_over_without_listings();
    expect_that!(next.planner.speeds(next.now).has_classes_of(&before), eq(true));
    expect_that!(next.planner.has_uneven_targets(true, next.now), eq(true));
}

#[gtest]
fn small_differences_still_count_after_a_takeover() {
    // The record was removed by the next leader, which took less weight over.
    let mut cell = Cell::new(2);
    for _ in 0..3 {
        run_everywhere(&mut cell, TARGETS[0], (80, 125));
    }
    expect_that!(cell.planner.has_uneven_targets(false, cell.now), eq(true));
    let mut next = cell.take_over();
    for target in TARGETS {
        next.list_nothing(target);
    }
    expect_that!(next.planner.has_uneven_targets(true, next.now), eq(true));
    expect_that!(next.planner.speeds(next.now).targets.len(), eq(2));
}

#[gtest]
fn target_with_another_start_time_begins_anew() {
    // It may run on other hardware.
    for fast in TARGETS {
        let mut cell = Cell::new(2);
        run_everywhere(&mut cell, fast, (62, 160));
        cell.restart_target(fast);
        let next = cell.take_over();
        let speeds = next.planner.speeds(next.now);
        let known: Vec<&str> = speeds.targets.iter().map(|speed| &*speed.target).collect();
        expect_that!(known, not(contains(eq(&fast))));
        expect_that!(known.len(), eq(1));
    }
}

#[gtest]
fn only_targets_that_differ_count_as_uneven() {
    let mut cell = Cell::new(2);
    run_everywhere(&mut cell, TARGETS[0], (97, 103));
    expect_that!(cell.planner.has_uneven_targets(false, cell.now), eq(false));
    // Estimates that are wrong for all targets make no difference either.
    run_everywhere(&mut cell, TARGETS[1], (395, 405));
    expect_that!(cell.planner.has_uneven_targets(false, cell.now), eq(false));
    let mut cell = Cell::new(2);
    run_everywhere(&mut cell, TARGETS[0], (62, 160));
    expect_that!(cell.planner.has_uneven_targets(false, cell.now), eq(true));
}

#[gtest]
fn estimates_are_corrected_by_the_usual_run_times_of_the_queue() {
    // A job with little time left by the true run times was placed as if it had
    // time, and was late on a slow target.
    for fast in TARGETS {
        let mut cell = Cell::new(2);
        run_everywhere(&mut cell, fast, (180, 270));
        for target in TARGETS {
            cell.list_nothing(target);
        }
        cell.accept("job", vec![step(2)]);
        let starts = cell.decide_starts();
        expect_that!(starts.len(), eq(2));
        expect_that!(starts.iter().all(|start| &*start.target == fast), eq(true));
    }
}

#[gtest]
fn right_estimates_and_few_samples_correct_nothing() {
    // With a slack of exactly twice its estimate, a job goes to any target, thus
    // to the same one whichever is fast.
    let chosen = |prepare: &dyn Fn(&mut Cell, &str)| {
        let target = |fast: &&str| {
            let mut cell = Cell::new(2);
            prepare(&mut cell, fast);
            for target in TARGETS {
                cell.list_nothing(target);
            }
            cell.accept("job", vec![step(1)]);
            cell.decide_starts()[0].target.to_string()
        };
        TARGETS.iter().map(target).collect::<Vec<_>>()
    };
    let right = chosen(&|cell, fast| run_everywhere(cell, fast, (80, 125)));
    expect_that!(right[0], eq(&right[1]));
    let few = chosen(&|cell, fast| {
        let speed = |target: &&str| TargetSpeed {
            target: Name::from(*target),
            born_unix_ms: 1,
            class: if *target == fast { -4 } else { 4 },
            weight: 40,
        };
        let queue = QueueBaseline {
            queue: Name::from(QUEUE),
            mean_milli: 900,
            variance_milli: 100,
            sample_count: 20,
        };
        let targets = TARGETS.iter().map(speed).collect();
        cell.planner.inherit_speeds(&SpeedRecord { targets, queues: vec![queue] }, cell.now);
    });
    expect_that!(few[0], eq(&few[1]));
}

#[gtest]
fn absurd_records_are_bounded() {
    let speed = |target: &str, class: i8| TargetSpeed {
        target: Name::from(target),
        born_unix_ms: 1,
        class,
        weight: u16::MAX,
    };
    let queue = |mean_milli: i32| QueueBaseline {
        queue: Name::from(QUEUE),
        mean_milli,
        variance_milli: u32::MAX,
        sample_count: u32::MAX,
    };
    for mean_milli in [i32::MIN, i32::MAX] {
        let record = SpeedRecord {
            targets: vec![speed(TARGETS[0], i8::MIN), speed(TARGETS[1], i8::MAX)],
            queues: vec![queue(mean_milli)],
        };
        let mut cell = Cell::new(2);
        cell.planner.inherit_speeds(&record, cell.now);
        let mut next = cell.take_over();
        next.accept("job", vec![step(1)]);
        expect_that!(next.decide_starts().len(), eq(1));
        let speeds = next.planner.speeds(next.now);
        expect_that!(speeds.targets.iter().all(|speed| speed.class.abs() <= 25), eq(true));
    }
}
