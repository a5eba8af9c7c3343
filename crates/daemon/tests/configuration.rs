//! Changes of the configuration and withdrawal of keys, also while instances or the
//! store fail.

mod common;

use std::time::Duration;

use base::{Remedy, Verdict};
use common::*;
use googletest::prelude::*;
use rig::Rig;
use standin::Fault;
use wire::pb::{self, change_request::Change};

/// Timeout for a change to be in force at every instance.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(6);

/// Timeout for a withdrawn key to be refused by every instance.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(5);

fn put_team(name: &str) -> Change {
    Change::PutTeam(pb::PutTeam {
        name: name.to_owned(),
        share: 1,
        limit: None,
        calls: 10,
        home_region: "r1".to_owned(),
    })
}

fn withdraw_key(label: &str) -> Change {
    Change::WithdrawKey(pb::WithdrawKey { label: label.to_owned() })
}

/// Waits until an instance has at least the given version of the configuration in
/// force. Returns the time that this took, or `None` after the timeout.
async fn wait_in_force(
    rig: &Rig,
    number: usize,
    version: u64,
    timeout: Duration,
) -> Option<Duration> {
    let operator = rig.operator_client(number);
    Rig::wait_until(timeout, async || {
        operator.configuration().await.is_ok_and(|c| c.version >= version)
    })
    .await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_changes_gets_a_conflict() {
    let rig = start(vec![], vec![]).await;
    let version = rig.operator_client(0).change(put_team("first")).await.unwrap().version;
    for round in 0..5 {
        let current = version + round;
        let (a, b) = (rig.operator_client(0), rig.operator_client(1));
        let (a, b) = tokio::join!(
            a.change_if_version(current, put_team(&format!("a-{round}"))),
            b.change_if_version(current, put_team(&format!("b-{round}"))),
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
async fn change_reaches_an_instance_partitioned_from_the_store() {
    let rig = start(vec![], vec![]).await;
    rig.instances[2].platform_proxy.partition();
    let version = rig.operator_client(0).change(put_team("late")).await.unwrap().version;
    expect_that!(wait_in_force(&rig, 2, version, PROPAGATION_TIMEOUT).await, some(anything()));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn change_is_accepted_and_persists_despite_faults_of_the_store() {
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
        // A change that is refused as not run may be repeated.
        let _ = Rig::wait_until(WAIT_TIMEOUT, async || {
            match operator.change(put_team(name)).await {
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
            let took = wait_in_force(&rig, number, version, PROPAGATION_TIMEOUT).await;
            expect_that!(took, some(anything()), "{name} at {number}");
        }
    }
    let before = rig.operator_client(0).configuration().await.unwrap();
    rig.instances[1].kill();
    rig.restart(1).unwrap();
    expect_that!(wait_in_force(&rig, 1, before.version, WAIT_TIMEOUT).await, some(anything()));
    let after = rig.operator_client(1).configuration().await.unwrap();
    expect_that!(after.version, eq(before.version));
    expect_that!(after.teams.len(), eq(before.teams.len()));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_is_refused_by_every_instance_also_with_a_slow_store() {
    let rig = start(vec![], vec![runners("r1", 2, 4)]).await;
    rig.apply_schema(&schema_path()).await;
    for (label, fault) in
        [("plain", Fault::None), ("slow", Fault::Slow(Duration::from_millis(300)))]
    {
        let key = rig.create_team(label, "r1", u32::MAX).await;
        rig.world.faults().set("store", fault);
        rig.operator_client(0).change(withdraw_key(&format!("{label}-key"))).await.unwrap();
        for number in 0..3 {
            let client = rig.client(number, &key);
            let refused = Rig::wait_until(WITHDRAWAL_TIMEOUT, async || {
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
async fn isolated_instance_refuses_keys_and_recovers() {
    let rig = start(vec![], vec![runners("r1", 3, 4)]).await;
    rig.apply_schema(&schema_path()).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    let client = rig.client(2, &key);
    expect_that!(client.call(FIND, "x", None).await, ok(eq("x")));
    // Either instance may have opened a link, so the proxies of all instances are
    // partitioned.
    rig.instances[2].platform_proxy.partition();
    for instance in &rig.instances {
        instance.peer_proxy.partition();
    }
    let refused = Rig::wait_until(WITHDRAWAL_TIMEOUT + Duration::from_secs(1), async || {
        client.call(FIND, "x", None).await.is_err_and(|f| f.reason.contains("can't be checked"))
    })
    .await;
    expect_that!(refused, some(anything()));
    rig.instances[2].platform_proxy.heal();
    for instance in &rig.instances {
        instance.peer_proxy.heal();
    }
    let accepted =
        Rig::wait_until(WAIT_TIMEOUT, async || client.call(FIND, "x", None).await.is_ok()).await;
    expect_that!(accepted, some(anything()));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn keys_stay_valid_while_the_store_is_down_for_all_instances() {
    let rig = start(vec![], vec![runners("r1", 3, 4)]).await;
    rig.apply_schema(&schema_path()).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    rig.world.faults().set("store", Fault::Down);
    for _ in 0..12 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        for number in 0..3 {
            expect_that!(rig.client(number, &key).call(FIND, "x", None).await, ok(eq("x")));
        }
    }
    rig.world.faults().set("store", Fault::None);
    expect_that!(rig.operator_client(0).change(put_team("after")).await.is_ok(), eq(true));
}
