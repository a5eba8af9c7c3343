//! Limits of teams across regions, shares of a full cell, and gangs in a full cell.

mod common;

use std::time::Duration;

use common::*;
use googletest::prelude::*;
use wire::pb::{self, change_request::Change};

/// Adds the team to the payload of a job's tasks, from which the observer counts the
/// CPU of the team.
fn with_team_payload(job: pb::Job, team: &str) -> pb::Job {
    pb::Job { payload: format!(r#"{{"team":"{team}"}}"#).into(), ..job }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn limit_of_a_team_holds_across_regions() {
    const CPU_LIMIT_MILLI: u32 = 6000;
    let rig = start_in_regions(
        &["r1", "r2", "r1"],
        vec![workers("r1", 4, 4000), workers("r2", 4, 4000)],
        vec![],
    )
    .await;
    let key = rig.create_team("engineers", "r1", CPU_LIMIT_MILLI).await;
    let client = rig.client(0, &key);
    let mut jobs = Vec::new();
    for (number, region) in ["r1", "r2", "r1", "r2"].into_iter().enumerate() {
        let job = pb::Job { region: region.to_owned(), ..batch_job(20, 500, 300) };
        let job = with_team_payload(job, "engineers");
        jobs.push(client.submit(&format!("job-{number}"), job).await.unwrap().job);
    }
    for job in &jobs {
        let status = wait_for_job(&client, job, Duration::from_secs(60), |s| s.ended).await;
        expect_that!(status.succeeded, eq(20), "{status:?}");
    }
    let max_cpu_milli = rig.world.observer().counts().most_cpu_milli["engineers"];
    expect_that!(max_cpu_milli, le(u64::from(CPU_LIMIT_MILLI)));
    // The team also reaches at least half of its limit.
    expect_that!(max_cpu_milli, ge(u64::from(CPU_LIMIT_MILLI) / 2));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn whole_limit_is_available_in_one_region() {
    let rig = start_in_regions(
        &["r1", "r2"],
        vec![workers("r1", 4, 4000), workers("r2", 1, 4000)],
        vec![],
    )
    .await;
    let key = rig.create_team("engineers", "r1", 8000).await;
    let client = rig.client(1, &key);
    // First the other region gets the whole limit as its allowance, for a job there.
    let remote_job = pb::Job { region: "r2".to_owned(), ..batch_job(8, 500, 500) };
    let remote_id = client.submit("there", remote_job).await.unwrap().job;
    wait_for_job(&client, &remote_id, WAIT_TIMEOUT, |s| s.ended).await;
    let local = client
        .submit("here", with_team_payload(batch_job(16, 500, 60_000), "engineers"))
        .await
        .unwrap();
    let status = wait_for_job(&client, &local.job, WAIT_TIMEOUT, |s| s.running == 16).await;
    expect_that!(status.running, eq(16), "{status:?}");
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn lowered_limit_preempts_the_tasks_above_it() {
    let rig = start(vec![workers("r1", 2, 4000)], vec![]).await;
    let key = rig.create_team("engineers", "r1", 8000).await;
    let client = rig.client(0, &key);
    let job = client.submit("long", batch_job(8, 1000, 600_000)).await.unwrap().job;
    let status = wait_for_job(&client, &job, WAIT_TIMEOUT, |s| s.running == 8).await;
    assert_that!(status.running, eq(8));
    rig.operator_client(0).put_team("engineers", "r1", 3000).await.unwrap();
    let status = wait_for_job(&client, &job, WAIT_TIMEOUT, |s| s.running == 3).await;
    expect_that!(status.running, eq(3));
    expect_that!(status.pending, eq(5));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn full_cell_is_divided_in_proportion_to_shares() {
    let rig = start(vec![workers("r1", 4, 4000)], vec![]).await;
    let one = rig.create_team("one", "r1", u32::MAX).await;
    let three = rig.create_team("three", "r1", u32::MAX).await;
    let put = pb::PutTeam {
        name: "three".to_owned(),
        share: 3,
        limit: None,
        calls: 100,
        home_region: "r1".to_owned(),
    };
    rig.operator_client(0).change(Change::PutTeam(put)).await.unwrap();
    let first =
        rig.client(0, &one).submit("first", batch_job(40, 1000, 600_000)).await.unwrap().job;
    let full = wait_for_job(&rig.client(0, &one), &first, WAIT_TIMEOUT, |s| s.running == 16).await;
    assert_that!(full.running, eq(16));
    // The second team submits to a cell that the first team has filled.
    let second =
        rig.client(1, &three).submit("second", batch_job(40, 1000, 600_000)).await.unwrap().job;
    let timeout = Duration::from_secs(60);
    let status = wait_for_job(&rig.client(1, &three), &second, timeout, |s| s.running >= 11).await;
    expect_that!(status.running, all!(ge(11), le(13)), "{status:?}");
    // The teams don't preempt each other's tasks in turn.
    let before = rig.world.observer().counts().starts;
    tokio::time::sleep(Duration::from_secs(8)).await;
    expect_that!(rig.world.observer().counts().starts - before, le(2));
    expect_that!(rig.world.observer().counts().overcommits, eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn gangs_are_placed_in_a_cell_full_of_small_tasks() {
    let rig = start(vec![workers("r1", 4, 4000)], vec![]).await;
    let key = rig.create_team("engineers", "r1", u32::MAX).await;
    let client = rig.client(0, &key);
    // More small tasks than fit into the cell at once; none may be preempted, since
    // they are not idempotent.
    let small = pb::Job { idempotent: false, ..batch_job(600, 1000, 400) };
    let small = client.submit("small", small).await.unwrap().job;
    wait_for_job(&client, &small, WAIT_TIMEOUT, |s| s.starting + s.running == 16).await;
    let gang = |size| pb::Job {
        kind: pb::JobKind::Gang.into(),
        idempotent: false,
        ..batch_job(2, size, 300)
    };
    let a = client.submit("gang-a", gang(4000)).await.unwrap().job;
    let b = client.submit("gang-b", gang(4000)).await.unwrap().job;
    for job in [a, b] {
        let status = wait_for_job(&client, &job, Duration::from_secs(60), |s| s.ended).await;
        expect_that!(status.succeeded, eq(2), "{status:?}");
    }
    let counts = rig.world.observer().counts();
    expect_that!(counts.overcommits, eq(0));
    expect_that!(counts.two_places, eq(0));
}
