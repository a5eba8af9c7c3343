//! The region's parts of the teams' upper limits.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use base::{Name, Resources, emit};
use platform::{Outcome, Revision, Store};
use quota::{Allowances, Demand};
use schema::Urgency;
use target::ControlAction;
use tokio::task::JoinSet;

use crate::{
    process::Context,
    version::placer::{run::Done, state::Placer},
};

/// Key of the parts of all limits.
pub(crate) const ALLOWANCE_KEY: &str = "allowance";

/// Time between looks at the parts while no team is short.
const IDLE_PERIOD: Duration = Duration::from_secs(2);

/// Least time between two looks.
const SHORT_PERIOD: Duration = Duration::from_millis(200);

/// Time after which an uncertain write is given up; the next look reads what
/// became of it.
const WRITE_PATIENCE: Duration = Duration::from_secs(2);

/// Attempts at a write that loses races.
const MOST_RACES: u32 = 8;

/// An `Adjusted` is the parts as they are stored after a look; `None` if they
/// could not be read or written.
pub(crate) type Adjusted = Option<Allowances>;

/// A `Limits` is when the parts were last looked at.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    pub(crate) looked_at: Duration,
    pub(crate) under_way: bool,
}

/// What one team needs in this region.
struct Need {
    team: Name,
    limit: Resources,
    demand: Demand,
}

impl Placer {
    /// Looks at the parts of the limits when it is time, and stops what is
    /// over them.
    pub(crate) fn keep_limits(&mut self, work: &mut JoinSet<Done>) {
        self.stop_excess();
        let now = self.ctx.timer.now();
        let period = if self.short.is_empty() { IDLE_PERIOD } else { SHORT_PERIOD };
        if self.limits.under_way || now < self.limits.looked_at + period {
            return;
        }
        let needs = self.needs();
        if needs.is_empty() {
            return;
        }
        self.limits = Limits { looked_at: now, under_way: true };
        let ctx = Arc::clone(&self.ctx);
        let region = self.region.clone();
        work.spawn(async move { Done::Allowances(adjust(&ctx, &region, &needs).await) });
    }

    /// Takes in the parts after a look.
    pub(crate) fn take_allowances(&mut self, adjusted: Adjusted) {
        self.limits.under_way = false;
        let Some(allowances) = adjusted else {
            return;
        };
        if self.allowances != allowances {
            self.allowances = allowances;
            self.replan = true;
        }
    }

    fn needs(&self) -> Vec<Need> {
        let active = self.ctx.configs.current();
        let teams: BTreeSet<&Name> = active.config.teams.keys().collect();
        let need = |team: &&Name| {
            let limit = active.config.teams.get(*team)?.limit;
            let used = self.order.used(team);
            let waiting = self.short.get(*team).copied().unwrap_or_default();
            let holds = self.allowances.grant(team, &self.region).amount;
            let matters =
                used != Resources::ZERO || waiting != Resources::ZERO || holds != Resources::ZERO;
            let demand = Demand { used, waiting };
            matters.then(|| Need { team: Name::clone(team), limit, demand })
        };
        teams.iter().filter_map(need).collect()
    }

    /// Moves or stops what a team runs above its part, the least urgent first.
    fn stop_excess(&mut self) {
        let active = self.ctx.configs.current();
        let over: Vec<Name> = self
            .teams_running()
            .into_iter()
            .filter(|team| !self.order.used(team).fits(&self.cap(team)))
            .collect();
        for team in over {
            let cap = self.cap(&team);
            // What is being stopped already will bring the use down.
            let mut used = self.order.used(&team) - self.evicted_size(&team);
            if used.fits(&cap) {
                continue;
            }
            let removed = !active.config.teams.contains_key(&team);
            for urgency in Urgency::ALL.into_iter().rev() {
                for (job, index, size) in self.running_of(&team, urgency) {
                    if used.fits(&cap) {
                        break;
                    }
                    used -= size;
                    let action =
                        if removed { ControlAction::Stop } else { ControlAction::Checkpoint };
                    emit!(self.ctx.log, info, TaskPreempted; "job" => %job, "task" => index,
                        "for" => "the team's upper limit");
                    self.evict(&job, index, action);
                }
            }
        }
    }

    fn teams_running(&self) -> BTreeSet<Name> {
        let running = self.jobs.values().filter(|job| job.assigned > 0);
        running.map(|job| job.team.clone()).collect()
    }

    fn evicted_size(&self, team: &Name) -> Resources {
        let own = self.jobs.values().filter(|job| job.team == *team && job.assigned > 0);
        own.fold(Resources::ZERO, |sum, job| {
            let evicted = (0..job.spec.tasks)
                .filter(|index| job.assigned(*index).is_some_and(|a| a.evicted))
                .count();
            sum + job.spec.request.size * evicted as u32
        })
    }

    fn running_of(&self, team: &Name, urgency: Urgency) -> Vec<(Name, u32, Resources)> {
        let own = self.jobs.values().filter(|job| job.team == *team && job.assigned > 0);
        let mut running = Vec::new();
        for job in own.filter(|job| job.spec.urgency == urgency) {
            for index in 0..job.spec.tasks {
                if job.assigned(index).is_some_and(|assigned| !assigned.evicted) {
                    running.push((job.id.clone(), index, job.spec.request.size));
                }
            }
        }
        running
    }
}

/// Reads the parts of all limits and sets this region's.
async fn adjust(ctx: &Context, region: &Name, needs: &[Need]) -> Adjusted {
    for _ in 0..MOST_RACES {
        let entry = ctx.store.get(ALLOWANCE_KEY).await.ok()?;
        let revision = entry.as_ref().map_or(Revision::ABSENT, |entry| entry.revision);
        let mut allowances = match entry {
            Some(entry) => Allowances::decode(&entry.value).ok()?,
            None => Allowances::default(),
        };
        let mut changed = false;
        for need in needs {
            changed |= allowances.adjust(&need.team, region, &need.limit, need.demand);
        }
        if !changed {
            return Some(allowances);
        }
        allowances.stamp(region);
        let value = allowances.encode().into();
        let written =
            platform::write(&ctx.store, ALLOWANCE_KEY, revision, value, None, WRITE_PATIENCE);
        match written.await.ok()? {
            Outcome::Written(_) => {
                for need in needs {
                    let grant = allowances.grant(&need.team, region);
                    emit!(ctx.log, debug, AllowanceChanged; "team" => %need.team,
                        "region" => %region, "amount" => %grant.amount);
                }
                return Some(allowances);
            }
            Outcome::Conflict => {}
        }
    }
    None
}
