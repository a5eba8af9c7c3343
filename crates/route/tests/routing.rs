//! Tests of slots, queues, the retry budget and the limiter.

use std::time::Duration;

use base::{Name, Timer};
use googletest::prelude::*;
use route::{Budget, Discipline, Limiter, Router, Runner, SlotRequest};
use schema::Urgency;

/// Duration of a call in the tests.
const CALL_TIME: Duration = Duration::from_millis(20);

fn router(runners: u32, slots: u32) -> Router<u32> {
    let router = Router::new(Timer::default(), Discipline::Urgency);
    for number in 0..runners {
        router.upsert(runner(number, slots));
    }
    router
}

fn runner(number: u32, slots: u32) -> Runner<u32> {
    Runner {
        name: format!("runner-{number}").into(),
        data_centre: format!("dc-{}", number % 2).into(),
        services: [Name::from("s")].into_iter().collect(),
        slots,
        inherited: 0,
        is_open: true,
        handle: number,
    }
}

fn slot_request(service: &Name, urgency: Urgency, arrived_ms: u64) -> SlotRequest<'_> {
    SlotRequest {
        service,
        data_centre: "dc-1",
        urgency,
        arrived: Duration::from_millis(arrived_ms),
        time_left: Duration::from_secs(5),
        max_wait: Duration::from_secs(5),
        avoid: &[],
    }
}

#[gtest]
fn slots_are_counted_and_the_preferred_data_centre_goes_first() {
    let router = router(2, 2);
    let service = "s".into();
    let request = slot_request(&service, Urgency::Urgent, 0);
    let permits: Vec<_> = (0..5).map(|_| router.try_acquire(&request)).collect();
    let handles: Vec<_> = permits.iter().flatten().map(|permit| permit.handle).collect();
    expect_that!(handles, elements_are![eq(&1), eq(&1), eq(&0), eq(&0)]);
    expect_that!(router.load("s").free, eq(0));
    drop(permits);
    expect_that!(router.load("s").free, eq(4));
}

#[gtest]
fn inherited_calls_take_slots_and_closed_runners_have_none() {
    let router = router(1, 3);
    router.upsert(Runner { inherited: 2, ..runner(0, 3) });
    expect_that!(router.load("s").free, eq(1));
    let service = "s".into();
    let permit = router.try_acquire(&slot_request(&service, Urgency::Urgent, 0));
    expect_that!(permit.is_some(), eq(true));
    router.close("runner-0");
    expect_that!(router.load("s").slots, eq(0));
    // The call in flight survives removing the runner and adding it again.
    router.remove("runner-0");
    router.upsert(Runner { inherited: 2, ..runner(0, 3) });
    expect_that!(router.load("s").free, eq(0));
    drop(permit);
    expect_that!(router.load("s").free, eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn urgent_calls_go_first_without_starving_batch_calls() {
    let router = router(1, 1);
    let service: Name = "s".into();
    let only_slot = router.try_acquire(&slot_request(&service, Urgency::Urgent, 0));
    let (sender, mut receiver) = tokio::sync::mpsc::unbounded_channel();
    let calls = [
        (Urgency::Batch, 0, "old batch"),
        (Urgency::Batch, 39_000, "batch"),
        (Urgency::Normal, 39_500, "normal"),
        (Urgency::Urgent, 40_000, "urgent"),
    ];
    for (urgency, arrived, name) in calls {
        let (router, service, sender) = (router.clone(), service.clone(), sender.clone());
        tokio::spawn(async move {
            let permit = router.acquire(&slot_request(&service, urgency, arrived)).await;
            let _ = sender.send(name);
            drop(permit);
        });
        tokio::task::yield_now().await;
    }
    drop((only_slot, sender));
    let mut served = Vec::new();
    while let Some(name) = receiver.recv().await {
        served.push(name);
    }
    expect_that!(served, eq(&["old batch", "urgent", "normal", "batch"]));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_that_stops_waiting_leaves_the_queue_and_loses_no_slot() {
    let router = router(1, 1);
    let service: Name = "s".into();
    let only_slot = router.try_acquire(&slot_request(&service, Urgency::Urgent, 0));
    let short = SlotRequest {
        max_wait: Duration::from_millis(50),
        ..slot_request(&service, Urgency::Urgent, 0)
    };
    let failure = router.acquire(&short).await.expect_err("no slot became free");
    expect_that!(failure.is_not_run(), eq(true));
    expect_that!(router.load("s").waiting, eq(0));
    let dropped = router.clone();
    let waiting = tokio::spawn({
        let service = service.clone();
        async move { dropped.acquire(&slot_request(&service, Urgency::Urgent, 0)).await.is_ok() }
    });
    tokio::task::yield_now().await;
    waiting.abort();
    let _ = waiting.await;
    drop(only_slot);
    expect_that!(router.load("s").free, eq(1));
}

#[gtest]
fn unused_permits_do_not_change_the_mean_call_time() {
    let router = router(1, 1);
    let service = "s".into();
    let request = slot_request(&service, Urgency::Urgent, 0);
    let mut used = router.try_acquire(&request).expect("a slot is free");
    used.mark_sent();
    std::thread::sleep(CALL_TIME);
    drop(used);
    // Calls with too little time left free their slots immediately, and calls
    // that a runner refuses free theirs soon after.
    for _ in 0..20 {
        drop(router.try_acquire(&request));
        let mut refused = router.try_acquire(&request).expect("a slot is free");
        refused.mark_sent();
        refused.clear_sent();
    }
    expect_that!(router.mean_call_time("s"), ge(CALL_TIME));
}

#[gtest]
fn retries_are_limited_to_a_tenth_of_first_attempts() {
    let budget = Budget::default();
    let burst = (0..1000).take_while(|_| budget.withdraw()).count();
    for _ in 0..100 {
        budget.deposit();
    }
    let earned = (0..1000).take_while(|_| budget.withdraw()).count();
    expect_that!(burst, eq(20));
    expect_that!(earned, eq(10));
}

#[gtest]
fn limiter_counts_each_team_separately() {
    let limiter = Limiter::default();
    let (a, b): (Name, Name) = ("a".into(), "b".into());
    let admission = limiter.try_acquire(&a, 1);
    expect_that!(admission.is_some(), eq(true));
    expect_that!(limiter.try_acquire(&a, 1).is_none(), eq(true));
    expect_that!(limiter.try_acquire(&b, 1).is_some(), eq(true));
    drop(admission);
    expect_that!(limiter.in_flight("a"), eq(0));
}
