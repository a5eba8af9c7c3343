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

#[gtest]
fn runs_lost_on_reachable_targets_start_again_though_others_restarted_and_fell_silent() {
    // All targets restarted, 22 of 48 were silent for 7 s, and the leadership was
    // handed over twice within a second: nothing started for 22 s.
    const TARGETS: u32 = 12;
    const SILENT: usize = 5;
    let mut cell = Cell::start(3, TARGETS);
    let leader = cell.leader();
    let follower = cell.follower();
    expect_that!(cell.nodes[follower].submit("job", "work:5000", step(48)), ok(eq(&())));
    wait_until("running tasks", || cell.world.targets.running("job") == 48);
    let names: Vec<Name> =
        (0..TARGETS).map(|number| Name::from(format!("target-{number}"))).collect();
    let (used, idle): (Vec<Name>, Vec<Name>) =
        names.into_iter().partition(|name| cell.world.targets.runs_on(name) > 0);
    // Half of the targets with runs are silent, and some of the others.
    let (lost, kept) = used.split_at(used.len() / 2);
    let silent: Vec<Name> = lost.iter().chain(&idle).take(SILENT).cloned().collect();
    let to_start: usize = kept.iter().map(|name| cell.world.targets.runs_on(name)).sum();
    expect_that!(to_start, gt(0));
    for name in used.iter().chain(&idle) {
        cell.world.targets.restart(name);
    }
    for name in &silent {
        cell.world.targets.set_fault(name, Fault::Silent);
    }
    cell.nodes[leader].stop();
    let second = cell.leader();
    cell.nodes[second].stop();
    let last = (0..3).find(|number| ![leader, second].contains(number));
    let last = last.expect("there are three nodes");
    wait_until("a leader", || cell.nodes[last].is_leader());
    let have_started = || cell.world.targets.running("job") >= to_start;
    wait_until_within(SOON, "the runs of the reachable targets", have_started);
    for name in &silent {
        cell.world.targets.set_fault(name, Fault::None);
    }
    cell.wait_for_state(last, "job", JobState::Complete);
    expect_that!(cell.world.targets.violations(), is_empty());
}

#[gtest]
fn job_accepted_after_a_kill_does_not_wait_after_a_handover_for_a_lost_target() {
    // The leader after the kill handed over before the lost target had listed anything;
    // its successor held up all jobs for that target.
    const WORK: Duration = Duration::from_secs(2);
    let mut cell = Cell::start(3, 3);
    let lost = Name::from("target-0");
    let killed = cell.leader();
    cell.world.targets.set_fault(&lost, Fault::Silent);
    cell.nodes[killed].kill();
    let second = cell.leader();
    let last = (0..3).find(|number| ![killed, second].contains(number));
    let last = last.expect("there are three nodes");
    let submit = |id: &str, count: u32, work: &str| {
        wait_until("an accepted job", || cell.nodes[last].submit(id, work, step(count)).is_ok());
    };
    submit("running", 16, "work:2000");
    wait_until("running tasks", || cell.world.targets.running("running") == 16);
    let began_at = Instant::now();
    submit("waiting", 4, "work:100");
    cell.nodes[second].stop();
    wait_until_within(WORK + SOON, "a start", || cell.world.targets.starts("waiting") == 4);
    expect_that!(began_at.elapsed(), lt(WORK + SOON));
    cell.wait_for_state(last, "waiting", JobState::Complete);
    expect_that!(cell.world.targets.violations(), is_empty());
}
