//! Backfill beside tasks with a latency goal, and in the way of others.

use base::{Name, Resources};
use googletest::prelude::*;
use standin::cell::targets::Fault;
use work::Step;

use crate::common::{Cell, Node, TASK_SIZE, step, wait_until};

const GOAL_MS: u32 = 200;

/// Starts a service and backfill on the only target of a cell.
fn shared_target() -> Cell {
    let cell = Cell::start(1, 1);
    let steady = || Step { long_running: true, ..step(1) };
    let web = Step { latency_goal_ms: Some(GOAL_MS), ..steady() };
    let fold = Step { is_backfill: true, ..steady() };
    cell.world.targets.set_figure("web", GOAL_MS / 4);
    expect_that!(cell.nodes[0].submit_steps("web", "work:60000", vec![web]), ok(eq(&())));
    expect_that!(cell.nodes[0].submit_steps("fold", "work:60000", vec![fold]), ok(eq(&())));
    for job in ["web", "fold"] {
        wait_until("a run", || cell.world.targets.running(job) == 1);
    }
    cell
}

#[gtest]
fn listed_response_times_set_the_pace_of_backfill() {
    // From the figure in a listing to the order and back.
    let cell = shared_target();
    cell.world.targets.set_figure("web", GOAL_MS * 3);
    wait_until("a rest", || cell.world.targets.pace("fold") == Some(0));
    cell.world.targets.set_figure("web", GOAL_MS / 4);
    wait_until("a raise", || cell.world.targets.pace("fold").is_some_and(|pace| pace > 0));
    // It was neither stopped nor started again.
    expect_that!(cell.world.targets.starts("fold"), eq(1));
}

#[gtest]
fn backfill_that_can_not_be_paced_is_stopped() {
    let cell = shared_target();
    cell.world.targets.lose_paces(true);
    cell.world.targets.set_figure("web", GOAL_MS * 3);
    // There is no other target, so it starts here again.
    wait_until("another start", || cell.world.targets.starts("fold") >= 2);
    expect_that!(cell.world.targets.starts("web"), eq(1));
}

/// Kills all nodes of a cell, and starts others.
fn replace_nodes(cell: &mut Cell) {
    for node in &mut cell.nodes {
        node.kill();
    }
    cell.nodes = (2..4).map(|number| Node::start(&cell.world, &format!("node-{number}"))).collect();
    wait_until("a ready cell", || cell.nodes.iter().all(|node| node.pending_jobs().is_ok()));
}

#[gtest]
fn service_starts_beside_backfill_after_its_target_and_all_nodes_were_lost() {
    // A task with a goal had no run while backfill was on all other targets (review/8).
    let mut cell = Cell::start(2, 2);
    let steady = || Step { long_running: true, max_per_target: Some(1), ..step(1) };
    let web = Step { latency_goal_ms: Some(GOAL_MS), ..steady() };
    let fold = Step { is_backfill: true, ..steady() };
    cell.world.targets.set_figure("web", GOAL_MS / 4);
    expect_that!(cell.nodes[0].submit_steps("web", "work:60000", vec![web]), ok(eq(&())));
    wait_until("a run", || cell.world.targets.running("web") == 1);
    let names = (0..2).map(|number| Name::from(format!("target-{number}")));
    let lost = names.into_iter().find(|name| cell.world.targets.runs_on(name) == 1);
    let lost = lost.expect("the service runs on a target");
    expect_that!(cell.nodes[0].submit_steps("fold", "work:60000", vec![fold]), ok(eq(&())));
    wait_until("a run", || cell.world.targets.running("fold") == 1);
    cell.world.targets.restart(&lost);
    cell.world.targets.set_fault(&lost, Fault::Silent);
    replace_nodes(&mut cell);
    wait_until("another run", || cell.world.targets.starts("web") == 2);
    expect_that!(cell.world.targets.starts("fold"), eq(1));
    expect_that!(cell.world.targets.violations(), is_empty());
}

#[gtest]
fn backfill_with_all_memory_makes_room_after_all_nodes_were_killed() {
    // It runs until it is cancelled, so that the service never started.
    let mut cell = Cell::start(2, 1);
    let memory_mib = TASK_SIZE.memory_mib * 8;
    let whole = Step { size: Resources { memory_mib, ..TASK_SIZE }, ..step(1) };
    let fold = Step { long_running: true, is_backfill: true, ..whole };
    expect_that!(cell.nodes[0].submit_steps("fold", "work:60000", vec![fold]), ok(eq(&())));
    wait_until("a run", || cell.world.targets.running("fold") == 1);
    replace_nodes(&mut cell);
    let web = Step { long_running: true, ..step(1) };
    let submit = |web| cell.nodes[0].submit_steps("web", "work:60000", vec![web]);
    wait_until("an accepted job", || submit(web.clone()).is_ok());
    wait_until("a run", || cell.world.targets.running("web") == 1);
    expect_that!(cell.world.targets.running("fold"), eq(0));
    expect_that!(cell.world.targets.violations(), is_empty());
}
