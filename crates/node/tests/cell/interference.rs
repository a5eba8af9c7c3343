//! Backfill beside tasks with a latency goal.

use googletest::prelude::*;
use work::Step;

use crate::common::{Cell, step, wait_until};

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
