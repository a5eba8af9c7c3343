//! Causes of lost jobs, as determined from log lines.

use gauge::losses::{Cause, Line, Losses, Timeliness};
use googletest::prelude::*;

/// Objective of all jobs in these tests.
const OBJECTIVE_MS: u32 = 2000;

fn accepted(at_s: f64, job: &str) -> String {
    format!(
        r#"{at_s} node {{"event":200,"job":"{job}","queue":"quote","team":"a","objective_ms":{OBJECTIVE_MS}}}"#
    )
}

fn event(at_s: f64, code: u16, job: &str, more: &str) -> String {
    format!(r#"{at_s} node {{"event":{code},"job":"{job}"{more}}}"#)
}

/// Returns the log lines of a job with the given times: accepted, advised,
/// started, last run ended, job reported as ended.
fn job(id: &str, times: [f64; 5]) -> Vec<String> {
    let [accepted_s, advised_s, started_s, last_run_end_s, ended_s] = times;
    vec![
        accepted(accepted_s, id),
        event(advised_s, 540, id, ""),
        event(started_s, 530, id, ""),
        event(last_run_end_s, 533, id, r#","end":"Done""#),
        event(ended_s, 201, id, r#","state":"Complete""#),
    ]
}

fn losses_of(lines: &[String]) -> Losses {
    Losses::from_lines(lines.iter().filter_map(|line| Line::parse(line)))
}

fn causes(losses: &Losses) -> Vec<(Timeliness, Cause)> {
    losses.losses.iter().map(|loss| (loss.timeliness, loss.cause.clone())).collect()
}

#[gtest]
fn cause_of_a_late_job_is_its_longest_wait() {
    let cases = [
        ([0.0, 0.1, 0.2, 1.2, 1.3], None),
        ([0.0, 2.0, 2.1, 3.0, 3.1], Some((Timeliness::Late, Cause::AdviceWait))),
        ([0.0, 0.1, 2.5, 3.4, 3.5], Some((Timeliness::Late, Cause::CapacityWait))),
        ([0.0, 0.1, 0.2, 1.2, 3.9], Some((Timeliness::Late, Cause::EndReport))),
        ([0.0, 0.1, 0.2, 9.0, 9.1], Some((Timeliness::Missed, Cause::Execution))),
    ];
    for (times, lost) in cases {
        let losses = losses_of(&job("job", times));
        expect_that!(causes(&losses), eq(&lost.into_iter().collect::<Vec<_>>()), "{times:?}");
        expect_that!(losses.job_counts["quote"], eq(1), "{times:?}");
    }
}

#[gtest]
fn reruns_and_takeovers_are_distinct_causes() {
    let mut rerun = job("again", [0.0, 0.1, 0.2, 0.5, 4.0]);
    rerun.insert(4, event(0.5, 533, "again", r#","end":"Failed""#));
    rerun.insert(5, event(3.0, 530, "again", ""));
    rerun.insert(6, event(3.9, 533, "again", r#","end":"Done""#));
    expect_that!(causes(&losses_of(&rerun)), elements_are![eq(&(Timeliness::Late, Cause::Rerun))]);
    let mut after_takeover = job("job", [0.0, 2.0, 2.1, 3.0, 3.1]);
    after_takeover.push(r#"1.5 other {"event":500,"term":2}"#.to_owned());
    let losses = losses_of(&after_takeover);
    expect_that!(causes(&losses), elements_are![eq(&(Timeliness::Late, Cause::Takeover))]);
}

#[gtest]
fn refused_job_counts_once_unless_accepted_later() {
    let refusal = |at_s: f64, job: &str, why: &str| {
        event(at_s, 520, job, &format!(r#","request":"submit","why":"{why}""#))
    };
    let mut lines = vec![
        refusal(1.0, "refused", "first"),
        refusal(2.0, "refused", "last"),
        refusal(1.0, "accepted", "first"),
    ];
    lines.extend(job("accepted", [2.0, 2.1, 2.2, 3.0, 3.1]));
    let losses = losses_of(&lines);
    let last = Cause::Refused("last".to_owned());
    expect_that!(causes(&losses), elements_are![eq(&(Timeliness::Missed, last))]);
}

#[gtest]
fn cancelled_jobs_and_jobs_still_within_their_objective_are_not_counted() {
    let mut lines = vec![accepted(0.0, "cancelled"), event(0.5, 202, "cancelled", "")];
    lines.push(accepted(9.0, "new"));
    lines.push(event(10.0, 530, "new", ""));
    let losses = losses_of(&lines);
    expect_that!(losses.job_counts, is_empty());
    expect_that!(losses.losses, is_empty());
}

#[gtest]
fn job_that_never_ends_is_lost() {
    let mut lines = job("job", [0.0, 0.1, 0.2, 0.3, 0.4])[..3].to_vec();
    lines.push(r#"60 other {"event":101}"#.to_owned());
    let losses = losses_of(&lines);
    expect_that!(causes(&losses), elements_are![eq(&(Timeliness::Missed, Cause::Unfinished))]);
}

#[gtest]
fn foreign_and_malformed_lines_are_skipped() {
    let lines = ["", "day  own/srv", "{", r#"1.0 node {"event":"x"}"#, r#"{"msg":"no event"}"#];
    for line in lines {
        expect_that!(Line::parse(line), none(), "{line}");
    }
    // Without a time before the JSON object, the time of day in `ts` applies.
    let line = Line::parse(r#"{"event":500,"ts":"2026-05-21T00:01:08.5Z"}"#);
    expect_that!(line.map(|line| line.at_s), some(eq(68.5)));
}

#[gtest]
fn report_lists_queues_causes_and_teams() {
    let report = losses_of(&job("job", [0.0, 0.1, 2.5, 3.4, 3.5])).report();
    for word in ["quote", "waited for room", "late"] {
        expect_that!(report, contains_substring(word));
    }
}
