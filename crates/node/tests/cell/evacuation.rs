//! Evacuation of data centres.

use std::{
    thread::sleep,
    time::{Duration, Instant},
};

use base::{Failure, Remedy, Verdict};
use bytes::Bytes;
use googletest::prelude::*;
use node::{Settings, settings::Bounds};
use standin::cell::{World, store::Fault};
use work::JobState;

use crate::common::{Cell, Node, TASK_SIZE, step, wait_until, wait_until_within};

/// Time after which nothing may start in an evacuated data centre.
const EVACUATE_TIME: Duration = Duration::from_millis(5000);

/// Time within which targets get work again after an evacuation was revoked, and
/// the time for a start to be sent and counted.
const RESUME_TIME: Duration = Duration::from_millis(2000);

fn settings() -> Settings {
    let evacuate_ms = Some(EVACUATE_TIME.as_millis() as u64);
    Settings { bounds: Bounds { evacuate_ms, ..Bounds::default() }, ..Settings::default() }
}

/// Starts a cell with a target in each of the data centres `dc-0` and so on.
fn start_cell(nodes: usize, targets: u32) -> Cell {
    let world = World::new(targets, TASK_SIZE, 8);
    for number in 0..targets as usize {
        world.move_target(number, &format!("dc-{number}"));
    }
    let start = |number: usize| Node::start_with(&world, &format!("node-{number}"), settings());
    let cell = Cell { nodes: (0..nodes).map(start).collect(), world };
    wait_until("a ready cell", || cell.nodes.iter().all(|node| node.pending_jobs().is_ok()));
    cell
}

/// Waits until all nodes know this number of evacuations.
fn wait_for_evacuations(cell: &Cell, count: u32) {
    let line = format!("skylarkspan_node_evacuations {count}\n");
    wait_until_within(EVACUATE_TIME, "the evacuations", || {
        cell.nodes.iter().all(|node| node.metrics().contains(&line))
    });
}

fn submit(cell: &Cell, node: usize, id: &str, tasks: u32) {
    expect_that!(cell.nodes[node].submit(id, "work:10000", step(tasks)), ok(eq(&())));
}

#[gtest]
fn evacuations_take_effect_and_end() {
    let cell = start_cell(2, 3);
    submit(&cell, 0, "before", 24);
    wait_until("runs everywhere", || cell.world.targets.running("before") == 24);
    // Values may be anything, and a configuration may be written meanwhile.
    cell.world.evacuate("dc-0", &[0xff, 0x00, 0x17]);
    cell.world.configure(&[("key", "team"), ("other", "team")]);
    cell.world.evacuate("dc-1", b"");
    wait_for_evacuations(&cell, 2);
    wait_until("the other key", || cell.nodes.iter().all(|n| n.check_key("other").is_ok()));
    // Runs there stay.
    expect_that!(cell.world.targets.running("before"), eq(24));
    expect_that!(cell.nodes[0].cancel("before"), ok(eq(&true)));
    wait_until("empty targets", || cell.world.targets.running("before") == 0);
    submit(&cell, 1, "during", 24);
    wait_until("runs elsewhere", || cell.world.targets.running("during") == 8);
    sleep(Duration::from_secs(1));
    expect_that!(cell.world.targets.runs_on("target-0"), eq(0));
    expect_that!(cell.world.targets.runs_on("target-1"), eq(0));
    cell.world.revoke_evacuation("dc-0");
    wait_until_within(RESUME_TIME, "runs on the target again", || {
        cell.world.targets.runs_on("target-0") == 8
    });
    expect_that!(cell.world.targets.runs_on("target-1"), eq(0));
    expect_that!(cell.world.targets.violations(), is_empty());
}

#[gtest]
fn evacuations_are_read_among_more_keys_than_a_page_holds() {
    let cell = start_cell(2, 2);
    // The store answers with five entries a page.
    for number in 0..12 {
        let other = |name: &str| format!("operator/{name}-{number:02}");
        for name in ["aside", "evacuating", "later"] {
            cell.world.store.put(&other(name), Bytes::from_static(&[0xff]));
        }
        cell.world.evacuate(&format!("closed-{number:02}"), b"");
    }
    cell.world.evacuate("dc-1", b"");
    // The watch can't tell of the keys, so that they are read.
    cell.world.store.compact_history();
    wait_for_evacuations(&cell, 13);
    submit(&cell, 0, "job", 16);
    wait_until("runs elsewhere", || cell.world.targets.running("job") == 8);
    sleep(Duration::from_secs(1));
    expect_that!(cell.world.targets.runs_on("target-1"), eq(0));
    // The configuration is read behind a page of other keys as well.
    cell.world.configure(&[("other", "team")]);
    cell.world.store.compact_history();
    wait_until("the new key", || cell.nodes.iter().all(|n| n.check_key("other").is_ok()));
    cell.world.revoke_evacuation("dc-1");
    cell.world.store.compact_history();
    wait_for_evacuations(&cell, 12);
    wait_until("runs on both targets", || cell.world.targets.running("job") == 16);
}

#[gtest]
fn new_leader_knows_the_evacuations_before_its_first_start() {
    let mut cell = start_cell(3, 2);
    cell.world.evacuate("dc-1", b"");
    wait_for_evacuations(&cell, 1);
    let leader = cell.leader();
    cell.nodes[leader].kill();
    let follower = (leader + 1) % 3;
    submit(&cell, follower, "job", 16);
    wait_until("runs elsewhere", || cell.world.targets.running("job") == 8);
    // All instances are killed, and one more data centre is evacuated meanwhile.
    cell.nodes.iter_mut().for_each(Node::kill);
    cell.world.evacuate("dc-0", b"");
    let before = cell.world.targets.starts("job");
    for number in 0..3 {
        cell.nodes[number] = Node::start_with(&cell.world, &format!("node-{number}"), settings());
    }
    let leader = cell.leader();
    // Longer than a new leader waits for the targets of earlier terms.
    sleep(Duration::from_secs(8));
    expect_that!(cell.world.targets.starts("job"), eq(before));
    expect_that!(cell.world.targets.runs_on("target-1"), eq(0));
    cell.world.revoke_evacuation("dc-1");
    wait_until("runs on the other target", || cell.world.targets.runs_on("target-1") == 8);
    expect_that!(cell.nodes[leader].is_leader(), eq(true));
    expect_that!(cell.world.targets.violations(), is_empty());
}

#[gtest]
fn leader_that_cannot_confirm_the_evacuations_starts_nothing() {
    let cell = start_cell(2, 2);
    let (leader, follower) = (cell.leader(), cell.follower());
    let fault = Fault::SilentPrefix("operator/");
    cell.world.store.set_fault(&cell.nodes[leader].name, fault);
    cell.world.evacuate("dc-0", b"");
    sleep(EVACUATE_TIME);
    submit(&cell, follower, "job", 16);
    sleep(Duration::from_secs(1));
    expect_that!(cell.nodes[leader].is_leader(), eq(true));
    expect_that!(cell.world.targets.starts("job"), eq(0));
    cell.world.store.set_fault(&cell.nodes[leader].name, Fault::None);
    wait_until("runs elsewhere", || cell.world.targets.running("job") == 8);
    expect_that!(cell.world.targets.runs_on("target-0"), eq(0));
}

#[gtest]
fn last_known_evacuations_stay_in_force_while_the_store_is_down() {
    let cell = start_cell(2, 2);
    cell.world.evacuate("dc-0", b"");
    wait_for_evacuations(&cell, 1);
    // Longer than the evacuation, so that half of the tasks still wait at its end.
    expect_that!(cell.nodes[0].submit("job", "work:60000", step(16)), ok(eq(&())));
    wait_until("runs elsewhere", || cell.world.targets.running("job") == 8);
    for fault in [Fault::Silent, Fault::None] {
        for node in &cell.nodes {
            cell.world.store.set_fault(&node.name, fault);
        }
        sleep(EVACUATE_TIME);
        expect_that!(cell.world.targets.runs_on("target-0"), eq(0));
    }
    expect_that!(cell.world.targets.starts("job"), ge(8));
    cell.world.revoke_evacuation("dc-0");
    wait_until("runs there again", || cell.world.targets.runs_on("target-0") == 8);
    expect_that!(cell.world.targets.violations(), is_empty());
}

#[gtest]
fn jobs_are_refused_while_all_data_centres_of_the_pool_are_evacuated() {
    let cell = start_cell(2, 2);
    // Each frontend has heard of the targets before the end of a job on them.
    for number in 0..2 {
        let id = format!("before-{number}");
        expect_that!(cell.nodes[number].submit(&id, "work:10", step(1)), ok(eq(&())));
        cell.wait_for_state(number, &id, JobState::Complete);
    }
    cell.world.evacuate("dc-0", b"");
    cell.world.evacuate("dc-1", b"");
    wait_for_evacuations(&cell, 2);
    for (number, node) in cell.nodes.iter().enumerate() {
        let submitted_at = Instant::now();
        let refused = node.submit(&format!("refused-{number}"), "work:10", step(1));
        expect_that!(
            refused,
            err(matches_pattern!(Failure {
                verdict: eq(&Verdict::NotRun),
                remedy: matches_pattern!(Remedy::Retry(gt(&Duration::ZERO))),
                reason: contains_substring("evacuated"),
                ..
            }))
        );
        expect_that!(submitted_at.elapsed(), lt(Duration::from_secs(1)));
    }
    cell.world.revoke_evacuation("dc-1");
    wait_for_evacuations(&cell, 1);
    expect_that!(cell.nodes[1].submit("accepted", "work:10", step(1)), ok(eq(&())));
    cell.wait_for_state(0, "accepted", JobState::Complete);
    for number in 0..2 {
        expect_that!(cell.world.targets.starts(&format!("refused-{number}")), eq(0));
    }
}

#[gtest]
fn evacuations_cost_no_further_reads_of_the_store() {
    /// Interval between reads of the configuration.
    const REREAD_INTERVAL: Duration = Duration::from_millis(2000);
    const INTERVALS: u32 = 3;
    let (with, without) = (start_cell(1, 1), Cell::start(1, 1));
    let prefixes = ["operator/", "operator/config", "operator/evacuate/"];
    let pages = |cell: &Cell| prefixes.map(|prefix| cell.world.store.page_requests(prefix));
    let before = (pages(&with), pages(&without));
    sleep(REREAD_INTERVAL * INTERVALS);
    let reads = |before: [u32; 3], after: [u32; 3]| {
        [after[0] - before[0], after[1] - before[1], after[2] - before[2]]
    };
    let with = reads(before.0, pages(&with));
    expect_that!(with, elements_are![le(INTERVALS), eq(0), eq(0)]);
    // A cell without evacuations reads only the configuration, as before.
    let without = reads(before.1, pages(&without));
    expect_that!(without, elements_are![eq(0), le(INTERVALS), eq(0)]);
}
