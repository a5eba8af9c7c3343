//! Times from a change or a fault to its effect.

use std::time::{Duration, Instant};

use rig::Rig;
use serde_json::json;
use standin::Fault;
use wire::pb::{self, change_request::Change};

use crate::{
    figures::Figures,
    path::{FIND, batch, runners, start, workers},
};

/// Runs of each measurement; the longest time counts.
const RUNS: usize = 3;

/// Time after which an effect is given up.
const LIMIT: Duration = Duration::from_secs(30);

/// Measures all times, each on fresh daemons with their default settings.
pub(crate) async fn measure(figures: &mut Figures) -> Result<(), String> {
    let mut kill = Vec::new();
    for _ in 0..RUNS {
        kill.extend(time_kill().await?);
    }
    add_longest(figures, "owner_kill_to_placement_s", &kill);
    let rig = start(vec![workers(4)], vec![runners(3, 1)], json!({})).await?;
    let (mut in_force, mut withdrawn) = (Vec::new(), Vec::new());
    for run in 0..RUNS {
        in_force.extend(time_change(&rig, run).await?);
        withdrawn.extend(time_withdrawal(&rig, run).await?);
    }
    add_longest(figures, "config_in_force_s", &in_force);
    add_longest(figures, "key_withdrawn_s", &withdrawn);
    let mut leaving = Vec::new();
    for run in 0..RUNS {
        leaving.extend(time_leaving(&rig, run).await);
    }
    add_longest(figures, "leaving_stops_s", &leaving);
    Ok(())
}

/// A figure stands for all runs; if one has no time, there is none.
fn add_longest(figures: &mut Figures, name: &str, times: &[Duration]) {
    if times.len() == RUNS
        && let Some(longest) = times.iter().max()
    {
        figures.add(name, longest.as_secs_f64());
    }
}

/// Kills the placer; gets the time to the first start of a task after that.
async fn time_kill() -> Result<Option<Duration>, String> {
    let mut rig = start(vec![workers(50)], vec![], json!({})).await?;
    let key = rig.create_team("engineers", "r1", u32::MAX).await;
    let placer = rig.placer("r1").await;
    let client = rig.client((placer + 1) % 3, &key);
    let first = client.submit("first", batch(1, 100, 10)).await.map_err(|f| f.to_string())?;
    let _ =
        Rig::wait_until(LIMIT, async || client.job(&first.job).await.is_ok_and(|s| s.ended)).await;
    let before = rig.world.observer().counts().starts;
    rig.instances[placer].kill();
    let killed = Instant::now();
    let mut accepted = false;
    let started = Rig::wait_until(LIMIT, async || {
        if !accepted {
            accepted = client.submit("next", batch(1, 100, 10)).await.is_ok();
        }
        rig.world.observer().counts().starts > before
    })
    .await;
    Ok(started.map(|_| killed.elapsed()))
}

/// Makes a change; gets the time until every instance has it in force.
async fn time_change(rig: &Rig, run: usize) -> Result<Option<Duration>, String> {
    let put = pb::PutTeam {
        name: format!("change-{run}"),
        share: 1,
        limit: None,
        calls: 10,
        home_region: "r1".to_owned(),
    };
    let asked = Instant::now();
    let reply =
        rig.operator_client(0).change(Change::PutTeam(put)).await.map_err(|f| f.to_string())?;
    let everywhere = Rig::wait_until(LIMIT, async || {
        let mut all = true;
        for number in 0..rig.instances.len() {
            let config = rig.operator_client(number).configuration().await;
            all &= config.is_ok_and(|config| config.version >= reply.version);
        }
        all
    })
    .await;
    Ok(everywhere.map(|_| asked.elapsed()))
}

/// Withdraws a key; gets the time until every instance refuses it.
async fn time_withdrawal(rig: &Rig, run: usize) -> Result<Option<Duration>, String> {
    let team = format!("leaver-{run}");
    let key = rig.create_team(&team, "r1", u32::MAX).await;
    let withdraw = pb::WithdrawKey { label: format!("{team}-key") };
    let asked = Instant::now();
    rig.operator_client(0)
        .change(Change::WithdrawKey(withdraw))
        .await
        .map_err(|f| f.to_string())?;
    let everywhere = Rig::wait_until(LIMIT, async || {
        let mut refused = true;
        for number in 0..rig.instances.len() {
            refused &= rig.client(number, &key).call(FIND, "x", None).await.is_err();
        }
        refused
    })
    .await;
    Ok(everywhere.map(|_| asked.elapsed()))
}

/// Marks a worker as leaving; gets the time until its owner has taken note.
async fn time_leaving(rig: &Rig, run: usize) -> Option<Duration> {
    let name = format!("worker-{run}");
    rig.world.faults().set(&name, Fault::Leaving);
    let operator = rig.operator_client(0);
    Rig::wait_until(LIMIT, async || {
        let status = operator.status().await.unwrap_or_default();
        status.targets.iter().any(|target| target.name == name && target.health == "leaving")
    })
    .await
}
