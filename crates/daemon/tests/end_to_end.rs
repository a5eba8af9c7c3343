//! Calls and jobs from request to result, and the refusal of invalid requests.

mod common;

use std::time::Duration;

use base::{Remedy, Verdict};
use common::*;
use googletest::prelude::*;
use rig::Rig;
use standin::Group;
use wire::pb::{self, change_request::Change};

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn calls_and_jobs_of_every_kind_complete_through_any_instance() {
    let accelerator_workers = Group {
        prefix: "accel".to_owned(),
        count: 2,
        accelerators: 4,
        labels: vec!["fast-net".to_owned()],
        ..workers("r1", 2, 16_000)
    };
    let rig =
        start(vec![workers("r1", 4, 8000), accelerator_workers], vec![runners("r1", 3, 4)]).await;
    rig.apply_schema(&schema_path()).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    for number in 0..3 {
        let client = rig.client(number, &key);
        let answer = client.call(FIND, &format!("spring {number}"), None).await;
        expect_that!(answer, ok(eq(&format!("spring {number}"))));
    }

    let client = rig.client(1, &key);
    let batch = client.submit("batch", batch_job(12, 1000, 50)).await.unwrap();
    let service = pb::Job {
        kind: pb::JobKind::Service.into(),
        most_per_rack: 1,
        declared_run_ms: 0,
        ..batch_job(2, 1000, 0)
    };
    let service = client.submit("service", service).await.unwrap();
    let gang = pb::Job {
        kind: pb::JobKind::Gang.into(),
        labels: vec!["fast-net".to_owned()],
        size: Some(pb::Resources { cpu_milli: 1000, memory_mib: 256, accelerators: 1 }),
        ..batch_job(8, 1000, 300)
    };
    let gang = client.submit("gang", gang).await.unwrap();

    // Every instance reports the status of a job, not only the one that accepted it.
    let other = rig.client(2, &key);
    let status = wait_for_job(&other, &batch.job, WAIT_TIMEOUT, |s| s.ended).await;
    expect_that!(status.succeeded, eq(12));
    let status = wait_for_job(&other, &gang.job, WAIT_TIMEOUT, |s| s.ended).await;
    expect_that!(status.succeeded, eq(8));
    let status = wait_for_job(&other, &service.job, WAIT_TIMEOUT, |s| s.running == 2).await;
    expect_that!(status.running, eq(2));

    let counts = rig.world.observer().counts();
    expect_that!(counts.two_places, eq(0));
    expect_that!(counts.overcommits, eq(0));
    let status = other.cancel(&service.job).await.unwrap();
    expect_that!(status.pending, eq(0));
    let status = wait_for_job(&other, &service.job, WAIT_TIMEOUT, |s| s.ended).await;
    expect_that!(status.stopped, eq(2));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn task_is_reported_as_running_only_after_its_start_on_the_worker() {
    // Delays the ledger write that precedes a start, so that a task has a worker for
    // a long time before it runs.
    let mut settings = fast_settings();
    settings["ledger"]["flush_ms"] = 1500.into();
    let rig = start_with_settings(settings, vec![workers("r1", 2, 4000)], vec![]).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    let client = rig.client(0, &key);
    // The first write of a ledger page is immediate, later writes are delayed.
    let first = client.submit("first", batch_job(1, 1000, 600_000)).await.unwrap().job;
    wait_for_job(&client, &first, WAIT_TIMEOUT, |s| s.running == 1).await;
    let second = client.submit("second", batch_job(4, 1000, 600_000)).await.unwrap().job;
    let mut max_starting = 0;
    let all_running = Rig::wait_until(WAIT_TIMEOUT, async || {
        let Ok(status) = client.job(&second).await else {
            return false;
        };
        // The observer is read after the status, so it counts at least the starts that
        // the status can report. The first job's task is the additional one.
        let started = rig.world.observer().counts().starts;
        expect_that!(status.running + 1, le(started), "{status:?}");
        max_starting = max_starting.max(status.starting);
        status.running == 4
    });
    expect_that!(all_running.await, some(anything()));
    expect_that!(max_starting, ge(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn cancelled_service_is_reported_as_stopping_until_its_tasks_end() {
    let rig = start(vec![workers("r1", 2, 4000)], vec![]).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    let client = rig.client(0, &key);
    let service =
        pb::Job { kind: pb::JobKind::Service.into(), declared_run_ms: 0, ..batch_job(2, 1000, 0) };
    let service = client.submit("service", service).await.unwrap().job;
    wait_for_job(&client, &service, WAIT_TIMEOUT, |s| s.running == 2).await;
    let status = client.cancel(&service).await.unwrap();
    expect_that!(status.running, eq(status.stopping), "{status:?}");
    expect_that!(status.pending + status.starting, eq(0), "{status:?}");
    let status = wait_for_job(&client, &service, WAIT_TIMEOUT, |s| s.ended).await;
    expect_that!((status.stopped, status.stopping, status.running), eq((2, 0, 0)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unplaceable_job_is_reported_and_repeated_submission_returns_the_same_job() {
    let rig = start(vec![workers("r1", 2, 4000)], vec![]).await;
    let key = rig.create_team("engineers", "r1", u32::MAX).await;
    let client = rig.client(0, &key);
    let reply = client.submit("big", batch_job(1, 64_000, 50)).await.unwrap();
    expect_that!(reply.unplaceable, contains_substring("too_small=2"));
    let again = rig.client(1, &key).submit("big", batch_job(1, 64_000, 50)).await.unwrap();
    expect_that!(again.job, eq(&reply.job));
    let conflict = client.submit("big", batch_job(2, 64_000, 50)).await.unwrap_err();
    expect_that!(conflict.remedy, eq(Remedy::Reread));
    expect_that!(conflict.verdict, eq(Verdict::NotRun));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_with_a_reason_and_have_no_effect() {
    let rig = start(vec![workers("r1", 1, 4000)], vec![runners("r1", 1, 2)]).await;
    rig.apply_schema(&schema_path()).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    let client = rig.client(0, &key);
    let operator = rig.operator_client(0);

    let jobs = [
        (pb::Job { tasks: 0, ..batch_job(1, 1, 1) }, "job.tasks"),
        (pb::Job { kind: 0, ..batch_job(1, 1, 1) }, "kind"),
        (pb::Job { size: None, ..batch_job(1, 1, 1) }, "job.size"),
        (pb::Job { payload: vec![0; 20_000].into(), ..batch_job(1, 1, 1) }, "job.payload"),
        (pb::Job { region: "nowhere".to_owned(), ..batch_job(1, 1, 1) }, "nowhere"),
    ];
    for (job, field) in jobs {
        let failure = client.submit("bad", job).await.unwrap_err();
        expect_that!(failure.reason, contains_substring(field));
        expect_that!(failure.verdict, eq(Verdict::NotRun));
    }
    let calls = [
        (client.call("/counter.Parts/Steal", "x", None).await, "no schema has the method"),
        (rig.client(0, "").call(FIND, "x", None).await, "a key is needed"),
        (rig.client(0, "ssk_wrong").call(FIND, "x", None).await, "not granted"),
        (client.call(FIND, &"x".repeat(2 << 20), None).await, "can't be read"),
        (rig.operator_client(0).call(FIND, "x", None).await, "a team's key is needed"),
    ];
    for (answer, reason) in calls {
        let failure = answer.unwrap_err();
        expect_that!(failure.reason, contains_substring(reason));
        expect_that!(failure.verdict, eq(Verdict::NotRun));
    }
    // A method with open access needs no key.
    expect_that!(rig.client(0, "").call(HOURS, "hours", None).await, ok(eq("hours")));

    let put_schema = |bytes: Vec<u8>| {
        Change::PutSchema(pb::PutSchema { name: "schema".to_owned(), descriptors: bytes.into() })
    };
    let failure = operator.change(put_schema(vec![1, 2, 3])).await.unwrap_err();
    expect_that!(failure.reason, contains_substring("descriptors"));
    let reserved = wire::DESCRIPTORS.to_vec();
    let failure = operator.change(put_schema(reserved)).await.unwrap_err();
    expect_that!(failure.reason, contains_substring("reserved"));
    let failure = client.configuration().await.unwrap_err();
    expect_that!(failure.reason, contains_substring("an operator's key is needed"));
    expect_that!(client.call(FIND, "still here", None).await, ok(eq("still here")));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn urgent_task_preempts_other_tasks_in_a_full_cell() {
    const URGENT_START_TIMEOUT: Duration = Duration::from_millis(7500);
    let rig = start(vec![workers("r1", 2, 4000)], vec![]).await;
    let key = rig.create_team("engineers", "r1", u32::MAX).await;
    let client = rig.client(0, &key);
    let background = pb::Job { urgency: pb::Urgency::Batch.into(), ..batch_job(40, 1000, 60_000) };
    let background = client.submit("background", background).await.unwrap();
    let full = wait_for_job(&client, &background.job, WAIT_TIMEOUT, |s| s.running == 8).await;
    assert_that!(full.running, eq(8));

    let urgent = pb::Job { urgency: pb::Urgency::Urgent.into(), ..batch_job(1, 2000, 100) };
    let urgent = client.submit("urgent", urgent).await.unwrap();
    let status =
        wait_for_job(&client, &urgent.job, URGENT_START_TIMEOUT, |s| s.succeeded == 1).await;
    expect_that!(status.succeeded, eq(1));
    let counts = rig.world.observer().counts();
    expect_that!(counts.overcommits, eq(0));
    expect_that!(counts.two_places, eq(0));
    // The preempted tasks run again.
    let full = wait_for_job(&client, &background.job, WAIT_TIMEOUT, |s| s.running == 8).await;
    expect_that!(full.running, eq(8));
    expect_that!(full.stopped, eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn jobs_of_other_teams_are_not_found() {
    let rig: Rig = start(vec![workers("r1", 1, 4000)], vec![]).await;
    let ours = rig.create_team("ours", "r1", u32::MAX).await;
    let theirs = rig.create_team("theirs", "r1", u32::MAX).await;
    let job = rig.client(0, &ours).submit("a", batch_job(1, 100, 50)).await.unwrap().job;
    let failure = rig.client(0, &theirs).job(&job).await.unwrap_err();
    expect_that!(failure.remedy, eq(Remedy::Find));
    let failure = rig.client(0, &theirs).cancel(&job).await.unwrap_err();
    expect_that!(failure.remedy, eq(Remedy::Find));
}
