//! Recovery after a takeover while a target does not answer.

use std::time::{Duration, Instant};

use base::Name;
use googletest::prelude::*;
use standin::cell::targets::Fault;
use work::{JobState, Step};

use crate::common::{Cell, Node, step, wait_until, wait_until_within};

/// Time within which a task has to start that can't have a run on a lost target: a
/// second, and another for the processes of the test.
const SOON: Duration = Duration::from_secs(2);

#[gtest]
fn second_step_does_not_wait_for_a_target_that_restarts_and_is_lost() {
    // One such target held up all jobs of the cell for 22.5 s after all nodes had
    // been killed (review/9).
    const WORK: Duration = Duration::from_secs(5);
    let mut cell = Cell::start(2, 3);
    // The stand-ins' entries don't name the processes of the targets. These are
    // recorded when another node joins.
    cell.nodes.push(Node::start(&cell.world, "node-2"));
    std::thread::sleep(Duration::from_millis(2500));
    let follower = cell.follower();
    let after = Step { after: [0].into_iter().collect(), ..step(1) };
    let steps = vec![step(1), after];
    expect_that!(cell.nodes[follower].submit_steps("job", "work:5000", steps), ok(eq(&())));
    wait_until("the first step", || cell.world.targets.running("job") == 1);
    let began_at = Instant::now();
    let names = (0..3).map(|number| Name::from(format!("target-{number}")));
    let lost = names.into_iter().find(|name| cell.world.targets.runs_on(name) == 0);
    let lost = lost.expect("two of three targets are idle");
    let leader = cell.leader();
    cell.nodes[leader].kill();
    cell.world.targets.restart(&lost);
    cell.world.targets.set_fault(&lost, Fault::Silent);
    wait_until_within(WORK + SOON, "the second step", || cell.world.targets.starts("job") == 2);
    expect_that!(began_at.elapsed(), gt(WORK));
    cell.wait_for_state(follower, "job", JobState::Complete);
    expect_that!(cell.world.targets.starts("job"), eq(2));
    expect_that!(cell.world.targets.violations(), is_empty());
}

#[gtest]
fn tasks_without_runs_on_a_lost_target_start_at_once_after_two_handovers() {
    // Each handover began the wait anew, for all tasks.
    const WORK: Duration = Duration::from_secs(3);
    let mut cell = Cell::start(3, 4);
    let leader = cell.leader();
    let last = cell.follower();
    expect_that!(cell.nodes[last].submit("running", "work:3000", step(32)), ok(eq(&())));
    wait_until("running tasks", || cell.world.targets.running("running") == 32);
    let began_at = Instant::now();
    expect_that!(cell.nodes[last].submit("waiting", "work:100", step(4)), ok(eq(&())));
    // The leader hands over before it notices.
    let lost = Name::from("target-0");
    cell.world.targets.set_fault(&lost, Fault::Silent);
    cell.nodes[leader].stop();
    let second = cell.leader();
    let last = (0..3).find(|number| ![leader, second].contains(number));
    let last = last.expect("there are three nodes");
    cell.nodes[second].stop();
    wait_until_within(WORK + SOON, "a start", || cell.world.targets.starts("waiting") == 4);
    expect_that!(began_at.elapsed(), lt(WORK + SOON + SOON));
    cell.wait_for_state(last, "waiting", JobState::Complete);
    cell.world.targets.set_fault(&lost, Fault::None);
    cell.wait_for_state(last, "running", JobState::Complete);
    expect_that!(cell.world.targets.violations(), is_empty());
}
