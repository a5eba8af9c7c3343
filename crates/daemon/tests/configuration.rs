//! Configurations that stay accepted, keys that stay withdrawn.

mod common;

use std::time::Duration;

use base::{Remedy, Verdict};
use common::*;
use googletest::prelude::*;
use rig::Rig;
use standin::Fault;
use wire::pb::{self, change_request::Change};

/// Time for a change to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(6);

/// Time for a withdrawn key to be refused everywhere.
const WITHDRAWN: Duration = Duration::from_secs(5);

fn team(name: &str) -> Change {
    Change::PutTeam(pb::PutTeam {
        name: name.to_owned(),
        share: 1,
        limit: None,
        calls: 10,
        home_region: "r1".to_owned(),
    })
}

fn withdraw(label: &str) -> Change {
    Change::WithdrawKey(pb::WithdrawKey { label: label.to_owned() })
}

/// Waits until the instance at `number` has a version in force.
async fn in_force(rig: &Rig, number: usize, version: u64, limit: Duration) -> Option<Duration> {
    let operator = rig.operator_client(number);
    Rig::wait_until(limit, async || {
        operator.configuration().await.is_ok_and(|c| c.version >= version)
    })
    .await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_who_race_one_gets_a_conflict() {
    let rig = start(vec![], vec![]).await;
    let version = rig.operator_client(0).change(team("first")).await.unwrap().version;
    for round in 0..5 {
        let current = version + round;
        let (a, b) = (rig.operator_client(0), rig.operator_client(1));
        let (a, b) = tokio::join!(
            a.change_if_version(current, team(&format!("a-{round}"))),
            b.change_if_version(current, team(&format!("b-{round}"))),
        );
        let (won, lost) = if a.is_ok() { (a, b) } else { (b, a) };
        expect_that!(won.unwrap().version, eq(current + 1));
        let lost = lost.unwrap_err();
        expect_that!(lost.remedy, eq(Remedy::Reread));
        expect_that!(lost.verdict, eq(Verdict::NotRun));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_an_instance_that_is_cut_from_the_store() {
    let rig = start(vec![], vec![]).await;
    rig.instances[2].platform_proxy.partition();
    let version = rig.operator_client(0).change(team("late")).await.unwrap().version;
    expect_that!(in_force(&rig, 2, version, IN_FORCE).await, some(anything()));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_accepted_and_stays_through_faults_of_the_store() {
    let mut rig = start(vec![], vec![]).await;
    for (name, fault) in [
        ("slow", Fault::Slow(Duration::from_millis(200))),
        ("lost", Fault::LostAnswer),
        ("silent", Fault::None),
    ] {
        rig.world.faults().set("store", fault);
        if name == "silent" {
            rig.world.silence_connections("store");
        }
        let operator = rig.operator_client(0);
        let mut accepted = None;
        // A refusal that says not-run may be repeated.
        let _ = Rig::wait_until(SOON, async || {
            match operator.change(team(name)).await {
                Ok(reply) => accepted = Some(reply.version),
                Err(failure) => {
                    assert!(failure.is_not_run(), "{name}: {failure}");
                }
            }
            accepted.is_some()
        })
        .await;
        rig.world.faults().set("store", Fault::None);
        let version = accepted.expect("the change is accepted in the end");
        for number in 0..3 {
            let took = in_force(&rig, number, version, IN_FORCE).await;
            expect_that!(took, some(anything()), "{name} at {number}");
        }
    }
    let before = rig.operator_client(0).configuration().await.unwrap();
    rig.instances[1].kill();
    rig.restart(1).unwrap();
    expect_that!(in_force(&rig, 1, before.version, SOON).await, some(anything()));
    let after = rig.operator_client(1).configuration().await.unwrap();
    expect_that!(after.version, eq(before.version));
    expect_that!(after.teams.len(), eq(before.teams.len()));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_is_refused_everywhere_also_while_the_store_is_slow() {
    let rig = start(vec![], vec![runners("r1", 2, 4)]).await;
    rig.apply_schema(&schema()).await;
    for (label, fault) in
        [("plain", Fault::None), ("slow", Fault::Slow(Duration::from_millis(300)))]
    {
        let key = rig.create_team(label, "r1", u32::MAX).await;
        rig.world.faults().set("store", fault);
        rig.operator_client(0).change(withdraw(&format!("{label}-key"))).await.unwrap();
        for number in 0..3 {
            let client = rig.client(number, &key);
            let refused = Rig::wait_until(WITHDRAWN, async || {
                let answer = client.call(FIND, "x", None).await;
                answer.is_err_and(|f| f.remedy == Remedy::Authenticate && f.is_not_run())
            })
            .await;
            expect_that!(refused, some(anything()), "{label} at {number}");
        }
        rig.world.faults().set("store", Fault::None);
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_cut_from_everything_refuses_keys_and_recovers() {
    let rig = start(vec![], vec![runners("r1", 3, 4)]).await;
    rig.apply_schema(&schema()).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    let client = rig.client(2, &key);
    expect_that!(client.call(FIND, "x", None).await, ok(eq("x")));
    // Links go either way, so all of them are cut.
    rig.instances[2].platform_proxy.partition();
    for instance in &rig.instances {
        instance.peer_proxy.partition();
    }
    let closed = Rig::wait_until(WITHDRAWN + Duration::from_secs(1), async || {
        client.call(FIND, "x", None).await.is_err_and(|f| f.reason.contains("can't be checked"))
    })
    .await;
    expect_that!(closed, some(anything()));
    rig.instances[2].platform_proxy.heal();
    for instance in &rig.instances {
        instance.peer_proxy.heal();
    }
    let open = Rig::wait_until(SOON, async || client.call(FIND, "x", None).await.is_ok()).await;
    expect_that!(open, some(anything()));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn keys_work_on_while_the_store_is_down_for_all() {
    let rig = start(vec![], vec![runners("r1", 3, 4)]).await;
    rig.apply_schema(&schema()).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    rig.world.faults().set("store", Fault::Down);
    for _ in 0..12 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        for number in 0..3 {
            expect_that!(rig.client(number, &key).call(FIND, "x", None).await, ok(eq("x")));
        }
    }
    rig.world.faults().set("store", Fault::None);
    expect_that!(rig.operator_client(0).change(team("after")).await.is_ok(), eq(true));
}
