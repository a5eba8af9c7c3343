//! Bounds on the numbers in submitted jobs.

use googletest::prelude::*;
use work::{MAX_TASKS, Schedule, Spec, Step};

/// Returns a job whose steps have these numbers of tasks and run `times` times.
fn job(counts: &[u32], times: u32) -> Spec {
    let steps = counts.iter().map(|count| Step { count: *count, ..Step::default() });
    let schedule = Schedule { times, ..Schedule::default() };
    Spec { steps: steps.collect(), schedule: Some(schedule), ..Spec::default() }
}

#[gtest]
fn job_whose_number_of_tasks_exceeds_64_bits_is_refused() {
    // The product wrapped to 0, the job was accepted, and each leader aborted on
    // the memory for its tasks.
    let job = job(&[u32::MAX, u32::MAX, 2], 1 << 31);
    expect_that!(job.task_count(), eq(u64::MAX));
    expect_that!(job.invalid_reason(), some(eq("the job has too many tasks")));
}

#[gtest]
fn jobs_up_to_the_limit_are_valid() {
    expect_that!(job(&[50_000], 2).invalid_reason(), none());
    expect_that!(job(&[50_000], 2).task_count(), eq(MAX_TASKS));
    expect_that!(job(&[50_000, 1], 2).invalid_reason(), some(anything()));
}

#[gtest]
fn job_with_more_steps_than_can_be_numbered_is_refused() {
    // Steps are numbered with 16 bits.
    let job = job(&vec![1; usize::from(u16::MAX) + 1], 1);
    expect_that!(job.invalid_reason(), some(eq("the job has too many steps")));
}
