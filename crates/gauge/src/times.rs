//! Measurements of the time from a change or a fault to its effect.

use std::time::{Duration, Instant};

use rig::Rig;
use serde_json::json;
use standin::Fault;
use wire::pb::{self, change_request::Change};

use crate::{
    figures::Figures,
    path::{FIND_PATH, batch_job, runner_group, start_rig, worker_group},
};

/// Repetitions of each measurement; the longest time is reported.
const RUNS: usize = 3;

/// Time after which a measurement is abandoned.
const EFFECT_TIMEOUT: Duration = Duration::from_secs(30);

/// Measures all times, on new daemons with default settings.
pub(crate) async fn measure(figures: &mut Figures) -> Result<(), String> {
    let mut failovers = Vec::new();
    for _ in 0..RUNS {
        failovers.extend(time_failover().await?);
    }
    add_max(figures, "owner_kill_to_placement_s", &failovers);
    let rig = start_rig(vec![worker_group(4)], vec![runner_group(3, 1)], json!({})).await?;
    let (mut in_force, mut withdrawn) = (Vec::new(), Vec::new());
    for run in 0..RUNS {
        in_force.extend(time_change(&rig, run).await?);
        withdrawn.extend(time_withdrawal(&rig, run).await?);
    }
    add_max(figures, "config_in_force_s", &in_force);
    add_max(figures, "key_withdrawn_s", &withdrawn);
    let mut leaving = Vec::new();
    for run in 0..RUNS {
        leaving.extend(time_leaving_notice(&rig, run).await);
    }
    add_max(figures, "leaving_stops_s", &leaving);
    Ok(())
}

/// Adds the longest time of all repetitions as a figure, or none if a repetition
/// timed out.
fn add_max(figures: &mut Figures, name: &str, times: &[Duration]) {
    if times.len() == RUNS
        && let Some(longest) = times.iter().max()
    {
        figures.add(name, longest.as_secs_f64());
    }
}

/// Kills the placer. Returns the time to the next start of a task, or `None` after
/// a timeout.
async fn time_failover() -> Result<Option<Duration>, String> {
    let mut rig = start_rig(vec![worker_group(50)], vec![], json!({})).await?;
    let key = rig.create_team("engineers", "r1", u32::MAX).await;
    let placer = rig.placer("r1").await;
    let client = rig.client((placer + 1) % 3, &key);
    let first = client.submit("first", batch_job(1, 100, 10)).await.map_err(|f| f.to_string())?;
    let _ = Rig::wait_until(EFFECT_TIMEOUT, async || {
        client.job(&first.job).await.is_ok_and(|s| s.ended)
    })
    .await;
    let before = rig.world.observer().counts().starts;
    rig.instances[placer].kill();
    let killed_at = Instant::now();
    let mut is_accepted = false;
    let started = Rig::wait_until(EFFECT_TIMEOUT, async || {
        if !is_accepted {
            is_accepted = client.submit("next", batch_job(1, 100, 10)).await.is_ok();
        }
        rig.world.observer().counts().starts > before
    })
    .await;
    Ok(started.map(|_| killed_at.elapsed()))
}

/// Changes the configuration. Returns the time until the change is in force on
/// every instance, or `None` after a timeout.
async fn time_change(rig: &Rig, run: usize) -> Result<Option<Duration>, String> {
    let put = pb::PutTeam {
        name: format!("change-{run}"),
        share: 1,
        limit: None,
        calls: 10,
        home_region: "r1".to_owned(),
    };
    let requested_at = Instant::now();
    let reply =
        rig.operator_client(0).change(Change::PutTeam(put)).await.map_err(|f| f.to_string())?;
    let reached = Rig::wait_until(EFFECT_TIMEOUT, async || {
        let mut is_everywhere = true;
        for number in 0..rig.instances.len() {
            let config = rig.operator_client(number).configuration().await;
            is_everywhere &= config.is_ok_and(|config| config.version >= reply.version);
        }
        is_everywhere
    })
    .await;
    Ok(reached.map(|_| requested_at.elapsed()))
}

/// Withdraws a key. Returns the time until every instance refuses the key, or
/// `None` after a timeout.
async fn time_withdrawal(rig: &Rig, run: usize) -> Result<Option<Duration>, String> {
    let team = format!("leaver-{run}");
    let key = rig.create_team(&team, "r1", u32::MAX).await;
    let withdraw = pb::WithdrawKey { label: format!("{team}-key") };
    let requested_at = Instant::now();
    rig.operator_client(0)
        .change(Change::WithdrawKey(withdraw))
        .await
        .map_err(|f| f.to_string())?;
    let reached = Rig::wait_until(EFFECT_TIMEOUT, async || {
        let mut is_refused = true;
        for number in 0..rig.instances.len() {
            is_refused &= rig.client(number, &key).call(FIND_PATH, "x", None).await.is_err();
        }
        is_refused
    })
    .await;
    Ok(reached.map(|_| requested_at.elapsed()))
}

/// Marks a worker as leaving. Returns the time until the status reports it as
/// leaving, or `None` after a timeout.
async fn time_leaving_notice(rig: &Rig, run: usize) -> Option<Duration> {
    let name = format!("worker-{run}");
    rig.world.faults().set(&name, Fault::Leaving);
    let operator = rig.operator_client(0);
    Rig::wait_until(EFFECT_TIMEOUT, async || {
        let status = operator.status().await.unwrap_or_default();
        status.targets.iter().any(|target| target.name == name && target.health == "leaving")
    })
    .await
}
