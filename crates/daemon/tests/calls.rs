//! Calls: slots, answers, retries, and at most once.

mod common;

use std::time::{Duration, Instant};

use base::Verdict;
use common::*;
use googletest::prelude::*;
use rig::Rig;
use standin::Fault;
use tokio::task::JoinSet;

/// Calls that an instance may send again without new ones before them.
const RETRIES_AT_ONCE: usize = 20;

/// Times that a call is sent on at most: three refusals, and a wait of half a
/// second each at a peer within its timeout of two seconds.
const MOST_FORWARDS: usize = 7;

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn no_runner_is_over_its_slots_and_each_caller_gets_its_own_answer() {
    let mut rig = start(vec![], vec![runners("r1", 3, 2)]).await;
    rig.apply_schema(&schema()).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    let mut calls = JoinSet::new();
    for number in 0..150u64 {
        // Answers come out of order.
        let at = (number % 3) as usize;
        let client = rig.client(at, &key);
        let text = format!("call {number} sleep={}", (number * 7) % 20);
        calls.spawn(async move {
            let answer = client.call(FIND, &text, None).await;
            (at, text, answer)
        });
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    // One instance leaves in the middle; calls at it may fail, but truly.
    const KILLED: usize = 1;
    rig.instances[KILLED].kill();
    let mut broken = [0; 3];
    while let Some(joined) = calls.join_next().await {
        let (at, text, answer) = joined.expect("no call panics");
        match answer {
            Ok(answer) => expect_that!(answer, eq(&text)),
            Err(failure) if at == KILLED => {
                expect_that!(failure.verdict, any!(eq(Verdict::NotRun), eq(Verdict::MayHaveRun)));
            }
            Err(failure) => {
                // The call had been sent on to the one that left.
                expect_that!(failure.verdict, eq(Verdict::MayHaveRun));
                expect_that!(failure.reason, eq("the link to instance entry-1 broke"));
                broken[at] += 1;
            }
        }
    }
    for (instance, broken) in rig.instances.iter().zip(broken) {
        // Such calls are sent again while retries are left.
        let again = instance.log().matches("call sent again").count();
        expect_that!(broken == 0 || again >= RETRIES_AT_ONCE, eq(true), "{broken} and {again}");
    }
    let seen = rig.world.observer().seen();
    expect_that!(seen.overcommits, eq(0));
    expect_that!(seen.most_calls, le(2));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_order_runs_once_however_often_and_wherever_it_is_repeated() {
    let mut rig = start(vec![], vec![runners("r1", 3, 4)]).await;
    rig.apply_schema(&schema()).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    let placer = rig.placer("r1").await;
    let mut tries = JoinSet::new();
    for number in 0..60 {
        for instance in 0..3 {
            let client = rig.client(instance, &key);
            let id = format!("order-{number}");
            tries.spawn(async move {
                let answer = client.call(ORDER, &format!("{id} sleep=100"), Some(&id)).await;
                (id, answer)
            });
        }
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    // The one that keeps the record dies in the middle.
    rig.instances[placer].kill();
    let mut answered = std::collections::HashMap::<String, u32>::new();
    while let Some(Ok((id, answer))) = tries.join_next().await {
        if answer.is_ok() {
            *answered.entry(id).or_default() += 1;
        }
    }
    expect_that!(answered.len(), ge(5));
    for (id, count) in answered {
        expect_that!(count, eq(1), "{id}");
    }
    // Repeats at the instances that are left: each is refused as not run for
    // as long as the record changes hands, and then has one of two answers.
    let mut doubtful = 0;
    let left: Vec<usize> = (0..3).filter(|number| *number != placer).collect();
    for number in 0..60 {
        let id = format!("order-{number}");
        let client = rig.client(left[number % 2], &key);
        let text = format!("{id} sleep=1");
        let settled =
            Rig::wait_until(SOON, async || match client.call(ORDER, &text, Some(&id)).await {
                Ok(_) => true,
                Err(failure) if failure.is_not_run() => false,
                Err(failure) => {
                    expect_that!(failure.verdict, eq(Verdict::MayHaveRun));
                    doubtful += 1;
                    true
                }
            });
        expect_that!(settled.await, some(anything()), "{id}");
    }
    // At least those that were answered are on record.
    expect_that!(doubtful, ge(5));
    let seen = rig.world.observer().seen();
    expect_that!(seen.second_runs, eq(0));
    expect_that!(seen.overcommits, eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_order_refused_as_not_run_may_be_repeated_with_its_id() {
    let rig = start(vec![], vec![runners("r1", 2, 2)]).await;
    rig.apply_schema(&schema()).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    for number in 0..2 {
        rig.world.faults().set(&format!("r1-runner-{number}"), Fault::Down);
    }
    let client = rig.client(0, &key);
    let failure = client.call(ORDER, "order", Some("order-1")).await.unwrap_err();
    expect_that!(failure.verdict, eq(Verdict::NotRun));
    for number in 0..2 {
        rig.world.faults().set(&format!("r1-runner-{number}"), Fault::None);
    }
    let client = rig.client(1, &key);
    let answered =
        Rig::wait_until(SOON, async || client.call(ORDER, "order", Some("order-1")).await.is_ok());
    expect_that!(answered.await, some(anything()));
    expect_that!(rig.world.observer().seen().second_runs, eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_whole_or_a_clear_failure() {
    let rig = start(vec![], vec![runners("r1", 2, 4)]).await;
    rig.apply_schema(&schema()).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    let client = rig.client(0, &key);
    for size in [1usize, 100_000, 300_000, 1_000_000] {
        let answer = client.call(FIND, &format!("size={size}"), None).await;
        expect_that!(answer.map(|text| text.len()).ok(), some(eq(size)));
    }
    let cases = [
        ("size=2000000", Verdict::Ran, "larger than"),
        ("cut size=1000", Verdict::MayHaveRun, "broke off"),
        ("cut size=900000", Verdict::MayHaveRun, "broke off"),
        ("sleep=60000", Verdict::MayHaveRun, "before the deadline"),
    ];
    for (text, verdict, reason) in cases {
        let start = Instant::now();
        let failure = client.call(FIND, text, None).await.unwrap_err();
        expect_that!(failure.verdict, eq(verdict), "{text}: {failure}");
        // It is the instance that says so, not the client that finds out.
        expect_that!(failure.reason, contains_substring(reason), "{text}");
        // The method's timeout is two seconds.
        expect_that!(start.elapsed(), lt(Duration::from_secs(4)), "{text}");
    }
    // What the service itself says is passed on as it is.
    let failure = client.call(FIND, "status=5", None).await.unwrap_err();
    expect_that!(failure.remedy, eq(base::Remedy::Find));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn calls_go_on_when_runners_fail_or_fall_silent() {
    let rig = start(vec![], vec![runners("r1", 4, 4)]).await;
    rig.apply_schema(&schema()).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    rig.world.faults().set("r1-runner-0", Fault::Down);
    rig.world.faults().set("r1-runner-1", Fault::Silent);
    rig.world.silence_connections("r1-runner-2");
    // Within the time for silence to be noticed some calls may fail, but
    // afterwards none does.
    tokio::time::sleep(Duration::from_secs(5)).await;
    for number in 0..60 {
        let answer = rig.client(number % 3, &key).call(FIND, "x", None).await;
        expect_that!(answer, ok(eq("x")));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_runner_gets_no_new_call() {
    let rig = start(vec![], vec![runners("r1", 3, 4)]).await;
    rig.apply_schema(&schema()).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    rig.world.faults().set("r1-runner-0", Fault::Leaving);
    let operator = rig.operator_client(0);
    let closed = Rig::wait_until(Duration::from_secs(5), async || {
        let status = operator.status().await.unwrap_or_default();
        status.targets.iter().any(|t| t.name == "r1-runner-0" && t.health == "closed")
    });
    expect_that!(closed.await, some(anything()));
    let before = rig.world.observer().calls_at("r1-runner-0");
    for number in 0..60 {
        let answer = rig.client(number % 3, &key).call(FIND, "x", None).await;
        expect_that!(answer, ok(eq("x")));
    }
    expect_that!(rig.world.observer().calls_at("r1-runner-0"), eq(before));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_crowd_is_refused_early_and_truly_and_the_service_recovers() {
    let rig = start(vec![], vec![runners("r1", 1, 2)]).await;
    rig.apply_schema(&schema()).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    let mut calls = JoinSet::new();
    for number in 0..600 {
        let client = rig.client(number % 3, &key);
        calls.spawn(async move { client.call(FIND, "sleep=50", None).await });
    }
    let (mut answered, mut refused) = (0, 0);
    while let Some(Ok(answer)) = calls.join_next().await {
        match answer {
            Ok(_) => answered += 1,
            Err(failure) => {
                refused += 1;
                expect_that!(failure.verdict, eq(Verdict::NotRun), "{failure}");
            }
        }
    }
    expect_that!(answered, ge(20));
    expect_that!(refused, ge(1));
    let seen = rig.world.observer().seen();
    // What was refused has not run.
    expect_that!(seen.calls, eq(answered));
    expect_that!(seen.overcommits, eq(0));
    // Calls that can't be placed don't go to and fro among the instances.
    let forwards: usize =
        rig.instances.iter().map(|i| i.log().matches("call forwarded to a peer").count()).sum();
    expect_that!(forwards, le(600 * MOST_FORWARDS));
    let recovered = Rig::wait_until(Duration::from_secs(3), async || {
        rig.client(0, &key).call(FIND, "x", None).await.is_ok()
    });
    expect_that!(recovered.await, some(anything()));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_cuts_off_no_request() {
    let mut rig = start(vec![workers("r1", 2, 4000)], vec![runners("r1", 3, 8)]).await;
    rig.apply_schema(&schema()).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    let placer = rig.placer("r1").await;
    let job = rig.client(placer, &key).submit("job", batch(20, 400, 500)).await.unwrap().job;
    let mut calls = JoinSet::new();
    for number in 0..16u64 {
        let client = rig.client(placer, &key);
        let text = format!("call {number} sleep={}", 200 + number * 50);
        calls.spawn(async move { client.call(FIND, &text, None).await });
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    rig.instances[placer].terminate();
    // Callers go on until the balancer has taken note, well before the
    // instance closes its port.
    let client = rig.client(placer, &key);
    let told = Instant::now();
    while told.elapsed() < Duration::from_millis(1500) {
        expect_that!(client.call(FIND, "still", None).await, ok(eq("still")));
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    while let Some(Ok(answer)) = calls.join_next().await {
        expect_that!(answer, ok(anything()));
    }
    expect_that!(rig.instances[placer].wait().await, eq(true));
    let left = (placer + 1) % 3;
    let status = wait_job(&rig.client(left, &key), &job, SOON, |s| s.ended).await;
    expect_that!(status.succeeded, eq(20));
    expect_that!(rig.world.observer().seen().two_places, eq(0));
}
