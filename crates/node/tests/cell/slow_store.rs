//! A key-value service that answers slowly to all instances.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use standin::cell::store::Fault;
use work::JobState;

use crate::common::{Cell, step};

/// Latency of the service; some 80 times the usual one.
const SLOW: Duration = Duration::from_millis(390);

/// Time for which the service is slow.
const SLOW_TIME: Duration = Duration::from_secs(4);

/// Longest time without a start while tasks wait for room, with a slow service
/// alone.
const MAX_START_GAP: Duration = Duration::from_millis(500);

fn slow_down(cell: &Cell) {
    cell.nodes.iter().for_each(|node| cell.world.store.set_fault(&node.name, Fault::Slow(SLOW)));
}

#[gtest]
fn leader_keeps_the_lead_while_the_store_is_slow() {
    let cell = Cell::start(3, 4);
    let leader = cell.leader();
    slow_down(&cell);
    let slow_at = Instant::now();
    while slow_at.elapsed() < SLOW_TIME {
        expect_that!(cell.nodes[leader].is_leader(), eq(true), "after {:?}", slow_at.elapsed());
        if !cell.nodes[leader].is_leader() {
            return;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[gtest]
fn slow_store_interrupts_no_starts() {
    // 32 tasks run at a time, for 100 ms each.
    const TASKS: u32 = 1400;
    let cell = Cell::start(3, 4);
    let leader = cell.leader();
    expect_that!(cell.nodes[leader].submit("job", "work:100", step(TASKS)), ok(eq(&())));
    slow_down(&cell);
    let (mut starts, mut started_at) = (0, Instant::now());
    let mut longest_gap = Duration::ZERO;
    while starts < TASKS {
        let count = cell.world.targets.starts("job");
        if count > starts {
            (starts, started_at) = (count, Instant::now());
        }
        longest_gap = longest_gap.max(started_at.elapsed());
        std::thread::sleep(Duration::from_millis(5));
    }
    expect_that!(longest_gap, le(MAX_START_GAP));
    cell.wait_for_state(leader, "job", JobState::Complete);
    expect_that!(cell.world.targets.violations(), is_empty());
}
