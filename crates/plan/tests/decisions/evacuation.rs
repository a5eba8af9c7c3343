//! Evacuated data centres.

use std::{sync::Arc, time::Duration};

use base::Name;
use googletest::prelude::*;
use plan::{EvacuationChange, Settings, Start, StartAnswer};
use work::{Advice, End, Evacuations, JobState, Step};

use crate::cell::{Cell, OTHER_QUEUE, QUEUE, step};

const MAX_AGE: Duration = Duration::from_millis(3500);

/// Time for which a cold target stays slow.
const COLD_TIME: Duration = Duration::from_secs(20);

/// Returns a cell of targets, each in a data centre of its own: `dc-0` and so on.
fn cell(targets: u32) -> Cell {
    let settings = Settings { max_evacuation_age: Some(MAX_AGE), ..Settings::default() };
    let mut cell = Cell::with_settings(targets, settings);
    cell.update_targets(|info| info.data_centre = data_centre_of(&info.id));
    evacuate(&mut cell, &[]);
    cell
}

fn data_centre_of(target: &str) -> Name {
    Name::from(target.replace("target", "dc"))
}

fn evacuate(cell: &mut Cell, data_centres: &[&str]) -> Vec<EvacuationChange> {
    let data_centres = data_centres.iter().map(|name| Name::from(*name)).collect();
    let set = Arc::new(Evacuations { revision: 7, data_centres });
    cell.planner.evacuate(set, Some(cell.now), cell.now)
}

fn start_all(cell: &mut Cell) -> Vec<Start> {
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    starts
}

fn targets(starts: &[Start]) -> Vec<&str> {
    starts.iter().map(|start| &*start.target).collect()
}

#[gtest]
fn nothing_starts_in_evacuated_data_centres_and_their_runs_stay() {
    let mut cell = cell(3);
    cell.accept("job", vec![step(40)]);
    let running = start_all(&mut cell);
    expect_that!(running.len(), eq(24));
    let changes = evacuate(&mut cell, &["dc-0", "dc-1"]);
    let in_force = |data_centre: &str| EvacuationChange {
        data_centre: Name::from(data_centre),
        is_in_force: true,
        revision: 7,
        age: Some(Duration::ZERO),
        targets: 1,
        runs: 8,
    };
    expect_that!(changes, eq(&vec![in_force("dc-0"), in_force("dc-1")]));
    expect_that!(cell.planner.evacuated_runs(), eq(16));
    expect_that!(cell.planner.may_start_on("target-0"), eq(false));
    expect_that!(cell.planner.may_start_on("target-2"), eq(true));
    for start in &running {
        cell.end_run(start, End::Done);
    }
    let starts = start_all(&mut cell);
    expect_that!(targets(&starts), each(eq(&"target-2")));
    expect_that!(starts.len(), eq(8));
    expect_that!(cell.take_stops(), is_empty());
    // Revoking one of them makes its target usable in the next round.
    expect_that!(evacuate(&mut cell, &["dc-1"]).len(), eq(1));
    let starts = start_all(&mut cell);
    expect_that!(targets(&starts), each(eq(&"target-0")));
    expect_that!(starts.len(), eq(8));
}

#[gtest]
fn evacuation_leaves_the_runs_of_its_targets_in_the_account() {
    // A run there still counts for its task, which must not start elsewhere.
    let mut cell = cell(2);
    cell.accept("job", vec![step(1)]);
    let running = start_all(&mut cell);
    evacuate(&mut cell, &[&data_centre_of(&running[0].target)]);
    cell.list_running(&running);
    expect_that!(cell.decide_starts(), is_empty());
    expect_that!(cell.take_stops(), is_empty());
    cell.end_run(&running[0], End::Done);
    cell.record();
    expect_that!(cell.state("job"), eq(JobState::Complete));
}

#[gtest]
fn long_running_and_checkpointed_tasks_go_on_elsewhere_once_they_have_ended() {
    for step in [Step { long_running: true, ..step(1) }, Step { checkpoints: true, ..step(1) }] {
        let mut cell = cell(2);
        cell.accept("job", vec![step]);
        let running = start_all(&mut cell);
        let evacuated = running[0].target.clone();
        evacuate(&mut cell, &[&data_centre_of(&evacuated)]);
        cell.stop_with_checkpoint(&running[0], "half");
        let again = start_all(&mut cell);
        expect_that!(again.len(), eq(1));
        expect_that!(again[0].target, not(eq(&evacuated)));
        expect_that!(again[0].checkpoint, some(eq(&Name::from("half"))));
    }
}

#[gtest]
fn gang_starts_elsewhere_as_a_whole() {
    let mut cell = cell(2);
    evacuate(&mut cell, &["dc-0"]);
    // Without the evacuation, nine members fit on both targets together.
    cell.accept("large", vec![Step { gang: true, ..step(9) }]);
    expect_that!(cell.decide_starts(), is_empty());
    cell.accept("gang", vec![Step { gang: true, ..step(8) }]);
    let starts = start_all(&mut cell);
    expect_that!(starts.len(), eq(8));
    expect_that!(targets(&starts), each(eq(&"target-1")));
}

#[gtest]
fn step_that_needs_a_label_of_an_evacuated_data_centre_waits() {
    let mut cell = cell(2);
    cell.update_targets(|info| {
        info.data_centre = data_centre_of(&info.id);
        if &*info.id == "target-0" {
            info.labels = [Name::from("label")].into_iter().collect();
        }
    });
    evacuate(&mut cell, &["dc-0"]);
    cell.accept("job", vec![Step { label: Some(Name::from("label")), ..step(1) }]);
    for _ in 0..60 {
        cell.advance(Duration::from_secs(1));
        cell.list_nothing_on_others("");
        evacuate_again(&mut cell, &["dc-0"]);
        expect_that!(cell.decide_starts(), is_empty());
    }
    expect_that!(cell.state("job"), eq(JobState::Queued));
    evacuate(&mut cell, &[]);
    cell.planner.targets_confirmed(cell.now);
    expect_that!(targets(&cell.decide_starts()), elements_are![eq(&"target-0")]);
}

/// Confirms the evacuations.
fn evacuate_again(cell: &mut Cell, data_centres: &[&str]) {
    expect_that!(evacuate(cell, data_centres), is_empty());
}

#[gtest]
fn nothing_starts_without_a_recent_confirmation() {
    let settings = Settings { max_evacuation_age: Some(MAX_AGE), ..Settings::default() };
    let mut cell = Cell::with_settings(1, settings);
    cell.accept("job", vec![step(2)]);
    // A new leader knows nothing yet.
    expect_that!(cell.decide_starts(), is_empty());
    evacuate(&mut cell, &[]);
    let first = start_all(&mut cell);
    expect_that!(first.len(), eq(2));
    cell.advance(MAX_AGE);
    cell.list_running(&first);
    cell.accept("next", vec![step(2)]);
    expect_that!(cell.planner.are_evacuations_current(cell.now), eq(false));
    expect_that!(cell.decide_starts(), is_empty());
    // What runs is still stopped when its job is cancelled.
    cell.cancel("job");
    expect_that!(cell.take_stops().len(), eq(2));
    evacuate(&mut cell, &[]);
    expect_that!(cell.decide_starts().len(), eq(2));
}

#[gtest]
fn cells_without_evacuations_need_no_confirmation() {
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(2)]);
    expect_that!(cell.decide_starts().len(), eq(2));
}

#[gtest]
fn target_that_moves_or_joins_during_an_evacuation_gets_no_work() {
    let mut cell = cell(2);
    evacuate(&mut cell, &["other"]);
    cell.update_targets(|info| info.data_centre = Name::from("other"));
    cell.accept("job", vec![step(2)]);
    expect_that!(cell.decide_starts(), is_empty());
}

#[gtest]
fn no_advice_is_requested_on_evacuated_targets() {
    let mut cell = cell(2);
    cell.set_advice(QUEUE, Advice { request_us: 20_000, target_us: 100, valid_ms: 1500 });
    cell.planner.set_instances(1, cell.now);
    evacuate(&mut cell, &["dc-0"]);
    cell.accept("job", vec![step(20)]);
    cell.accept("gang", vec![Step { gang: true, ..step(4) }]);
    cell.decide_starts();
    let requests = cell.take_advice_requests();
    expect_that!(requests, not(is_empty()));
    for request in requests {
        expect_that!(request.targets, each(eq(&Name::from("target-1"))));
    }
}

#[gtest]
fn no_room_is_made_or_kept_on_evacuated_targets() {
    let mut cell = cell(2);
    cell.add_low_priority_queue(OTHER_QUEUE, Duration::from_secs(30));
    cell.accept_in(OTHER_QUEUE, "patient", vec![Step { checkpoints: true, ..step(16) }]);
    let running = start_all(&mut cell);
    expect_that!(running.len(), eq(16));
    evacuate(&mut cell, &["dc-0"]);
    // Room for twelve members could only be made on both targets.
    cell.accept("large", vec![Step { gang: true, ..step(12) }]);
    expect_that!(cell.decide_starts(), is_empty());
    expect_that!(cell.take_stops(), is_empty());
    cell.accept("gang", vec![Step { gang: true, ..step(4) }]);
    expect_that!(cell.decide_starts(), is_empty());
    let stops = cell.take_stops();
    expect_that!(stops.len(), eq(4));
    expect_true!(stops.iter().all(|stop| &*stop.target == "target-1"));
    // An evacuation that begins while the room is being made ends the
    // reservation. The room then is on no target that may take the gang.
    evacuate(&mut cell, &["dc-0", "dc-1"]);
    for stop in &stops {
        let start = running.iter().find(|start| start.task == stop.task);
        cell.stop_with_checkpoint(start.expect("only started runs are stopped"), "half");
    }
    expect_that!(cell.decide_starts(), is_empty());
    evacuate(&mut cell, &["dc-0"]);
    let starts = cell.decide_starts();
    expect_that!(starts.len(), eq(4));
    expect_true!(starts.iter().all(|start| &*start.task.step.job == "gang"));
}

#[gtest]
fn suspected_targets_there_get_no_probes() {
    /// Longest back-off before a probe.
    const MAX_BACKOFF: Duration = Duration::from_secs(31);
    let mut cell = cell(1);
    for job in ["first", "second"] {
        cell.accept(job, vec![step(2)]);
        for start in start_all(&mut cell) {
            cell.end_run(&start, End::Failed);
        }
    }
    evacuate(&mut cell, &["dc-0"]);
    cell.advance(MAX_BACKOFF);
    cell.list_nothing_on_others("");
    evacuate_again(&mut cell, &["dc-0"]);
    expect_that!(cell.decide_starts(), is_empty());
    evacuate(&mut cell, &[]);
    // A target gets one probe in a round, though two steps wait.
    expect_that!(cell.decide_starts().len(), eq(1));
}

#[gtest]
fn admission_counts_only_targets_that_may_get_work() {
    let mut cell = cell(2);
    cell.advance(Duration::from_secs(4));
    cell.list_nothing_on_others("");
    evacuate(&mut cell, &[]);
    // Takes both targets 6.5 s beside what starts at once, one target 13 s; jobs
    // wait up to 10 s.
    cell.accept("job", vec![Step { estimate_ms: 2000, ..step(60) }]);
    expect_that!(cell.refusing_queues(), is_empty());
    evacuate(&mut cell, &["dc-1"]);
    expect_that!(cell.refusing_queues(), elements_are![eq(QUEUE)]);
    evacuate(&mut cell, &[]);
    expect_that!(cell.refusing_queues(), is_empty());
}

#[gtest]
fn pools_tell_the_data_centres_of_their_listed_targets() {
    let mut cell = cell(2);
    let pools = |cell: &Cell| cell.planner.pool_data_centres();
    let both = vec![Name::from("dc-0"), Name::from("dc-1")];
    expect_that!(pools(&cell), eq(&vec![(Name::from("pool"), both)]));
    cell.update_targets(|info| info.data_centre = Name::from("same"));
    expect_that!(pools(&cell), eq(&vec![(Name::from("pool"), vec![Name::from("same")])]));
}

/// Lists the targets, of which the last is cold.
fn list_cold(cell: &mut Cell, cold: &str, left: Duration) {
    cell.update_targets(|info| {
        info.data_centre = data_centre_of(&info.id);
        if &*info.id == cold {
            info.cold_left = left;
        }
    });
}

/// Returns the targets of the starts of a job.
fn targets_of<'a>(starts: &'a [Start], job: &str) -> Vec<&'a str> {
    let of_job = starts.iter().filter(|start| &*start.task.step.job == job);
    of_job.map(|start| &*start.target).collect()
}

#[gtest]
fn cold_target_goes_to_tasks_with_slack_first() {
    const PATIENT: &str = "patient queue";
    let mut cell = cell(2);
    cell.add_low_priority_queue(PATIENT, Duration::from_secs(60));
    evacuate(&mut cell, &["dc-0", "dc-1"]);
    // The objective is twice the work and 1 s, so there is little slack.
    cell.accept("tight", vec![Step { estimate_ms: 5000, ..step(12) }]);
    cell.accept_in(PATIENT, "patient", vec![Step { estimate_ms: 5000, ..step(6) }]);
    list_cold(&mut cell, "target-1", COLD_TIME);
    expect_that!(cell.decide_starts(), is_empty());
    evacuate(&mut cell, &[]);
    // The tight job ranks first and fills the warm target. Its other tasks get
    // what those with slack leave of the cold one.
    let starts = start_all(&mut cell);
    expect_that!(targets_of(&starts, "patient").len(), eq(6));
    expect_that!(targets_of(&starts, "patient"), each(eq(&"target-1")));
    let tight = targets_of(&starts, "tight");
    expect_that!(tight.iter().filter(|target| **target == "target-0").count(), eq(8));
    expect_that!(tight.iter().filter(|target| **target == "target-1").count(), eq(2));
}

#[gtest]
fn target_is_cold_until_its_time_has_passed() {
    let mut cell = cell(2);
    list_cold(&mut cell, "target-0", COLD_TIME);
    let tight = || Step { estimate_ms: 5000, ..step(1) };
    cell.accept("first", vec![tight()]);
    expect_that!(targets(&start_all(&mut cell)), elements_are![eq(&"target-1")]);
    // A repeated description doesn't make the time begin anew.
    cell.advance(COLD_TIME);
    list_cold(&mut cell, "target-0", COLD_TIME);
    cell.list_nothing_on_others("");
    evacuate(&mut cell, &[]);
    cell.accept("filler", vec![Step { estimate_ms: 5000, ..step(16) }]);
    let starts = cell.decide_starts();
    expect_that!(targets(&starts)[0], eq("target-0"));
}

#[gtest]
fn gang_without_slack_takes_cold_targets_last() {
    let mut cell = cell(2);
    list_cold(&mut cell, "target-0", COLD_TIME);
    cell.accept("gang", vec![Step { gang: true, estimate_ms: 5000, ..step(10) }]);
    let starts = cell.decide_starts();
    let warm = targets(&starts).into_iter().filter(|target| *target == "target-1").count();
    expect_that!((starts.len(), warm), eq((10, 8)));
}

#[gtest]
fn room_on_evacuated_targets_does_not_count_as_spare_capacity() {
    // Late work goes first while much of the cell is free. If the free room of an
    // evacuated data centre counted, late work would go before work in time on the
    // targets that are left.
    let mut cell = cell(2);
    evacuate(&mut cell, &["dc-0"]);
    cell.accept("running", vec![step(8)]);
    let running = start_all(&mut cell);
    cell.accept("late", vec![step(4)]);
    cell.advance(Duration::from_secs(4));
    cell.list_nothing_as_of("target-0", cell.now);
    cell.list_running(&running);
    evacuate_again(&mut cell, &["dc-0"]);
    cell.accept("in time", vec![step(4)]);
    cell.end_run(&running[0], End::Done);
    let starts = cell.decide_starts();
    expect_that!(targets_of(&starts, "in time").len(), eq(1));
    expect_that!(targets_of(&starts, "late"), is_empty());
}
