//! Upper limits across regions, shares, and work that starts together.

mod common;

use std::time::Duration;

use common::*;
use googletest::prelude::*;
use wire::pb::{self, change_request::Change};

/// The observer knows a team by what its tasks carry.
fn observed(job: pb::Job, team: &str) -> pb::Job {
    pb::Job { payload: format!(r#"{{"team":"{team}"}}"#).into(), ..job }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_team_never_runs_more_than_its_limit_in_two_regions_together() {
    const LIMIT_MILLI: u32 = 6000;
    let rig =
        start_in(&["r1", "r2", "r1"], vec![workers("r1", 4, 4000), workers("r2", 4, 4000)], vec![])
            .await;
    let key = rig.create_team("engineers", "r1", LIMIT_MILLI).await;
    let client = rig.client(0, &key);
    let mut jobs = Vec::new();
    for (number, region) in ["r1", "r2", "r1", "r2"].into_iter().enumerate() {
        let job = pb::Job { region: region.to_owned(), ..batch(20, 500, 300) };
        let job = observed(job, "engineers");
        jobs.push(client.submit(&format!("job-{number}"), job).await.unwrap().job);
    }
    for job in &jobs {
        let status = wait_job(&client, job, Duration::from_secs(60), |s| s.ended).await;
        expect_that!(status.succeeded, eq(20), "{status:?}");
    }
    let most = rig.world.observer().seen().most_cpu_milli["engineers"];
    expect_that!(most, le(u64::from(LIMIT_MILLI)));
    // The limit is used, not only kept.
    expect_that!(most, ge(u64::from(LIMIT_MILLI) / 2));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_whole_limit_is_there_for_work_in_one_region() {
    let rig =
        start_in(&["r1", "r2"], vec![workers("r1", 4, 4000), workers("r2", 1, 4000)], vec![]).await;
    let key = rig.create_team("engineers", "r1", 8000).await;
    let client = rig.client(1, &key);
    // First all of it is held in the other region.
    let there = pb::Job { region: "r2".to_owned(), ..batch(8, 500, 500) };
    let there = client.submit("there", there).await.unwrap().job;
    wait_job(&client, &there, SOON, |s| s.ended).await;
    let here = client.submit("here", observed(batch(16, 500, 60_000), "engineers")).await.unwrap();
    let status = wait_job(&client, &here.job, SOON, |s| s.running == 16).await;
    expect_that!(status.running, eq(16), "{status:?}");
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_lowered_limit_takes_back_what_runs_above_it() {
    let rig = start(vec![workers("r1", 2, 4000)], vec![]).await;
    let key = rig.create_team("engineers", "r1", 8000).await;
    let client = rig.client(0, &key);
    let job = client.submit("long", batch(8, 1000, 600_000)).await.unwrap().job;
    let status = wait_job(&client, &job, SOON, |s| s.running == 8).await;
    assert_that!(status.running, eq(8));
    rig.operator_client(0).put_team("engineers", "r1", 3000).await.unwrap();
    let status = wait_job(&client, &job, SOON, |s| s.running == 3).await;
    expect_that!(status.running, eq(3));
    expect_that!(status.pending, eq(5));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_full_cell_is_divided_by_the_shares() {
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
    let first = rig.client(0, &one).submit("first", batch(40, 1000, 600_000)).await.unwrap().job;
    let full = wait_job(&rig.client(0, &one), &first, SOON, |s| s.running == 16).await;
    assert_that!(full.running, eq(16));
    // The second team comes to a cell that the first one has filled.
    let second =
        rig.client(1, &three).submit("second", batch(40, 1000, 600_000)).await.unwrap().job;
    let limit = Duration::from_secs(60);
    let status = wait_job(&rig.client(1, &three), &second, limit, |s| s.running >= 11).await;
    expect_that!(status.running, all!(ge(11), le(13)), "{status:?}");
    // They don't move each other in turn.
    let before = rig.world.observer().seen().starts;
    tokio::time::sleep(Duration::from_secs(8)).await;
    expect_that!(rig.world.observer().seen().starts - before, le(2));
    expect_that!(rig.world.observer().seen().overcommits, eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn tasks_that_start_together_find_room_in_a_cell_busy_with_small_ones() {
    let rig = start(vec![workers("r1", 4, 4000)], vec![]).await;
    let key = rig.create_team("engineers", "r1", u32::MAX).await;
    let client = rig.client(0, &key);
    // More small tasks than there is room for, none of which may be moved.
    let small = pb::Job { idempotent: false, ..batch(600, 1000, 400) };
    let small = client.submit("small", small).await.unwrap().job;
    wait_job(&client, &small, SOON, |s| s.starting + s.running == 16).await;
    let gang =
        |size| pb::Job { kind: pb::JobKind::Gang.into(), idempotent: false, ..batch(2, size, 300) };
    let a = client.submit("gang-a", gang(4000)).await.unwrap().job;
    let b = client.submit("gang-b", gang(4000)).await.unwrap().job;
    for job in [a, b] {
        let status = wait_job(&client, &job, Duration::from_secs(60), |s| s.ended).await;
        expect_that!(status.succeeded, eq(2), "{status:?}");
    }
    let seen = rig.world.observer().seen();
    expect_that!(seen.overcommits, eq(0));
    expect_that!(seen.two_places, eq(0));
}
