//! Grants of the region under the teams' upper limits.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use base::{Name, Resources, emit};
use platform::{Outcome, Revision, Store};
use quota::{Allowances, Demand};
use schema::Urgency;
use target::ControlAction;
use tokio::task::JoinSet;

use crate::{
    process::Context,
    version::placer::{run::Completion, state::Placer},
};

/// Key of the grants of all teams and regions.
pub(crate) const ALLOWANCE_KEY: &str = "allowance";

/// Time between refreshes of the grants while no team lacks an allowance.
const IDLE_REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum time between refreshes, while a team lacks an allowance.
const SHORTFALL_REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a write with an unknown outcome is abandoned; the next
/// refresh reads whether the write took effect.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of attempts at a write that conflicts with writes of other
/// regions.
const MAX_WRITE_ATTEMPTS: u32 = 8;

/// Allowances as stored after a refresh; `None` if they could not be read or
/// written.
pub(crate) type RefreshResult = Option<Allowances>;

/// Last refresh of the allowances.
#[derive(Debug, Default)]
pub(crate) struct Refresh {
    pub(crate) started_at: Duration,
    pub(crate) is_running: bool,
}

/// Demand of one team in this region, and the team's upper limit.
struct TeamDemand {
    team: Name,
    limit: Resources,
    demand: Demand,
}

impl Placer {
    /// Starts a refresh of the allowances if one is due, and evicts tasks
    /// beyond the allowances.
    pub(crate) fn refresh_allowances(&mut self, background: &mut JoinSet<Completion>) {
        self.evict_excess();
        let now = self.ctx.timer.now();
        let interval = if self.shortfall.is_empty() {
            IDLE_REFRESH_INTERVAL
        } else {
            SHORTFALL_REFRESH_INTERVAL
        };
        if self.allowance_refresh.is_running || now < self.allowance_refresh.started_at + interval {
            return;
        }
        let demands = self.team_demands();
        if demands.is_empty() {
            return;
        }
        self.allowance_refresh = Refresh { started_at: now, is_running: true };
        let ctx = Arc::clone(&self.ctx);
        let region = self.region.clone();
        background.spawn(async move {
            Completion::Allowances(update_grants(&ctx, &region, &demands).await)
        });
    }

    /// Applies the allowances that a refresh returned.
    pub(crate) fn apply_allowances(&mut self, refreshed: RefreshResult) {
        self.allowance_refresh.is_running = false;
        let Some(allowances) = refreshed else {
            return;
        };
        if self.allowances != allowances {
            self.allowances = allowances;
            self.needs_replan = true;
        }
    }

    fn team_demands(&self) -> Vec<TeamDemand> {
        let active = self.ctx.configs.current();
        let teams: BTreeSet<&Name> = active.config.teams.keys().collect();
        let demand_of = |team: &&Name| {
            let limit = active.config.teams.get(*team)?.limit;
            let used = self.usage.used(team);
            let waiting = self.shortfall.get(*team).copied().unwrap_or_default();
            let granted = self.allowances.grant(team, &self.region).amount;
            let is_relevant =
                used != Resources::ZERO || waiting != Resources::ZERO || granted != Resources::ZERO;
            let demand = Demand { used, waiting };
            is_relevant.then(|| TeamDemand { team: Name::clone(team), limit, demand })
        };
        teams.iter().filter_map(demand_of).collect()
    }

    /// Evicts tasks of teams that exceed their allowance, the least urgent
    /// first. Tasks of teams that were removed from the configuration are
    /// stopped instead of checkpointed.
    fn evict_excess(&mut self) {
        let active = self.ctx.configs.current();
        let exceeding: Vec<Name> = self
            .running_teams()
            .into_iter()
            .filter(|team| !self.usage.used(team).fits(&self.cap(team)))
            .collect();
        for team in exceeding {
            let cap = self.cap(&team);
            // Tasks that are already being evicted will lower the use.
            let mut used = self.usage.used(&team) - self.evicted_size(&team);
            if used.fits(&cap) {
                continue;
            }
            let is_removed = !active.config.teams.contains_key(&team);
            for urgency in Urgency::ALL.into_iter().rev() {
                for (job, index, size) in self.running_tasks(&team, urgency) {
                    if used.fits(&cap) {
                        break;
                    }
                    used -= size;
                    let action =
                        if is_removed { ControlAction::Stop } else { ControlAction::Checkpoint };
                    emit!(self.ctx.log, info, TaskPreempted; "job" => %job, "task" => index,
                        "for" => "the team's upper limit");
                    self.evict(&job, index, action);
                }
            }
        }
    }

    fn running_teams(&self) -> BTreeSet<Name> {
        let running = self.jobs.values().filter(|job| job.assigned > 0);
        running.map(|job| job.team.clone()).collect()
    }

    fn evicted_size(&self, team: &Name) -> Resources {
        let team_jobs = self.jobs.values().filter(|job| job.team == *team && job.assigned > 0);
        team_jobs.fold(Resources::ZERO, |sum, job| {
            let evicted = (0..job.spec.tasks)
                .filter(|index| job.assignment(*index).is_some_and(|a| a.is_evicted))
                .count();
            sum + job.spec.request.size * evicted as u32
        })
    }

    fn running_tasks(&self, team: &Name, urgency: Urgency) -> Vec<(Name, u32, Resources)> {
        let team_jobs = self.jobs.values().filter(|job| job.team == *team && job.assigned > 0);
        let mut running = Vec::new();
        for job in team_jobs.filter(|job| job.spec.urgency == urgency) {
            for index in 0..job.spec.tasks {
                if job.assignment(index).is_some_and(|assignment| !assignment.is_evicted) {
                    running.push((job.id.clone(), index, job.spec.request.size));
                }
            }
        }
        running
    }
}

/// Reads the allowances and writes this region's grants.
async fn update_grants(ctx: &Context, region: &Name, demands: &[TeamDemand]) -> RefreshResult {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let entry = ctx.store.get(ALLOWANCE_KEY).await.ok()?;
        let revision = entry.as_ref().map_or(Revision::ABSENT, |entry| entry.revision);
        let mut allowances = match entry {
            Some(entry) => Allowances::decode(&entry.value).ok()?,
            None => Allowances::default(),
        };
        let mut has_changed = false;
        for team_demand in demands {
            has_changed |= allowances.adjust(
                &team_demand.team,
                region,
                &team_demand.limit,
                team_demand.demand,
            );
        }
        if !has_changed {
            return Some(allowances);
        }
        allowances.stamp(region);
        let value = allowances.encode().into();
        let written =
            platform::write(&ctx.store, ALLOWANCE_KEY, revision, value, None, WRITE_TIMEOUT);
        match written.await.ok()? {
            Outcome::Written(_) => {
                for team_demand in demands {
                    let grant = allowances.grant(&team_demand.team, region);
                    emit!(ctx.log, debug, AllowanceChanged; "team" => %team_demand.team,
                        "region" => %region, "amount" => %grant.amount);
                }
                return Some(allowances);
            }
            Outcome::Conflict => {}
        }
    }
    None
}
