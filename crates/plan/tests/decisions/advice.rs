//! Requests for advice.

use std::time::Duration;

use base::Name;
use googletest::prelude::*;
use plan::{AdviceRequest, RequestLength, Settings, StartAnswer};
use work::{Advice, End, Step};

use crate::cell::{Cell, OTHER_QUEUE, QUEUE, step};

const SHORT: Advice = Advice { request_us: 20_000, target_us: 0, valid_ms: 1500 };
const LONG: Advice = Advice { request_us: 400_000, target_us: 0, valid_ms: 1500 };

/// Share of an instance's time that long requests get while short ones wait.
const MIN_LONG_RATIO: f64 = 0.1;

/// Short requests wait at all times: they would take 1.5 times the time of the
/// only instance.
#[gtest]
fn long_requests_yield_to_short_ones_but_get_their_minimum_share() {
    const DURATION: Duration = Duration::from_secs(40);
    const TICK: Duration = Duration::from_millis(5);
    let mut cell = Cell::new(1);
    cell.set_advice(QUEUE, SHORT);
    cell.add_queue(OTHER_QUEUE, LONG);
    cell.planner.set_instances(1, cell.now);
    for number in 0..30 {
        cell.accept(&format!("short-{number}"), vec![step(1)]);
    }
    for number in 0..3 {
        cell.accept_in(OTHER_QUEUE, &format!("long-{number}"), vec![step(1)]);
    }
    let (mut long, mut short) = (Duration::ZERO, Duration::ZERO);
    let mut waiting: Vec<AdviceRequest> = Vec::new();
    let mut ready_at = cell.now;
    let end = cell.now + DURATION;
    while cell.now < end {
        cell.decide_starts();
        for request in cell.take_advice_requests() {
            let time = Duration::from_micros(request.cost_us);
            match request.length {
                RequestLength::Long => long += time,
                RequestLength::Short => short += time,
            }
            waiting.push(request);
        }
        // The instance answers requests one after another, and never allows a
        // target.
        if cell.now >= ready_at && !waiting.is_empty() {
            let request = waiting.remove(0);
            ready_at = cell.now + Duration::from_micros(request.cost_us);
            cell.planner.advice_answered(&request.step, &request.targets, None, Duration::ZERO);
        }
        cell.advance(TICK);
        cell.list_nothing_on_others("");
    }
    let ratio = |time: Duration| time.div_duration_f64(DURATION);
    expect_that!(ratio(long), ge(MIN_LONG_RATIO));
    // A long request that is sent exceeds the minimum share by up to its whole
    // length.
    expect_that!(ratio(long), le(MIN_LONG_RATIO * 2.0));
    expect_that!(ratio(short), ge(1.0 - MIN_LONG_RATIO * 2.0));
}

#[gtest]
fn gang_requests_advice_on_targets_with_room_when_allowed_ones_are_full() {
    // Gangs must not wait for eight allowed but full targets while 40 % of the
    // cell is free (trouble-3 of the grown firm).
    let mut cell = Cell::new(20);
    cell.add_queue(OTHER_QUEUE, LONG);
    cell.planner.set_instances(1, cell.now);
    cell.accept_in(OTHER_QUEUE, "gang", vec![Step { gang: true, ..step(2) }]);
    cell.decide_starts();
    let first = cell.take_advice_requests().remove(0);
    expect_that!(first.targets.len(), lt(20));
    cell.accept("filler", vec![step(160)]);
    let fillers = cell.decide_starts();
    expect_that!(fillers.len(), eq(160));
    cell.answer_starts(&fillers, &StartAnswer::Started);
    let allowed = first.targets.iter().map(|name| (name.clone(), Name::from("ticket"))).collect();
    cell.planner.advice_answered(&first.step, &first.targets, Some(allowed), cell.now);
    cell.decide_starts();
    // While all targets are full, the gang waits for the allowed ones.
    expect_that!(cell.take_advice_requests().len(), eq(0));
    for start in fillers.iter().filter(|start| !first.targets.contains(&start.target)) {
        cell.end_run(start, End::Done);
    }
    cell.decide_starts();
    let requests = cell.take_advice_requests();
    expect_that!(requests.len(), eq(1));
    let is_new = |name: &&Name| !first.targets.contains(name);
    expect_that!(requests[0].targets.iter().filter(is_new).count(), ge(2));
}

#[gtest]
fn gang_too_large_for_its_allowed_targets_holds_no_room() {
    // Gangs with too few allowed targets held all of these targets indefinitely
    // (simulated calm day of the firm).
    for (members, free) in [(20, 23), (16, 8)] {
        let mut cell = Cell::new(3);
        cell.add_queue(OTHER_QUEUE, LONG);
        cell.planner.set_instances(1, cell.now);
        cell.accept("first", vec![step(1)]);
        let first = cell.decide_starts();
        cell.answer_starts(&first, &StartAnswer::Started);
        let gang = Step { gang: true, ..step(members) };
        cell.accept_in(OTHER_QUEUE, "gang", vec![gang]);
        cell.decide_starts();
        // Two targets with room for eight tasks each are allowed; one task runs
        // on one of them.
        let request = cell.take_advice_requests().remove(0);
        let others = request.targets.iter().filter(|name| **name != first[0].target).take(1);
        let allowed = others.chain([&first[0].target]);
        let allowed = allowed.map(|name| (name.clone(), Name::from("ticket"))).collect();
        cell.planner.advice_answered(&request.step, &request.targets, Some(allowed), cell.now);
        expect_that!(cell.decide_starts(), is_empty());
        cell.accept("small", vec![step(24)]);
        // The small tasks get all room that is not held for the gang.
        let started = cell.decide_starts().len();
        expect_that!(started, eq(free), "{members} members");
    }
}

#[gtest]
fn short_requests_in_flight_fit_the_instances_without_long_ones() {
    // While three of four instances answered long requests, 600 ms of short ones
    // queued at the fourth, and lookups behind them got their advice after 0.45 s
    // in place of 0.15 s (trouble-3 of the rack desk).
    const INSTANCES: usize = 4;
    let mut cell = Cell::new(1);
    cell.set_advice(QUEUE, SHORT);
    cell.add_queue(OTHER_QUEUE, LONG);
    cell.planner.set_instances(INSTANCES, cell.now);
    for number in 0..INSTANCES {
        cell.accept_in(OTHER_QUEUE, &format!("long-{number}"), vec![step(1)]);
    }
    cell.decide_starts();
    let long = cell.take_advice_requests();
    expect_that!(long.len(), eq(INSTANCES - 1));
    for number in 0..40 {
        cell.accept(&format!("short-{number}"), vec![step(1)]);
    }
    cell.decide_starts();
    let short = cell.take_advice_requests();
    let in_flight = short.iter().map(|request| Duration::from_micros(request.cost_us)).sum();
    expect_that!(short, not(is_empty()));
    expect_that!(Settings::default().max_advice_backlog, ge::<Duration>(in_flight));
    // Requests that wait in the planner are sent as earlier ones are answered.
    let Some(first) = short.first() else {
        return;
    };
    cell.planner.advice_answered(&first.step, &first.targets, None, Duration::ZERO);
    cell.decide_starts();
    expect_that!(cell.take_advice_requests().len(), ge(1));
}
