//! Calls: slots of runners, answers, retries, at-most-once execution, overload and
//! shutdown.

mod common;

use std::time::{Duration, Instant};

use base::Verdict;
use common::*;
use googletest::prelude::*;
use rig::Rig;
use standin::Fault;
use tokio::task::JoinSet;

/// Retries that the retry budget of an instance allows without new calls.
const RETRY_BURST_LIMIT: usize = 20;

/// Maximum number of times that a call is forwarded to a peer: three after
/// refusals, and four for waits of 500 ms at a peer within the method's timeout of
/// 2 s.
const MAX_FORWARDS: usize = 7;

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn runners_stay_within_their_slots_and_callers_get_their_own_answers() {
    let mut rig = start(vec![], vec![runners("r1", 3, 2)]).await;
    rig.apply_schema(&schema_path()).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    let mut calls = JoinSet::new();
    for number in 0..150u64 {
        // The durations differ, so that answers arrive out of order.
        let entry = (number % 3) as usize;
        let client = rig.client(entry, &key);
        let text = format!("call {number} sleep={}", (number * 7) % 20);
        calls.spawn(async move {
            let answer = client.call(FIND, &text, None).await;
            (entry, text, answer)
        });
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    // One instance is killed while calls are in flight. Calls through this instance
    // may fail, but not with a wrong verdict.
    const KILLED: usize = 1;
    rig.instances[KILLED].kill();
    let mut broken = [0; 3];
    while let Some(joined) = calls.join_next().await {
        let (entry, text, answer) = joined.expect("no call panics");
        match answer {
            Ok(answer) => expect_that!(answer, eq(&text)),
            Err(failure) if entry == KILLED => {
                expect_that!(failure.verdict, any!(eq(Verdict::NotRun), eq(Verdict::MayHaveRun)));
            }
            Err(failure) => {
                // The call had been forwarded to the killed instance.
                expect_that!(failure.verdict, eq(Verdict::MayHaveRun));
                expect_that!(failure.reason, eq("the link to instance entry-1 broke"));
                broken[entry] += 1;
            }
        }
    }
    for (instance, broken) in rig.instances.iter().zip(broken) {
        // Calls with a broken link are retried while the retry budget lasts, so a call
        // may fail only at an instance that has used up its budget.
        let retries = instance.log().matches("call sent again").count();
        expect_that!(
            broken == 0 || retries >= RETRY_BURST_LIMIT,
            eq(true),
            "{broken} broken, {retries} retries"
        );
    }
    let counts = rig.world.observer().counts();
    expect_that!(counts.overcommits, eq(0));
    expect_that!(counts.most_calls, le(2));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn repeated_non_idempotent_call_runs_at_most_once() {
    let mut rig = start(vec![], vec![runners("r1", 3, 4)]).await;
    rig.apply_schema(&schema_path()).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    let placer = rig.placer("r1").await;
    let mut attempts = JoinSet::new();
    for number in 0..60 {
        for instance in 0..3 {
            let client = rig.client(instance, &key);
            let id = format!("order-{number}");
            attempts.spawn(async move {
                let answer = client.call(ORDER, &format!("{id} sleep=100"), Some(&id)).await;
                (id, answer)
            });
        }
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    // Kills the instance that keeps the record of the calls while calls are in flight.
    rig.instances[placer].kill();
    let mut answered = std::collections::HashMap::<String, u32>::new();
    while let Some(Ok((id, answer))) = attempts.join_next().await {
        if answer.is_ok() {
            *answered.entry(id).or_default() += 1;
        }
    }
    expect_that!(answered.len(), ge(5));
    for (id, count) in answered {
        expect_that!(count, eq(1), "{id}");
    }
    // Repeats each call at one of the remaining instances. The repeat is refused as not
    // run until the record has been taken over, and then either succeeds or fails as
    // possibly run.
    let mut may_have_run = 0;
    let remaining: Vec<usize> = (0..3).filter(|number| *number != placer).collect();
    for number in 0..60 {
        let id = format!("order-{number}");
        let client = rig.client(remaining[number % 2], &key);
        let text = format!("{id} sleep=1");
        let settled = Rig::wait_until(WAIT_TIMEOUT, async || {
            match client.call(ORDER, &text, Some(&id)).await {
                Ok(_) => true,
                Err(failure) if failure.is_not_run() => false,
                Err(failure) => {
                    expect_that!(failure.verdict, eq(Verdict::MayHaveRun));
                    may_have_run += 1;
                    true
                }
            }
        });
        expect_that!(settled.await, some(anything()), "{id}");
    }
    // At least the calls that were answered are on record.
    expect_that!(may_have_run, ge(5));
    let counts = rig.world.observer().counts();
    expect_that!(counts.second_runs, eq(0));
    expect_that!(counts.overcommits, eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn call_refused_as_not_run_can_be_repeated_with_its_id() {
    let rig = start(vec![], vec![runners("r1", 2, 2)]).await;
    rig.apply_schema(&schema_path()).await;
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
    let answered = Rig::wait_until(WAIT_TIMEOUT, async || {
        client.call(ORDER, "order", Some("order-1")).await.is_ok()
    });
    expect_that!(answered.await, some(anything()));
    expect_that!(rig.world.observer().counts().second_runs, eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answers_are_complete_or_reported_as_failures() {
    let rig = start(vec![], vec![runners("r1", 2, 4)]).await;
    rig.apply_schema(&schema_path()).await;
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
        // The reason comes from the instance, not from the client library.
        expect_that!(failure.reason, contains_substring(reason), "{text}");
        // The method's timeout is 2 s.
        expect_that!(start.elapsed(), lt(Duration::from_secs(4)), "{text}");
    }
    // An error status of the service itself is passed on unchanged.
    let failure = client.call(FIND, "status=5", None).await.unwrap_err();
    expect_that!(failure.remedy, eq(base::Remedy::Find));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn calls_succeed_while_other_runners_are_down_or_silent() {
    let rig = start(vec![], vec![runners("r1", 4, 4)]).await;
    rig.apply_schema(&schema_path()).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    rig.world.faults().set("r1-runner-0", Fault::Down);
    rig.world.faults().set("r1-runner-1", Fault::Silent);
    rig.world.silence_connections("r1-runner-2");
    // Calls may fail until the silent runners have been detected, but not afterwards.
    tokio::time::sleep(Duration::from_secs(5)).await;
    for number in 0..60 {
        let answer = rig.client(number % 3, &key).call(FIND, "x", None).await;
        expect_that!(answer, ok(eq("x")));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn leaving_runner_gets_no_new_calls() {
    let rig = start(vec![], vec![runners("r1", 3, 4)]).await;
    rig.apply_schema(&schema_path()).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    rig.world.faults().set("r1-runner-0", Fault::Leaving);
    let operator = rig.operator_client(0);
    let closed_after = Rig::wait_until(Duration::from_secs(5), async || {
        let status = operator.status().await.unwrap_or_default();
        status.targets.iter().any(|t| t.name == "r1-runner-0" && t.health == "closed")
    });
    expect_that!(closed_after.await, some(anything()));
    let before = rig.world.observer().calls_served_by("r1-runner-0");
    for number in 0..60 {
        let answer = rig.client(number % 3, &key).call(FIND, "x", None).await;
        expect_that!(answer, ok(eq("x")));
    }
    expect_that!(rig.world.observer().calls_served_by("r1-runner-0"), eq(before));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn overload_is_refused_as_not_run_and_the_service_recovers() {
    let rig = start(vec![], vec![runners("r1", 1, 2)]).await;
    rig.apply_schema(&schema_path()).await;
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
    let counts = rig.world.observer().counts();
    // The runner has served the answered calls only; refused calls have not run.
    expect_that!(counts.calls, eq(answered));
    expect_that!(counts.overcommits, eq(0));
    // Calls without a free slot are not forwarded back and forth between instances.
    let forwards: usize =
        rig.instances.iter().map(|i| i.log().matches("call forwarded to a peer").count()).sum();
    expect_that!(forwards, le(600 * MAX_FORWARDS));
    let recovered = Rig::wait_until(Duration::from_secs(3), async || {
        rig.client(0, &key).call(FIND, "x", None).await.is_ok()
    });
    expect_that!(recovered.await, some(anything()));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_completes_requests_in_progress() {
    let mut rig = start(vec![workers("r1", 2, 4000)], vec![runners("r1", 3, 8)]).await;
    rig.apply_schema(&schema_path()).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    let placer = rig.placer("r1").await;
    let job = rig.client(placer, &key).submit("job", batch_job(20, 400, 500)).await.unwrap().job;
    let mut calls = JoinSet::new();
    for number in 0..16u64 {
        let client = rig.client(placer, &key);
        let text = format!("call {number} sleep={}", 200 + number * 50);
        calls.spawn(async move { client.call(FIND, &text, None).await });
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    rig.instances[placer].terminate();
    // Callers keep using the instance until the load balancer has noticed the shutdown,
    // which is well before the instance closes its port.
    let client = rig.client(placer, &key);
    let terminated_at = Instant::now();
    while terminated_at.elapsed() < Duration::from_millis(1500) {
        expect_that!(client.call(FIND, "still", None).await, ok(eq("still")));
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    while let Some(Ok(answer)) = calls.join_next().await {
        expect_that!(answer, ok(anything()));
    }
    expect_that!(rig.instances[placer].wait().await, eq(true));
    let remaining = (placer + 1) % 3;
    let status = wait_for_job(&rig.client(remaining, &key), &job, WAIT_TIMEOUT, |s| s.ended).await;
    expect_that!(status.succeeded, eq(20));
    expect_that!(rig.world.observer().counts().two_places, eq(0));
}
