//! Service quality under the loads of the users' workload sheets. Each test
//! simulates whole days of decisions.

use googletest::prelude::*;
use plan::{Preemption, Settings};
use standin::cell::simulation::{Admission, Report, Simulation, Workload};

/// Seeds of the simulated days.
const SEEDS: [u64; 2] = [1, 2];

/// Position of the first kind of jobs, which needs short advice requests.
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

/// Returns the share of the jobs of kind `QUOTE` that were done in time.
fn quotes_in_time(days: &[Vec<Report>]) -> f64 {
    let quotes = || days.iter().map(|day| &day[QUOTE]);
    count(quotes(), Report::in_time) as f64 / count(quotes(), |report| report.outcomes.len()) as f64
}

#[gtest]
fn simulation_of_a_day_is_deterministic() {
    // Results of a simulated day can only be compared if the day is reproducible.
    for seed in 1..=30 {
        let play = || Simulation::new(Workload::firm(), Admission::EnforceRefusals, seed).run();
        expect_that!(format!("{:?}", play()) == format!("{:?}", play()), eq(true), "seed {seed}");
    }
}

#[gtest]
fn sufficient_cell_refuses_no_jobs() {
    let days = play(&Workload::firm(), Admission::EnforceRefusals);
    for report in days.iter().flatten() {
        expect_that!(report.refused(), eq(0), "{}", report.kind);
        expect_that!(report.waiting(), eq(0), "{}", report.kind);
    }
}

#[gtest]
fn short_advice_requests_are_not_delayed_by_long_ones_at_a_single_instance() {
    let many = quotes_in_time(&play(&Workload::firm(), Admission::AcceptAll));
    let single = Workload { instances: 1, ..Workload::firm() };
    let single = quotes_in_time(&play(&single, Admission::AcceptAll));
    // The bursts may cost 5 % of the jobs.
    expect_that!(single, ge(many * 0.95));
}

#[gtest]
fn instance_short_of_advice_refuses_jobs_and_completes_accepted_ones() {
    let load = Workload { instances: 1, ..Workload::firm() };
    let all = play(&load, Admission::AcceptAll);
    let with_refusals = play(&load, Admission::EnforceRefusals);
    expect_that!(count(all.iter().flatten(), Report::waiting), gt(0));
    expect_that!(count(with_refusals.iter().flatten(), Report::waiting), eq(0));
    let in_time = |days: &[Vec<Report>]| count(days.iter().flatten(), Report::in_time);
    expect_that!(in_time(&with_refusals), ge(in_time(&all) * 95 / 100));
}

#[gtest]
fn large_cell_serves_the_same_load_as_well_as_a_small_one() {
    let load = Workload { targets: 400, instances: 40, ..Workload::firm() };
    let few = play(&load, Admission::EnforceRefusals);
    let many = play(&Workload { targets: 3000, ..load }, Admission::EnforceRefusals);
    let in_time = |days: &[Vec<Report>]| count(days.iter().flatten(), Report::in_time);
    // Different runs fail by chance, which may cost 1 % of the jobs.
    expect_that!(in_time(&many), ge(in_time(&few) * 99 / 100));
    expect_that!(count(many.iter().flatten(), Report::waiting), eq(0));
}

/// Positions of the kind with gangs and of the kind whose jobs have time left.
const REVIEW: usize = 1;
const SCHEDULE: usize = 2;

#[gtest]
fn preemption_helps_gangs_without_harm_to_other_jobs() {
    let in_time = |days: &[Vec<Report>], kind: usize| {
        count(days.iter().map(|day| &day[kind]), Report::in_time)
    };
    let without_preemption = Settings {
        preemption: Preemption { max_per_task: 0, ..Preemption::default() },
        ..Settings::default()
    };
    let days = |settings: &Settings| {
        SEEDS.map(|seed| {
            let (load, settings) = (Workload::firm_large(), settings.clone());
            Simulation::with_settings(load, Admission::EnforceRefusals, settings, seed).run()
        })
    };
    let (before, after) = (days(&without_preemption), days(&Settings::default()));
    expect_that!(in_time(&after, REVIEW), gt(in_time(&before, REVIEW)));
    // Different runs fail by chance, which may cost 1 % of the jobs.
    for kind in [QUOTE, SCHEDULE] {
        expect_that!(in_time(&after, kind), ge(in_time(&before, kind) * 99 / 100));
    }
}
