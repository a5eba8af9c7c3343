//! What callers get under the loads of the users' sheets. Each test plays whole
//! days on the decisions.

use googletest::prelude::*;
use plan::{Preemption, Settings};
use standin::cell::simulation::{Admission, Report, Simulation, Workload};

/// One day of each seed.
const SEEDS: [u64; 2] = [1, 2];

/// Position of the kind with short requests for advice that comes first.
const QUOTE: usize = 0;

fn play(load: &Workload, admission: Admission) -> Vec<Vec<Report>> {
    SEEDS.map(|seed| Simulation::new(load.clone(), admission, seed).run()).into()
}

fn count<'a>(
    reports: impl IntoIterator<Item = &'a Report>,
    counted: impl Fn(&Report) -> usize,
) -> usize {
    reports.into_iter().map(counted).sum()
}

/// Gets the share of the quotes that were done in time.
fn quotes_in_time(days: &[Vec<Report>]) -> f64 {
    let quotes = || days.iter().map(|day| &day[QUOTE]);
    count(quotes(), Report::in_time) as f64 / count(quotes(), |report| report.outcomes.len()) as f64
}

#[gtest]
fn the_same_day_is_played_the_same_way_again() {
    // A verdict on a day holds only if each play of it decides the same.
    for seed in 1..=30 {
        let play = || Simulation::new(Workload::firm(), Admission::EnforceRefusals, seed).run();
        expect_that!(format!("{:?}", play()) == format!("{:?}", play()), eq(true), "seed {seed}");
    }
}

#[gtest]
fn a_cell_that_can_do_its_work_refuses_nothing() {
    let days = play(&Workload::firm(), Admission::EnforceRefusals);
    for report in days.iter().flatten() {
        expect_that!(report.refused(), eq(0), "{}", report.kind);
        expect_that!(report.waiting(), eq(0), "{}", report.kind);
    }
}

#[gtest]
fn short_requests_for_advice_wait_for_no_long_ones_at_a_single_instance() {
    let many = quotes_in_time(&play(&Workload::firm(), Admission::AcceptAll));
    let single = Workload { instances: 1, ..Workload::firm() };
    let single = quotes_in_time(&play(&single, Admission::AcceptAll));
    // A twentieth is what the bursts may take.
    expect_that!(single, ge(many * 0.95));
}

#[gtest]
fn an_instance_that_cannot_get_enough_advice_refuses_and_carries_the_rest_through() {
    let load = Workload { instances: 1, ..Workload::firm() };
    let all = play(&load, Admission::AcceptAll);
    let as_told = play(&load, Admission::EnforceRefusals);
    expect_that!(count(all.iter().flatten(), Report::waiting), gt(0));
    expect_that!(count(as_told.iter().flatten(), Report::waiting), eq(0));
    let in_time = |days: &[Vec<Report>]| count(days.iter().flatten(), Report::in_time);
    expect_that!(in_time(&as_told), ge(in_time(&all) * 95 / 100));
}

#[gtest]
fn a_large_cell_serves_the_same_load_as_well_from_few_of_its_targets() {
    let load = Workload { targets: 400, instances: 40, ..Workload::firm() };
    let few = play(&load, Admission::EnforceRefusals);
    let many = play(&Workload { targets: 3000, ..load }, Admission::EnforceRefusals);
    let in_time = |days: &[Vec<Report>]| count(days.iter().flatten(), Report::in_time);
    // Other runs fail by chance; that may cost one job in a hundred.
    expect_that!(in_time(&many), ge(in_time(&few) * 99 / 100));
    expect_that!(count(many.iter().flatten(), Report::waiting), eq(0));
}

/// Position of the kind whose tasks start together, and of the one with time left.
const REVIEW: usize = 1;
const SCHEDULE: usize = 2;

#[gtest]
fn tasks_that_save_their_work_make_room_for_gangs_and_lose_nothing() {
    let in_time = |days: &[Vec<Report>], kind: usize| {
        count(days.iter().map(|day| &day[kind]), Report::in_time)
    };
    let unmoved = Settings {
        preemption: Preemption { moves_per_task: 0, ..Preemption::default() },
        ..Settings::default()
    };
    let days = |settings: &Settings| {
        SEEDS.map(|seed| {
            let (load, settings) = (Workload::firm_large(), settings.clone());
            Simulation::with_settings(load, Admission::EnforceRefusals, settings, seed).run()
        })
    };
    let (before, after) = (days(&unmoved), days(&Settings::default()));
    expect_that!(in_time(&after, REVIEW), gt(in_time(&before, REVIEW)));
    // Other runs fail by chance; that may cost one job in a hundred.
    for kind in [QUOTE, SCHEDULE] {
        expect_that!(in_time(&after, kind), ge(in_time(&before, kind) * 99 / 100));
    }
}
