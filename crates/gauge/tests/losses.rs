//! What the report of losses reads from logs.

use gauge::losses::{Cause, Fate, Line, Losses};
use googletest::prelude::*;

/// Objective of all jobs here, in milliseconds.
const OBJECTIVE_MS: u32 = 2000;

fn accepted(at_s: f64, job: &str) -> String {
    format!(
        r#"{at_s} node {{"event":200,"job":"{job}","queue":"quote","team":"a","objective_ms":{OBJECTIVE_MS}}}"#
    )
}

fn event(at_s: f64, code: u16, job: &str, more: &str) -> String {
    format!(r#"{at_s} node {{"event":{code},"job":"{job}"{more}}}"#)
}

/// The lines of a job by its times: accepted, advised, started, its last run
/// ended, told as ended.
fn job(id: &str, times: [f64; 5]) -> Vec<String> {
    let [accepted_s, advised_s, started_s, last_s, told_s] = times;
    vec![
        accepted(accepted_s, id),
        event(advised_s, 540, id, ""),
        event(started_s, 530, id, ""),
        event(last_s, 533, id, r#","end":"Done""#),
        event(told_s, 201, id, r#","state":"Complete""#),
    ]
}

fn gather(lines: &[String]) -> Losses {
    Losses::gather(lines.iter().filter_map(|line| Line::read(line)))
}

fn causes(losses: &Losses) -> Vec<(Fate, Cause)> {
    losses.losses.iter().map(|loss| (loss.fate, loss.cause.clone())).collect()
}

#[gtest]
fn a_job_that_is_late_lost_by_what_took_the_most_time() {
    let cases = [
        ([0.0, 0.1, 0.2, 1.2, 1.3], None),
        ([0.0, 2.0, 2.1, 3.0, 3.1], Some((Fate::Late, Cause::Advice))),
        ([0.0, 0.1, 2.5, 3.4, 3.5], Some((Fate::Late, Cause::Room))),
        ([0.0, 0.1, 0.2, 1.2, 3.9], Some((Fate::Late, Cause::EndTold))),
        ([0.0, 0.1, 0.2, 9.0, 9.1], Some((Fate::Useless, Cause::Work))),
    ];
    for (times, lost) in cases {
        let losses = gather(&job("job", times));
        expect_that!(causes(&losses), eq(&lost.into_iter().collect::<Vec<_>>()), "{times:?}");
        expect_that!(losses.counted["quote"], eq(1), "{times:?}");
    }
}

#[gtest]
fn what_is_done_again_and_what_waits_for_a_leader_is_told_apart() {
    let mut again = job("again", [0.0, 0.1, 0.2, 0.5, 4.0]);
    again.insert(4, event(0.5, 533, "again", r#","end":"Failed""#));
    again.insert(5, event(3.0, 530, "again", ""));
    again.insert(6, event(3.9, 533, "again", r#","end":"Done""#));
    expect_that!(causes(&gather(&again)), elements_are![eq(&(Fate::Late, Cause::DoneAgain))]);
    let mut taken_over = job("job", [0.0, 2.0, 2.1, 3.0, 3.1]);
    taken_over.push(r#"1.5 other {"event":500,"term":2}"#.to_owned());
    let losses = gather(&taken_over);
    expect_that!(causes(&losses), elements_are![eq(&(Fate::Late, Cause::Takeover))]);
}

#[gtest]
fn what_was_refused_counts_once_and_not_if_it_was_accepted_after_all() {
    let refusal = |at_s: f64, job: &str, why: &str| {
        event(at_s, 520, job, &format!(r#","request":"submit","why":"{why}""#))
    };
    let mut lines = vec![
        refusal(1.0, "refused", "first"),
        refusal(2.0, "refused", "last"),
        refusal(1.0, "accepted", "first"),
    ];
    lines.extend(job("accepted", [2.0, 2.1, 2.2, 3.0, 3.1]));
    let losses = gather(&lines);
    let last = Cause::Refused("last".to_owned());
    expect_that!(causes(&losses), elements_are![eq(&(Fate::Useless, last))]);
}

#[gtest]
fn what_was_cancelled_or_has_time_left_is_not_counted() {
    let mut lines = vec![accepted(0.0, "cancelled"), event(0.5, 202, "cancelled", "")];
    lines.push(accepted(9.0, "new"));
    lines.push(event(10.0, 530, "new", ""));
    let losses = gather(&lines);
    expect_that!(losses.counted, is_empty());
    expect_that!(losses.losses, is_empty());
}

#[gtest]
fn a_job_that_never_ends_is_lost() {
    let mut lines = job("job", [0.0, 0.1, 0.2, 0.3, 0.4])[..3].to_vec();
    lines.push(r#"60 other {"event":101}"#.to_owned());
    let losses = gather(&lines);
    expect_that!(causes(&losses), elements_are![eq(&(Fate::Useless, Cause::Unfinished))]);
}

#[gtest]
fn lines_of_others_and_malformed_ones_are_passed_over() {
    let lines = ["", "day  own/srv", "{", r#"1.0 node {"event":"x"}"#, r#"{"msg":"no event"}"#];
    for line in lines {
        expect_that!(Line::read(line), none(), "{line}");
    }
    // Without a time before it, the time of day counts.
    let line = Line::read(r#"{"event":500,"ts":"2026-05-21T00:01:08.5Z"}"#);
    expect_that!(line.map(|line| line.at_s), some(eq(68.5)));
}

#[gtest]
fn the_report_names_queues_causes_and_teams() {
    let report = gather(&job("job", [0.0, 0.1, 2.5, 3.4, 3.5])).report();
    for word in ["quote", "waited for room", "late"] {
        expect_that!(report, contains_substring(word));
    }
}
