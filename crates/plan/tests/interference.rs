//! Days with services, backfill and jobs on the same targets, with interference
//! controlled and not.

use std::time::Duration;

use googletest::prelude::*;
use standin::cell::interference::{Day, Outcome};

/// Seeds of the simulated days.
const SEEDS: [u64; 6] = [1, 2, 3, 4, 5, 6];

fn play(day: &Day) -> Vec<Outcome> {
    let outcomes = SEEDS.map(|seed| day.play(seed));
    println!("{} {outcomes:#?}", day.is_controlled);
    outcomes.into()
}

/// Returns a day on which services and backfill don't all find room on separate
/// targets.
fn crowded() -> Day {
    Day { targets: 10, losses: 2, ..Day::default() }
}

fn sum(days: &[Outcome], score: fn(&Outcome) -> f64) -> f64 {
    days.iter().map(score).sum()
}

#[gtest]
fn crowded_cell_serves_more_with_control_than_with_separation() {
    let on = play(&crowded());
    let off = play(&Day { is_controlled: false, ..crowded() });
    for (on, off) in on.iter().zip(&off) {
        // Services that found no target without backfill did not run at all.
        expect_that!(on.at_work - on.over_goal, gt(off.at_work - off.over_goal));
    }
    let long_running = |day: &Outcome| day.at_work - day.over_goal + day.backfill_work;
    expect_that!(sum(&on, long_running), gt(sum(&off, long_running)));
    expect_that!(sum(&on, |day| day.in_time), gt(sum(&off, |day| day.in_time)));
}

#[gtest]
fn control_costs_services_little_where_there_is_room_for_separation() {
    let on = play(&Day::default());
    let off = play(&Day { is_controlled: false, ..Day::default() });
    for (on, off) in on.iter().zip(&off) {
        // Different runs, which may cost 1 % by chance.
        expect_that!(on.at_work - on.over_goal, ge((off.at_work - off.over_goal) * 0.99));
    }
    expect_that!(sum(&on, |day| day.in_time), ge(sum(&off, |day| day.in_time)));
}

#[gtest]
fn no_task_is_over_its_goal_for_long_beside_working_backfill() {
    // The operators' lower bound is 4 s. One in five orders is lost on the last
    // day, so that some backfill has to be stopped.
    let lossy = Day { lost_orders: 0.2, ..crowded() };
    for day in [Day::default(), crowded(), lossy] {
        for outcome in play(&day) {
            expect_that!(outcome.longest_harm, lt(Duration::from_millis(4000)));
            // Fewer than one order a second for each target.
            expect_that!(outcome.paces, lt(day.duration.as_secs() as u32 * day.targets));
        }
    }
}
