//! Usual speeds of targets, kept for later leaders.

use std::time::Duration;

use base::Name;
use bytes::Bytes;
use googletest::prelude::*;
use standin::cell::{World, store::Fault};
use work::{JobState, Step};

use crate::common::{Cell, Node, step, wait_until};

const SPEEDS: &str = "skylarkspan/speeds";

/// Estimate of a task, and its time on a target of normal speed. Long enough that
/// the time until an end is listed doesn't count.
const ESTIMATE_MS: u32 = 1000;

/// Number of jobs that a test runs to learn speeds. Each fills all targets.
const MAX_JOBS: u32 = 12;

fn run_job(cell: &Cell, number: u32, tasks: u32) {
    let id = format!("job-{number}");
    let payload = format!("work:{ESTIMATE_MS}");
    let step = Step { estimate_ms: ESTIMATE_MS, ..step(tasks) };
    expect_that!(cell.nodes[0].submit(&id, &payload, step), ok(eq(&())));
    cell.wait_for_state(0, &id, JobState::Complete);
}

/// Starts a cell of three targets with different speeds, and runs jobs until a
/// record of the speeds is written.
fn start_uneven_cell(nodes: usize) -> Cell {
    let cell = Cell::start(nodes, 3);
    cell.world.targets.set_run_time("target-0", 62);
    cell.world.targets.set_run_time("target-2", 167);
    for number in 0..MAX_JOBS {
        run_job(&cell, number, 24);
        if cell.world.store.value(SPEEDS).is_some() {
            return cell;
        }
    }
    panic!("no record of the speeds was written");
}

fn kill_all(cell: &mut Cell) {
    cell.nodes.iter_mut().for_each(Node::kill);
}

fn start_all(cell: &mut Cell) {
    for number in 0..cell.nodes.len() {
        cell.nodes[number] = Node::start(&cell.world, &format!("node-{number}"));
    }
}

/// Returns the number of targets that are faster or slower than the others, as
/// known to the leader.
fn uneven_targets(cell: &Cell) -> u32 {
    let metrics = cell.nodes[cell.leader()].metrics();
    let line = metrics.lines().find(|line| line.starts_with("skylarkspan_node_uneven_targets "));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0)
}

/// Waits until the leader has heard of all targets several times.
fn wait_for_listings(world: &World) {
    let before: Vec<u32> = targets().map(|id| world.targets.listings(&id)).collect();
    wait_until("listings", || {
        targets().zip(&before).all(|(id, before)| world.targets.listings(&id) >= before + 3)
    });
}

fn targets() -> impl Iterator<Item = String> {
    (0..3).map(|number| format!("target-{number}"))
}

#[gtest]
fn speeds_are_known_after_a_kill_of_all_instances() {
    let mut cell = start_uneven_cell(2);
    kill_all(&mut cell);
    start_all(&mut cell);
    wait_until("the known speeds", || uneven_targets(&cell) >= 2);
    // A target that has restarted begins anew.
    kill_all(&mut cell);
    cell.world.targets.restart(&Name::from("target-0"));
    cell.world.targets.restart(&Name::from("target-1"));
    cell.world.targets.restart(&Name::from("target-2"));
    start_all(&mut cell);
    wait_for_listings(&cell.world);
    expect_that!(uneven_targets(&cell), eq(0));
}

#[gtest]
fn speeds_are_known_after_a_handover() {
    let mut cell = start_uneven_cell(3);
    // Only the handover can tell of the speeds.
    cell.world.store.put(SPEEDS, Bytes::from_static(b"\xff"));
    let leader = cell.leader();
    cell.nodes[leader].stop();
    cell.nodes.remove(leader);
    wait_until("the known speeds", || uneven_targets(&cell) >= 2);
}

#[gtest]
fn unreadable_record_means_that_nothing_is_known() {
    let mut cell = start_uneven_cell(1);
    kill_all(&mut cell);
    cell.world.store.put(SPEEDS, Bytes::from_static(b"\xff"));
    start_all(&mut cell);
    wait_until("a ready cell", || cell.nodes[0].pending_jobs().is_ok());
    wait_for_listings(&cell.world);
    expect_that!(uneven_targets(&cell), eq(0));
    run_job(&cell, MAX_JOBS, 3);
}

#[gtest]
fn lost_answers_to_records_delay_no_work() {
    let cell = Cell::start(1, 3);
    cell.world.targets.set_run_time("target-0", 62);
    cell.world.targets.set_run_time("target-2", 167);
    cell.world.store.set_fault(&cell.nodes[0].name, Fault::LosingAnswers(2));
    for number in 0..4 {
        run_job(&cell, number, 24);
    }
    cell.world.store.set_fault(&cell.nodes[0].name, Fault::None);
    for number in 4..MAX_JOBS {
        run_job(&cell, number, 24);
        if cell.world.store.value(SPEEDS).is_some() {
            break;
        }
    }
    expect_that!(cell.world.store.value(SPEEDS), some(anything()));
    expect_that!(cell.world.targets.violations(), is_empty());
}

#[gtest]
fn nothing_is_recorded_where_targets_are_alike() {
    let cell = Cell::start(2, 3);
    for number in 0..5 {
        run_job(&cell, number, 24);
    }
    // Longer than the interval between records.
    std::thread::sleep(Duration::from_secs(4));
    expect_that!(cell.world.store.value(SPEEDS), none());
}
