//! Tasks through faults: none in two places, none over capacity, none twice
//! that may run once, and all of them done in the end.

mod common;

use std::time::{Duration, Instant};

use common::*;
use googletest::prelude::*;
use rig::Rig;
use standin::Fault;

/// Time from the death of a placer to the next start in its region.
const TAKEOVER: Duration = Duration::from_millis(7500);

/// Gets the tasks of each of the two jobs: more than there is room for, but
/// where what a lost worker had must find room at once.
fn tasks(case: Case) -> u32 {
    match case {
        Case::WorkerSilentPastLease => 10,
        _ => 40,
    }
}

/// Gets the time that a task runs: longer than the fault takes to be noticed,
/// so that what ran before it runs on beside what comes after.
fn run_ms(case: Case) -> u32 {
    match case {
        Case::WorkerSilentPastLease => 9000,
        _ => 3500,
    }
}

/// What goes wrong while jobs run.
#[derive(Clone, Copy, Debug)]
enum Case {
    Nothing,
    KillPlacer,
    KillTwice,
    PausePlacer,
    CutPlacerFromStore,
    CutPlacerFromPeers,
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
    SilentConnections,
    WorkerSilentPastLease,
    WorkerLosesAnswers,
    WorkersReportLate,
    KillPlacerWhileStoreDown,
    KillPlacerAndWorkerSilent,
}

async fn inject(rig: &mut Rig, case: Case) {
    let faults = rig.world.faults().clone();
    let placer = rig.placer("r1").await;
    let pause = async |ms: u64| tokio::time::sleep(Duration::from_millis(ms)).await;
    match case {
        Case::Nothing => {}
        Case::KillPlacer => rig.instances[placer].kill(),
        Case::KillTwice => {
            rig.instances[placer].kill();
            let next = loop {
                let next = rig.placer("r1").await;
                if next != placer {
                    break next;
                }
                pause(50).await;
            };
            rig.instances[next].kill();
            rig.restart(placer).expect("the instance starts again");
        }
        Case::PausePlacer => {
            // Longer than the membership and the leases on targets.
            rig.instances[placer].pause();
            pause(7000).await;
            rig.instances[placer].resume();
        }
        Case::CutPlacerFromStore => {
            rig.instances[placer].platform_proxy.partition();
            pause(4000).await;
            rig.instances[placer].platform_proxy.heal();
        }
        Case::CutPlacerFromPeers => {
            rig.instances[placer].peer_proxy.partition();
            pause(4000).await;
            rig.instances[placer].peer_proxy.heal();
        }
        Case::StoreDown => {
            faults.set("store", Fault::Down);
            pause(4000).await;
            faults.set("store", Fault::None);
        }
        Case::StoreSlow => {
            faults.set("store", Fault::Slow(Duration::from_millis(300)));
            pause(3000).await;
            faults.set("store", Fault::None);
        }
        Case::StoreLosesAnswers => {
            faults.set("store", Fault::LostAnswer);
            pause(3000).await;
            faults.set("store", Fault::None);
        }
        Case::SilentConnections => {
            rig.world.silence_connections("store");
            for number in 0..4 {
                rig.world.silence_connections(&format!("r1-worker-{number}"));
            }
        }
        Case::WorkerSilentPastLease => {
            faults.set("r1-worker-0", Fault::Silent);
            pause(12_000).await;
            faults.set("r1-worker-0", Fault::None);
        }
        Case::WorkerLosesAnswers => {
            faults.set("r1-worker-0", Fault::LostAnswer);
            pause(3000).await;
            faults.set("r1-worker-0", Fault::None);
        }
        Case::WorkersReportLate => {
            for number in 0..4 {
                let name = format!("r1-worker-{number}");
                faults.set(&name, Fault::Lagging(Duration::from_millis(1500)));
            }
            pause(6000).await;
            for number in 0..4 {
                faults.set(&format!("r1-worker-{number}"), Fault::None);
            }
        }
        Case::KillPlacerWhileStoreDown => {
            faults.set("store", Fault::Down);
            pause(500).await;
            rig.instances[placer].kill();
            pause(2000).await;
            faults.set("store", Fault::None);
        }
        Case::KillPlacerAndWorkerSilent => {
            faults.set("r1-worker-1", Fault::Silent);
            rig.instances[placer].kill();
            pause(3000).await;
            faults.set("r1-worker-1", Fault::None);
        }
    }
}

async fn survive(case: Case) {
    let mut rig = start(vec![workers("r1", 4, 4000)], vec![]).await;
    let key = rig.create_team("engineers", "r1", u32::MAX).await;
    // An instance that is left in every case.
    let client = rig.client(0, &key);
    let (tasks, run_ms) = (tasks(case), run_ms(case));
    let again = client.submit("again", batch(tasks, 500, run_ms)).await.unwrap().job;
    let single = client.submit("once", once(tasks, 500, run_ms)).await.unwrap().job;
    tokio::time::sleep(Duration::from_millis(800)).await;
    inject(&mut rig, case).await;

    let limit = Duration::from_secs(60);
    let mut ended = (wire::pb::JobStatus::default(), wire::pb::JobStatus::default());
    let _ = Rig::wait_until(limit, async || {
        for number in 0..rig.instances.len() {
            let client = rig.client(number, &key);
            if let (Ok(a), Ok(b)) = (client.job(&again).await, client.job(&single).await) {
                ended = (a, b);
                break;
            }
        }
        ended.0.ended && ended.1.ended
    })
    .await;
    let (again, single) = ended;
    expect_that!(again.succeeded, eq(tasks), "{case:?}: {again:?}");
    expect_that!(single.succeeded + single.may_have_run, eq(tasks), "{case:?}: {single:?}");
    let seen = rig.world.observer().seen();
    expect_that!(seen.two_places, eq(0), "{case:?}");
    expect_that!(seen.overcommits, eq(0), "{case:?}");
    expect_that!(seen.second_runs, eq(0), "{case:?}");
    if matches!(case, Case::Nothing | Case::KillPlacer | Case::StoreDown) {
        // Nothing was lost on a worker, so nothing is in doubt.
        expect_that!(single.succeeded, eq(tasks), "{case:?}: {single:?}");
    }
}

macro_rules! cases {
    ($($name:ident = $case:ident;)*) => {
        $(
            #[gtest]
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                survive(Case::$case).await;
            }
        )*
    };
}

cases! {
    tasks_survive_nothing = Nothing;
    tasks_survive_the_death_of_the_placer = KillPlacer;
    tasks_survive_two_deaths_in_a_row = KillTwice;
    tasks_survive_a_placer_paused_past_its_lease = PausePlacer;
    tasks_survive_a_placer_cut_from_the_store = CutPlacerFromStore;
    tasks_survive_a_placer_cut_from_its_peers = CutPlacerFromPeers;
    tasks_survive_a_store_that_is_down = StoreDown;
    tasks_survive_a_slow_store = StoreSlow;
    tasks_survive_a_store_that_loses_answers = StoreLosesAnswers;
    tasks_survive_connections_that_go_silent = SilentConnections;
    tasks_survive_a_worker_silent_past_its_lease = WorkerSilentPastLease;
    tasks_survive_a_worker_that_loses_answers = WorkerLosesAnswers;
    tasks_survive_workers_that_report_late = WorkersReportLate;
    tasks_survive_a_death_while_the_store_is_down = KillPlacerWhileStoreDown;
    tasks_survive_a_death_beside_a_silent_worker = KillPlacerAndWorkerSilent;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn placement_goes_on_soon_after_the_death_of_a_placer() {
    let mut rig = start(vec![workers("r1", 4, 4000)], vec![]).await;
    let key = rig.create_team("engineers", "r1", u32::MAX).await;
    let placer = rig.placer("r1").await;
    let left = (0..3).find(|number| *number != placer).unwrap();
    // The team has its part of the limit before the fault.
    let client = rig.client(left, &key);
    let first = client.submit("first", batch(1, 100, 10)).await.unwrap().job;
    wait_job(&client, &first, SOON, |s| s.ended).await;

    rig.instances[placer].kill();
    let killed = Instant::now();
    let job = loop {
        match client.submit("next", batch(1, 100, 10)).await {
            Ok(reply) => break reply.job,
            Err(_) if killed.elapsed() < SOON => {}
            Err(failure) => panic!("{failure}"),
        }
    };
    let status = wait_job(&client, &job, SOON, |s| s.ended).await;
    expect_that!(status.succeeded, eq(1));
    expect_that!(killed.elapsed(), lt(TAKEOVER));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_fails_everything_gets_nothing_after_a_while() {
    let rig = start(vec![workers("r1", 4, 4000)], vec![]).await;
    let key = rig.create_team("engineers", "r1", u32::MAX).await;
    rig.world.faults().set("r1-worker-0", Fault::FailStarts);
    let client = rig.client(0, &key);
    let mut jobs = Vec::new();
    for number in 0..6 {
        jobs.push(client.submit(&format!("job-{number}"), batch(10, 400, 200)).await.unwrap().job);
    }
    for job in jobs {
        let status = wait_job(&client, &job, SOON, |s| s.ended).await;
        expect_that!(status.succeeded, eq(10));
    }
    let status = rig.operator_client(0).status().await.unwrap();
    let worker = status.targets.iter().find(|target| target.name == "r1-worker-0").unwrap();
    expect_that!(worker.health, eq("suspect"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_wave_of_cancellations_ends_what_was_cancelled_and_nothing_else() {
    let rig = start(vec![workers("r1", 4, 4000)], vec![]).await;
    let key = rig.create_team("engineers", "r1", u32::MAX).await;
    let client = rig.client(0, &key);
    let mut jobs = Vec::new();
    for number in 0..60 {
        let reply = client.submit(&format!("job-{number}"), batch(20, 100, 1500)).await.unwrap();
        jobs.push(reply.job);
    }
    let mut waves = tokio::task::JoinSet::new();
    for (number, job) in jobs.iter().enumerate().filter(|(number, _)| number % 3 != 0) {
        let (client, job) = (rig.client(number % 3, &key), job.clone());
        waves.spawn(async move { client.cancel(&job).await.is_ok() });
    }
    while let Some(done) = waves.join_next().await {
        expect_that!(done.unwrap(), eq(true));
    }
    for (number, job) in jobs.iter().enumerate() {
        let status = wait_job(&client, job, SOON, |s| s.ended).await;
        expect_that!(status.ended, eq(true));
        match number % 3 {
            0 => expect_that!(status.succeeded, eq(20)),
            _ => expect_that!(status.succeeded + status.stopped, eq(20)),
        }
    }
    let seen = rig.world.observer().seen();
    expect_that!(seen.running, eq(0));
    expect_that!(seen.two_places, eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_region_cut_from_the_others_goes_on_and_runs_nothing_twice() {
    let regions = ["r1", "r2"];
    let layout = vec![workers("r1", 2, 4000), workers("r2", 2, 4000)];
    let rig = start_in(&["r1", "r2", "r1", "r2"], layout, vec![]).await;
    let key = rig.create_team("engineers", "r1", u32::MAX).await;
    let mut jobs = Vec::new();
    for (number, region) in regions.iter().enumerate() {
        let job = wire::pb::Job { region: (*region).to_owned(), ..once(40, 400, 600) };
        jobs.push(rig.client(number, &key).submit(region, job).await.unwrap().job);
    }
    // Every link between instances is cut, so also those between the regions.
    for instance in &rig.instances {
        instance.peer_proxy.partition();
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    for instance in &rig.instances {
        instance.peer_proxy.heal();
    }
    for (number, job) in jobs.iter().enumerate() {
        let status = wait_job(&rig.client(number, &key), job, SOON, |s| s.ended).await;
        expect_that!(status.succeeded, eq(40), "{status:?}");
    }
    let seen = rig.world.observer().seen();
    expect_that!(seen.second_runs, eq(0));
    expect_that!(seen.two_places, eq(0));
    expect_that!(seen.overcommits, eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_worker_gets_nothing_new_and_loses_no_task() {
    const LEAVING: Duration = Duration::from_secs(5);
    let rig = start(vec![workers("r1", 2, 4000)], vec![]).await;
    let key = rig.create_team("engineers", "r1", u32::MAX).await;
    let client = rig.client(0, &key);
    let job = client.submit("long", batch(8, 500, 1500)).await.unwrap().job;
    wait_job(&client, &job, SOON, |s| s.running == 8).await;
    rig.world.faults().set("r1-worker-0", Fault::Leaving);
    let operator = rig.operator_client(0);
    let closed = Rig::wait_until(LEAVING, async || {
        let status = operator.status().await.unwrap_or_default();
        status.targets.iter().any(|t| t.name == "r1-worker-0" && t.health == "leaving")
    })
    .await;
    expect_that!(closed, some(anything()));
    let next = client.submit("next", batch(8, 400, 50)).await.unwrap().job;
    let status = wait_job(&client, &next, SOON, |s| s.ended).await;
    expect_that!(status.succeeded, eq(8));
    for index in 0..8 {
        let places = rig.world.observer().places(&next, index);
        expect_that!(places, not(contains(eq("r1-worker-0"))));
    }
    let status = wait_job(&client, &job, SOON, |s| s.ended).await;
    expect_that!(status.succeeded, eq(8));
}
