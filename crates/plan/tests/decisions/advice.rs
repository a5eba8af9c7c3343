//! Which requests for advice go out.

use std::time::Duration;

use base::Name;
use googletest::prelude::*;
use plan::{AdviceRequest, RequestLength, StartAnswer};
use work::{Advice, End, Step};

use crate::cell::{Cell, OTHER_QUEUE, QUEUE, step};

const SHORT: Advice = Advice { request_us: 20_000, target_us: 0, valid_ms: 1500 };
const LONG: Advice = Advice { request_us: 400_000, target_us: 0, valid_ms: 1500 };

/// The part of an instance's time that long requests get while short ones wait.
const LEAST_LONG_PART: f64 = 0.1;

/// Short requests wait at all times: those of the one instance that there is
/// take half as long again as there is time for.
#[gtest]
fn long_requests_give_way_to_short_ones_but_are_made() {
    const TIME: Duration = Duration::from_secs(40);
    const TICK: Duration = Duration::from_millis(5);
    let mut cell = Cell::new(1);
    cell.set_advice(QUEUE, SHORT);
    cell.add_queue(OTHER_QUEUE, LONG);
    cell.board.set_instances(1, cell.now);
    for number in 0..30 {
        cell.accept(&format!("short-{number}"), vec![step(1)]);
    }
    for number in 0..3 {
        cell.accept_in(OTHER_QUEUE, &format!("long-{number}"), vec![step(1)]);
    }
    let (mut long, mut short) = (Duration::ZERO, Duration::ZERO);
    let mut waiting: Vec<AdviceRequest> = Vec::new();
    let mut ready_at = cell.now;
    let end = cell.now + TIME;
    while cell.now < end {
        cell.decide_starts();
        for ask in cell.take_asks() {
            let time = Duration::from_micros(ask.cost_us);
            match ask.length {
                RequestLength::Long => long += time,
                RequestLength::Short => short += time,
            }
            waiting.push(ask);
        }
        // The instance answers one after the other, and nothing may run.
        if cell.now >= ready_at && !waiting.is_empty() {
            let ask = waiting.remove(0);
            ready_at = cell.now + Duration::from_micros(ask.cost_us);
            cell.board.advice_answered(&ask.step, &ask.targets, None, Duration::ZERO);
        }
        cell.advance(TICK);
        cell.hear_others("");
    }
    let part = |time: Duration| time.div_duration_f64(TIME);
    expect_that!(part(long), ge(LEAST_LONG_PART));
    // Every time it is a whole request more than the least.
    expect_that!(part(long), le(LEAST_LONG_PART * 2.0));
    expect_that!(part(short), ge(1.0 - LEAST_LONG_PART * 2.0));
}

#[gtest]
fn a_gang_asks_for_targets_that_have_room_while_those_it_knows_are_full() {
    // Seen on trouble-3 of the grown firm: reviews waited for eight allowed
    // targets, while four tenths of the cell were free.
    let mut cell = Cell::new(20);
    cell.add_queue(OTHER_QUEUE, LONG);
    cell.board.set_instances(1, cell.now);
    cell.accept_in(OTHER_QUEUE, "gang", vec![Step { gang: true, ..step(2) }]);
    cell.decide_starts();
    let first = cell.take_asks().remove(0);
    expect_that!(first.targets.len(), lt(20));
    cell.accept("filler", vec![step(160)]);
    let fillers = cell.decide_starts();
    expect_that!(fillers.len(), eq(160));
    cell.answer_all(&fillers, &StartAnswer::Started);
    let allowed = first.targets.iter().map(|name| (name.clone(), Name::from("ticket"))).collect();
    cell.board.advice_answered(&first.step, &first.targets, Some(allowed), cell.now);
    cell.decide_starts();
    // While all are full, it waits for those it knows.
    expect_that!(cell.take_asks().len(), eq(0));
    for start in fillers.iter().filter(|start| !first.targets.contains(&start.target)) {
        cell.end(start, End::Done);
    }
    cell.decide_starts();
    let asks = cell.take_asks();
    expect_that!(asks.len(), eq(1));
    let is_new = |name: &&Name| !first.targets.contains(name);
    expect_that!(asks[0].targets.iter().filter(is_new).count(), ge(2));
}

#[gtest]
fn a_gang_that_its_targets_cannot_hold_keeps_no_room_from_others() {
    // Found in plays of the firm's calm day: gangs whose allowed targets are too
    // few kept all of these for themselves, for good.
    for (members, free) in [(20, 23), (16, 8)] {
        let mut cell = Cell::new(3);
        cell.add_queue(OTHER_QUEUE, LONG);
        cell.board.set_instances(1, cell.now);
        cell.accept("first", vec![step(1)]);
        let first = cell.decide_starts();
        cell.answer_all(&first, &StartAnswer::Started);
        let gang = Step { gang: true, ..step(members) };
        cell.accept_in(OTHER_QUEUE, "gang", vec![gang]);
        cell.decide_starts();
        // Two targets of eight are allowed, one of which runs something.
        let ask = cell.take_asks().remove(0);
        let others = ask.targets.iter().filter(|name| **name != first[0].target).take(1);
        let allowed = others.chain([&first[0].target]);
        let allowed = allowed.map(|name| (name.clone(), Name::from("ticket"))).collect();
        cell.board.advice_answered(&ask.step, &ask.targets, Some(allowed), cell.now);
        expect_that!(cell.decide_starts(), is_empty());
        cell.accept("small", vec![step(24)]);
        // All that is free beside what the gang waits for.
        let started = cell.decide_starts().len();
        expect_that!(started, eq(free), "{members} members");
    }
}
