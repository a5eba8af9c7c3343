//! Tasks under faults: no task runs in two places at once, no worker exceeds its
//! capacity, tasks that may run at most once don't run twice, and all tasks end.

mod common;

use std::time::{Duration, Instant};

use common::*;
use googletest::prelude::*;
use rig::Rig;
use standin::Fault;

/// Timeout for the next start of a task in a region after its placer is killed.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(7500);

/// Returns the number of tasks of each of the two jobs. This is more than fit into
/// the cell at once, except where the tasks of a lost worker must find capacity at
/// once.
fn task_count(scenario: Scenario) -> u32 {
    match scenario {
        Scenario::WorkerSilentPastLease => 10,
        _ => 40,
    }
}

/// Returns the run time of a task, in milliseconds. This is longer than the detection
/// of the fault takes, so that tasks started before the fault still run beside those
/// started afterwards.
fn run_ms(scenario: Scenario) -> u32 {
    match scenario {
        Scenario::WorkerSilentPastLease => 9000,
        _ => 3500,
    }
}

/// Fault that is injected while jobs run.
#[derive(Clone, Copy, Debug)]
enum Scenario {
    NoFault,
    KillPlacer,
    KillPlacerTwice,
    PausePlacer,
    PartitionPlacerFromStore,
    PartitionPlacerFromPeers,
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

/// Injects the fault of a scenario. A fault that lasts for a limited time has ended
/// on return.
async fn inject(rig: &mut Rig, scenario: Scenario) {
    let faults = rig.world.faults().clone();
    let placer = rig.placer("r1").await;
    let sleep_ms = async |ms: u64| tokio::time::sleep(Duration::from_millis(ms)).await;
    match scenario {
        Scenario::NoFault => {}
        Scenario::KillPlacer => rig.instances[placer].kill(),
        Scenario::KillPlacerTwice => {
            rig.instances[placer].kill();
            let successor = loop {
                let successor = rig.placer("r1").await;
                if successor != placer {
                    break successor;
                }
                sleep_ms(50).await;
            };
            rig.instances[successor].kill();
            rig.restart(placer).expect("the instance restarts");
        }
        Scenario::PausePlacer => {
            // Longer than the TTL of the membership and the leases on targets.
            rig.instances[placer].pause();
            sleep_ms(7000).await;
            rig.instances[placer].resume();
        }
        Scenario::PartitionPlacerFromStore => {
            rig.instances[placer].platform_proxy.partition();
            sleep_ms(4000).await;
            rig.instances[placer].platform_proxy.heal();
        }
        Scenario::PartitionPlacerFromPeers => {
            rig.instances[placer].peer_proxy.partition();
            sleep_ms(4000).await;
            rig.instances[placer].peer_proxy.heal();
        }
        Scenario::StoreDown => {
            faults.set("store", Fault::Down);
            sleep_ms(4000).await;
            faults.set("store", Fault::None);
        }
        Scenario::StoreSlow => {
            faults.set("store", Fault::Slow(Duration::from_millis(300)));
            sleep_ms(3000).await;
            faults.set("store", Fault::None);
        }
        Scenario::StoreLosesAnswers => {
            faults.set("store", Fault::LostAnswer);
            sleep_ms(3000).await;
            faults.set("store", Fault::None);
        }
        Scenario::SilentConnections => {
            rig.world.silence_connections("store");
            for number in 0..4 {
                rig.world.silence_connections(&format!("r1-worker-{number}"));
            }
        }
        Scenario::WorkerSilentPastLease => {
            faults.set("r1-worker-0", Fault::Silent);
            sleep_ms(12_000).await;
            faults.set("r1-worker-0", Fault::None);
        }
        Scenario::WorkerLosesAnswers => {
            faults.set("r1-worker-0", Fault::LostAnswer);
            sleep_ms(3000).await;
            faults.set("r1-worker-0", Fault::None);
        }
        Scenario::WorkersReportLate => {
            for number in 0..4 {
                let name = format!("r1-worker-{number}");
                faults.set(&name, Fault::Lagging(Duration::from_millis(1500)));
            }
            sleep_ms(6000).await;
            for number in 0..4 {
                faults.set(&format!("r1-worker-{number}"), Fault::None);
            }
        }
        Scenario::KillPlacerWhileStoreDown => {
            faults.set("store", Fault::Down);
            sleep_ms(500).await;
            rig.instances[placer].kill();
            sleep_ms(2000).await;
            faults.set("store", Fault::None);
        }
        Scenario::KillPlacerAndWorkerSilent => {
            faults.set("r1-worker-1", Fault::Silent);
            rig.instances[placer].kill();
            sleep_ms(3000).await;
            faults.set("r1-worker-1", Fault::None);
        }
    }
}

/// Runs a job of idempotent tasks and a job of at-most-once tasks under a fault, and
/// checks that all tasks end without a violation.
async fn check_tasks_survive(scenario: Scenario) {
    let mut rig = start(vec![workers("r1", 4, 4000)], vec![]).await;
    let key = rig.create_team("engineers", "r1", u32::MAX).await;
    // Both jobs are submitted through instance 0 before the fault. Afterwards their
    // status is read from the first instance that answers.
    let client = rig.client(0, &key);
    let (tasks, run_ms) = (task_count(scenario), run_ms(scenario));
    let idempotent = client.submit("again", batch_job(tasks, 500, run_ms)).await.unwrap().job;
    let at_most_once =
        client.submit("once", at_most_once_job(tasks, 500, run_ms)).await.unwrap().job;
    tokio::time::sleep(Duration::from_millis(800)).await;
    inject(&mut rig, scenario).await;

    let timeout = Duration::from_secs(60);
    let mut statuses = (wire::pb::JobStatus::default(), wire::pb::JobStatus::default());
    let _ = Rig::wait_until(timeout, async || {
        for number in 0..rig.instances.len() {
            let client = rig.client(number, &key);
            if let (Ok(a), Ok(b)) = (client.job(&idempotent).await, client.job(&at_most_once).await)
            {
                statuses = (a, b);
                break;
            }
        }
        statuses.0.ended && statuses.1.ended
    })
    .await;
    let (idempotent, at_most_once) = statuses;
    expect_that!(idempotent.succeeded, eq(tasks), "{scenario:?}: {idempotent:?}");
    expect_that!(
        at_most_once.succeeded + at_most_once.may_have_run,
        eq(tasks),
        "{scenario:?}: {at_most_once:?}"
    );
    let counts = rig.world.observer().counts();
    expect_that!(counts.two_places, eq(0), "{scenario:?}");
    expect_that!(counts.overcommits, eq(0), "{scenario:?}");
    expect_that!(counts.second_runs, eq(0), "{scenario:?}");
    if matches!(scenario, Scenario::NoFault | Scenario::KillPlacer | Scenario::StoreDown) {
        // No worker was lost, so the outcome of every task is known.
        expect_that!(at_most_once.succeeded, eq(tasks), "{scenario:?}: {at_most_once:?}");
    }
}

macro_rules! scenarios {
    ($($name:ident = $scenario:ident;)*) => {
        $(
            #[gtest]
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                check_tasks_survive(Scenario::$scenario).await;
            }
        )*
    };
}

scenarios! {
    tasks_complete_without_a_fault = NoFault;
    tasks_survive_a_killed_placer = KillPlacer;
    tasks_survive_two_placers_killed_in_a_row = KillPlacerTwice;
    tasks_survive_a_placer_paused_past_its_lease = PausePlacer;
    tasks_survive_a_placer_partitioned_from_the_store = PartitionPlacerFromStore;
    tasks_survive_a_placer_partitioned_from_its_peers = PartitionPlacerFromPeers;
    tasks_survive_a_store_that_is_down = StoreDown;
    tasks_survive_a_slow_store = StoreSlow;
    tasks_survive_a_store_that_loses_answers = StoreLosesAnswers;
    tasks_survive_silent_connections = SilentConnections;
    tasks_survive_a_worker_silent_past_its_lease = WorkerSilentPastLease;
    tasks_survive_a_worker_that_loses_answers = WorkerLosesAnswers;
    tasks_survive_workers_that_report_late = WorkersReportLate;
    tasks_survive_a_placer_killed_while_the_store_is_down = KillPlacerWhileStoreDown;
    tasks_survive_a_killed_placer_and_a_silent_worker = KillPlacerAndWorkerSilent;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn placement_resumes_after_the_placer_is_killed() {
    let mut rig = start(vec![workers("r1", 4, 4000)], vec![]).await;
    let key = rig.create_team("engineers", "r1", u32::MAX).await;
    let placer = rig.placer("r1").await;
    let remaining = (0..3).find(|number| *number != placer).unwrap();
    // The team gets its allowance in the region before the fault.
    let client = rig.client(remaining, &key);
    let first = client.submit("first", batch_job(1, 100, 10)).await.unwrap().job;
    wait_for_job(&client, &first, WAIT_TIMEOUT, |s| s.ended).await;

    rig.instances[placer].kill();
    let killed_at = Instant::now();
    let job = loop {
        match client.submit("next", batch_job(1, 100, 10)).await {
            Ok(reply) => break reply.job,
            Err(_) if killed_at.elapsed() < WAIT_TIMEOUT => {}
            Err(failure) => panic!("{failure}"),
        }
    };
    let status = wait_for_job(&client, &job, WAIT_TIMEOUT, |s| s.ended).await;
    expect_that!(status.succeeded, eq(1));
    expect_that!(killed_at.elapsed(), lt(TAKEOVER_TIMEOUT));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn worker_that_fails_every_start_becomes_suspect() {
    let rig = start(vec![workers("r1", 4, 4000)], vec![]).await;
    let key = rig.create_team("engineers", "r1", u32::MAX).await;
    rig.world.faults().set("r1-worker-0", Fault::FailStarts);
    let client = rig.client(0, &key);
    let mut jobs = Vec::new();
    for number in 0..6 {
        jobs.push(
            client.submit(&format!("job-{number}"), batch_job(10, 400, 200)).await.unwrap().job,
        );
    }
    for job in jobs {
        let status = wait_for_job(&client, &job, WAIT_TIMEOUT, |s| s.ended).await;
        expect_that!(status.succeeded, eq(10));
    }
    let status = rig.operator_client(0).status().await.unwrap();
    let worker = status.targets.iter().find(|target| target.name == "r1-worker-0").unwrap();
    expect_that!(worker.health, eq("suspect"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn mass_cancellation_ends_only_the_cancelled_jobs() {
    let rig = start(vec![workers("r1", 4, 4000)], vec![]).await;
    let key = rig.create_team("engineers", "r1", u32::MAX).await;
    let client = rig.client(0, &key);
    let mut jobs = Vec::new();
    for number in 0..60 {
        let reply =
            client.submit(&format!("job-{number}"), batch_job(20, 100, 1500)).await.unwrap();
        jobs.push(reply.job);
    }
    let mut cancellations = tokio::task::JoinSet::new();
    for (number, job) in jobs.iter().enumerate().filter(|(number, _)| number % 3 != 0) {
        let (client, job) = (rig.client(number % 3, &key), job.clone());
        cancellations.spawn(async move { client.cancel(&job).await.is_ok() });
    }
    while let Some(accepted) = cancellations.join_next().await {
        expect_that!(accepted.unwrap(), eq(true));
    }
    for (number, job) in jobs.iter().enumerate() {
        let status = wait_for_job(&client, job, WAIT_TIMEOUT, |s| s.ended).await;
        expect_that!(status.ended, eq(true));
        match number % 3 {
            0 => expect_that!(status.succeeded, eq(20)),
            _ => expect_that!(status.succeeded + status.stopped, eq(20)),
        }
    }
    let counts = rig.world.observer().counts();
    expect_that!(counts.running, eq(0));
    expect_that!(counts.two_places, eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_regions_keep_working_and_run_nothing_twice() {
    let regions = ["r1", "r2"];
    let layout = vec![workers("r1", 2, 4000), workers("r2", 2, 4000)];
    let rig = start_in_regions(&["r1", "r2", "r1", "r2"], layout, vec![]).await;
    let key = rig.create_team("engineers", "r1", u32::MAX).await;
    let mut jobs = Vec::new();
    for (number, region) in regions.iter().enumerate() {
        let job = wire::pb::Job { region: (*region).to_owned(), ..at_most_once_job(40, 400, 600) };
        jobs.push(rig.client(number, &key).submit(region, job).await.unwrap().job);
    }
    // Partitions every link between instances, which includes those between regions.
    for instance in &rig.instances {
        instance.peer_proxy.partition();
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    for instance in &rig.instances {
        instance.peer_proxy.heal();
    }
    for (number, job) in jobs.iter().enumerate() {
        let status = wait_for_job(&rig.client(number, &key), job, WAIT_TIMEOUT, |s| s.ended).await;
        expect_that!(status.succeeded, eq(40), "{status:?}");
    }
    let counts = rig.world.observer().counts();
    expect_that!(counts.second_runs, eq(0));
    expect_that!(counts.two_places, eq(0));
    expect_that!(counts.overcommits, eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn leaving_worker_gets_no_new_task_and_loses_none() {
    const LEAVING_TIMEOUT: Duration = Duration::from_secs(5);
    let rig = start(vec![workers("r1", 2, 4000)], vec![]).await;
    let key = rig.create_team("engineers", "r1", u32::MAX).await;
    let client = rig.client(0, &key);
    let job = client.submit("long", batch_job(8, 500, 1500)).await.unwrap().job;
    wait_for_job(&client, &job, WAIT_TIMEOUT, |s| s.running == 8).await;
    rig.world.faults().set("r1-worker-0", Fault::Leaving);
    let operator = rig.operator_client(0);
    let leaving_after = Rig::wait_until(LEAVING_TIMEOUT, async || {
        let status = operator.status().await.unwrap_or_default();
        status.targets.iter().any(|t| t.name == "r1-worker-0" && t.health == "leaving")
    })
    .await;
    expect_that!(leaving_after, some(anything()));
    let next = client.submit("next", batch_job(8, 400, 50)).await.unwrap().job;
    let status = wait_for_job(&client, &next, WAIT_TIMEOUT, |s| s.ended).await;
    expect_that!(status.succeeded, eq(8));
    for index in 0..8 {
        let places = rig.world.observer().start_targets(&next, index);
        expect_that!(places, not(contains(eq("r1-worker-0"))));
    }
    let status = wait_for_job(&client, &job, WAIT_TIMEOUT, |s| s.ended).await;
    expect_that!(status.succeeded, eq(8));
}
