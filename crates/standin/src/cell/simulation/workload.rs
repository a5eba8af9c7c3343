//! Workloads of whole days, from the users' sheets.

use std::time::Duration;

use base::{Name, Resources};
use rand::{Rng, rngs::StdRng};
use work::{Advice, Policy, Step};

/// Kind of request, with the distribution of its jobs.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// Name of the kind and of its queue.
    pub name: &'static str,
    /// Policy of the queue.
    pub policy: Policy,
    /// Arrivals of jobs a second, outside bursts.
    pub jobs_per_s: f64,
    /// Mean number of steps of a job.
    pub mean_steps: f64,
    /// Mean number of tasks of a step.
    pub mean_tasks: f64,
    /// Mean run time of a task.
    pub mean_run_time: Duration,
    /// Mean size of a task.
    pub mean_size: Resources,
    /// Largest size of a task.
    pub max_size: Resources,
    /// Share of jobs whose steps are gangs.
    pub gang_ratio: f64,
    /// Share of targets that advice allows for a step.
    pub allowed_ratio: f64,
    /// Share of jobs whose tasks save checkpoints.
    pub checkpoint_ratio: f64,
    /// Share of runs that fail before their end.
    pub failure_ratio: f64,
    /// Error of run time estimates, as the standard deviation of their logarithm.
    pub estimate_deviation: f64,
}

/// Period with a changed arrival rate of one kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Position of the kind in the workload.
    pub kind: usize,
    /// Start, as time since the start of the day.
    pub start: Duration,
    /// Duration.
    pub duration: Duration,
    /// Factor on the arrival rate.
    pub factor: f64,
}

/// Team with its share of the arrivals.
#[derive(Clone, Copy, Debug)]
pub struct TeamLoad {
    /// Name of the team.
    pub name: &'static str,
    /// Jobs a second that the team is entitled to.
    pub weight: u32,
    /// Share of the arrivals that the team submits, outside its bursts.
    pub share: f64,
}

/// Period with a changed arrival rate of one team.
#[derive(Clone, Copy, Debug)]
pub struct TeamBurst {
    /// Position of the team in the workload.
    pub team: usize,
    /// Start, as time since the start of the day.
    pub start: Duration,
    /// Duration.
    pub duration: Duration,
    /// Factor on the team's share of the arrivals.
    pub factor: f64,
}

/// Arrivals of one day and the cell that serves them.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Kinds of requests; [`Burst::kind`] is a position in this list.
    pub kinds: Vec<RequestKind>,
    /// Bursts of single kinds of requests.
    pub bursts: Vec<Burst>,
    /// Teams; [`TeamBurst::team`] is a position in this list.
    pub teams: Vec<TeamLoad>,
    /// Bursts of single teams.
    pub team_bursts: Vec<TeamBurst>,
    /// Time during which jobs arrive.
    pub duration: Duration,
    /// Number of targets.
    pub targets: u32,
    /// Capacity of each target.
    pub capacity: Resources,
    /// Time that a target takes for the work of a second, in seconds; the targets
    /// take these factors in turn.
    pub time_factors: &'static [f64],
    /// Number of instances; each answers one request for advice at a time.
    pub instances: usize,
}

/// Steps and true run times of an arriving job.
#[derive(Clone, Debug)]
pub(super) struct Shape {
    pub(super) steps: Vec<Step>,
    /// Run time of the tasks of each step.
    pub(super) work: Vec<Duration>,
}

/// Returns a single team that submits all jobs and is entitled to all of them.
fn one_team() -> Vec<TeamLoad> {
    vec![TeamLoad { name: "team", weight: u32::MAX, share: 1.0 }]
}

fn size(cpu_milli: u32, memory_mib: u32) -> Resources {
    Resources { cpu_milli, memory_mib, accelerators: 0 }
}

fn policy(priority: u32, attempts: u32, factor_milli: u32, ms: u32, advice: Advice) -> Policy {
    Policy {
        service: Name::from("pool"),
        priority,
        max_attempts: attempts,
        objective_factor_milli: factor_milli,
        objective_ms: ms,
        advice: Some(advice),
    }
}

impl Workload {
    /// Returns the arrivals of each team at a time, relative to all arrivals
    /// outside bursts.
    pub(super) fn team_shares(&self, at: Duration) -> Vec<f64> {
        let factor = |team: usize| -> f64 {
            let is_on = |burst: &&TeamBurst| {
                burst.team == team && (burst.start..burst.start + burst.duration).contains(&at)
            };
            self.team_bursts.iter().filter(is_on).map(|burst| burst.factor).product()
        };
        self.teams.iter().enumerate().map(|(team, crew)| crew.share * factor(team)).collect()
    }

    /// Returns a day of the firm's largest site with a burst of reviews that
    /// exceeds the site's capacity.
    pub fn firm_large() -> Self {
        let advice = |request_us, target_us| Advice { request_us, target_us, valid_ms: 1500 };
        let kinds = vec![
            RequestKind {
                name: "quote",
                policy: policy(0, 4, 1500, 500, advice(20_000, 280)),
                jobs_per_s: 79.0,
                mean_steps: 1.0,
                mean_tasks: 3.0,
                mean_run_time: Duration::from_millis(1000),
                mean_size: size(16_000, 58_000),
                max_size: size(47_000, 170_000),
                gang_ratio: 0.3,
                allowed_ratio: 0.7,
                checkpoint_ratio: 0.0,
                failure_ratio: 0.005,
                estimate_deviation: 0.2,
            },
            RequestKind {
                name: "review",
                policy: policy(1, 3, 2200, 1200, advice(600_000, 8_600)),
                jobs_per_s: 5.46,
                mean_steps: 1.2,
                mean_tasks: 20.0,
                mean_run_time: Duration::from_millis(6200),
                mean_size: size(18_000, 37_000),
                max_size: size(30_000, 73_000),
                gang_ratio: 1.0,
                allowed_ratio: 0.25,
                checkpoint_ratio: 0.5,
                failure_ratio: 0.005,
                estimate_deviation: 0.5,
            },
            RequestKind {
                name: "schedule",
                policy: policy(2, 2, 4000, 3000, advice(140_000, 2_000)),
                jobs_per_s: 11.1,
                mean_steps: 1.5,
                mean_tasks: 15.0,
                mean_run_time: Duration::from_millis(3400),
                mean_size: size(11_000, 41_000),
                max_size: size(33_000, 120_000),
                gang_ratio: 0.0,
                allowed_ratio: 0.45,
                checkpoint_ratio: 0.8,
                failure_ratio: 0.005,
                estimate_deviation: 0.9,
            },
        ];
        let burst = |kind, at_ms, factor| Burst {
            kind,
            start: Duration::from_millis(at_ms),
            duration: Duration::from_secs(4),
            factor,
        };
        Self {
            kinds,
            bursts: vec![burst(0, 5_400, 2.1), burst(1, 12_000, 1.9)],
            teams: one_team(),
            team_bursts: Vec::new(),
            duration: Duration::from_secs(34),
            targets: 540,
            capacity: size(64_000, 262_144),
            time_factors: &[1.0],
            instances: 97,
        }
    }

    /// Returns a day of the rack desk on which one team submits several times its
    /// usual share during a burst of lookups, with a tenth of the targets out of
    /// service.
    pub fn rack_desk_rush() -> Self {
        let advice = |request_us, target_us| Advice { request_us, target_us, valid_ms: 2500 };
        let kinds = vec![
            RequestKind {
                name: "lookup",
                policy: policy(0, 3, 1500, 500, advice(10_000, 150)),
                jobs_per_s: 30.9,
                mean_steps: 1.0,
                mean_tasks: 2.0,
                mean_run_time: Duration::from_millis(1000),
                mean_size: size(1400, 2900),
                max_size: size(4200, 8600),
                gang_ratio: 0.3,
                allowed_ratio: 0.7,
                checkpoint_ratio: 0.0,
                failure_ratio: 0.05,
                estimate_deviation: 0.2,
            },
            RequestKind {
                name: "plan",
                policy: policy(1, 2, 2200, 1200, advice(440_000, 6_300)),
                jobs_per_s: 1.47,
                mean_steps: 1.2,
                mean_tasks: 6.4,
                mean_run_time: Duration::from_millis(6200),
                mean_size: size(4500, 8800),
                max_size: size(7600, 18_000),
                gang_ratio: 1.0,
                allowed_ratio: 0.35,
                checkpoint_ratio: 0.5,
                failure_ratio: 0.05,
                estimate_deviation: 0.5,
            },
            RequestKind {
                name: "check",
                policy: policy(2, 2, 4000, 3000, advice(72_000, 1_000)),
                jobs_per_s: 4.36,
                mean_steps: 1.5,
                mean_tasks: 10.0,
                mean_run_time: Duration::from_millis(3400),
                mean_size: size(980, 3600),
                max_size: size(2900, 11_000),
                gang_ratio: 0.0,
                allowed_ratio: 0.45,
                checkpoint_ratio: 0.8,
                failure_ratio: 0.05,
                estimate_deviation: 0.9,
            },
        ];
        let seconds = Duration::from_secs;
        Self {
            kinds,
            bursts: vec![Burst { kind: 0, start: seconds(7), duration: seconds(4), factor: 2.1 }],
            teams: vec![
                TeamLoad { name: "large", weight: 29, share: 0.4 },
                TeamLoad { name: "middle", weight: 17, share: 0.2 },
                TeamLoad { name: "small", weight: 12, share: 0.15 },
                TeamLoad { name: "other", weight: 25, share: 0.25 },
            ],
            team_bursts: vec![
                TeamBurst { team: 0, start: seconds(1), duration: seconds(8), factor: 3.9 },
                TeamBurst { team: 0, start: seconds(9), duration: seconds(8), factor: 5.4 },
            ],
            duration: Duration::from_secs(30),
            targets: 43,
            capacity: size(16_000, 65_536),
            time_factors: &[1.0],
            instances: 7,
        }
    }

    /// Returns the firm's calm day, with its two bursts.
    pub fn firm() -> Self {
        let advice = |request_us, target_us| Advice { request_us, target_us, valid_ms: 1500 };
        let kinds = vec![
            RequestKind {
                name: "quote",
                policy: policy(0, 4, 1500, 500, advice(8_700, 120)),
                jobs_per_s: 27.8,
                mean_steps: 1.0,
                mean_tasks: 2.0,
                mean_run_time: Duration::from_millis(1000),
                mean_size: size(5600, 21_000),
                max_size: size(17_000, 62_000),
                gang_ratio: 0.3,
                allowed_ratio: 0.7,
                checkpoint_ratio: 0.0,
                failure_ratio: 0.02,
                estimate_deviation: 0.2,
            },
            RequestKind {
                name: "review",
                policy: policy(1, 3, 2200, 1200, advice(390_000, 5_500)),
                jobs_per_s: 0.9,
                mean_steps: 1.2,
                mean_tasks: 8.0,
                mean_run_time: Duration::from_millis(5000),
                mean_size: size(18_000, 52_000),
                max_size: size(30_000, 100_000),
                gang_ratio: 1.0,
                allowed_ratio: 0.25,
                checkpoint_ratio: 0.5,
                failure_ratio: 0.02,
                estimate_deviation: 0.5,
            },
            RequestKind {
                name: "schedule",
                policy: policy(2, 2, 4000, 3000, advice(49_000, 710)),
                jobs_per_s: 4.9,
                mean_steps: 1.5,
                mean_tasks: 10.0,
                mean_run_time: Duration::from_millis(2700),
                mean_size: size(3900, 14_000),
                max_size: size(12_000, 43_000),
                gang_ratio: 0.0,
                allowed_ratio: 0.45,
                checkpoint_ratio: 0.8,
                failure_ratio: 0.05,
                estimate_deviation: 0.9,
            },
        ];
        Self {
            kinds,
            bursts: vec![
                Burst {
                    kind: 0,
                    start: Duration::from_millis(6900),
                    duration: Duration::from_secs(4),
                    factor: 2.2,
                },
                Burst {
                    kind: 1,
                    start: Duration::from_secs(19),
                    duration: Duration::from_secs(4),
                    factor: 1.8,
                },
            ],
            teams: one_team(),
            team_bursts: Vec::new(),
            duration: Duration::from_secs(34),
            targets: 48,
            capacity: size(64_000, 262_144),
            time_factors: &[1.0],
            instances: 6,
        }
    }

    /// Returns the heaviest day of the association's larger site: one team submits
    /// several times its usual share during a burst of lookups.
    pub fn association_heavy() -> Self {
        let seconds = Duration::from_secs;
        let burst = |kind, factor| Burst { kind, start: seconds(9), duration: seconds(6), factor };
        Self { bursts: vec![burst(0, 4.2), burst(1, 1.8), burst(2, 1.8)], ..Self::association() }
    }

    /// Returns the calm day of the association's larger site, with its two bursts.
    pub fn association() -> Self {
        let advice = |request_us, target_us| Advice { request_us, target_us, valid_ms: 2500 };
        let kinds = vec![
            RequestKind {
                name: "lookup",
                policy: policy(0, 2, 1500, 500, advice(9_300, 130)),
                jobs_per_s: 100.0,
                mean_steps: 1.0,
                mean_tasks: 3.0,
                mean_run_time: Duration::from_millis(800),
                mean_size: size(2500, 3600),
                max_size: size(7500, 11_000),
                gang_ratio: 0.3,
                allowed_ratio: 0.7,
                checkpoint_ratio: 0.0,
                failure_ratio: 0.02,
                estimate_deviation: 0.9,
            },
            RequestKind {
                name: "rebuild",
                policy: policy(1, 3, 2200, 1200, advice(630_000, 9_100)),
                jobs_per_s: 4.0,
                mean_steps: 1.2,
                mean_tasks: 20.0,
                mean_run_time: Duration::from_millis(5000),
                mean_size: size(4500, 8000),
                max_size: size(7600, 16_000),
                gang_ratio: 1.0,
                allowed_ratio: 0.25,
                checkpoint_ratio: 0.5,
                failure_ratio: 0.005,
                estimate_deviation: 0.2,
            },
            RequestKind {
                name: "reconciliation",
                policy: policy(2, 2, 4000, 3000, advice(66_000, 940)),
                jobs_per_s: 9.0,
                mean_steps: 1.5,
                mean_tasks: 25.0,
                mean_run_time: Duration::from_millis(2700),
                mean_size: size(1700, 3100),
                max_size: size(5100, 9400),
                gang_ratio: 0.0,
                allowed_ratio: 0.45,
                checkpoint_ratio: 0.8,
                failure_ratio: 0.02,
                estimate_deviation: 0.2,
            },
        ];
        let burst = |kind, at_s, factor| Burst {
            kind,
            start: Duration::from_secs(at_s),
            duration: Duration::from_secs(4),
            factor,
        };
        Self {
            kinds,
            bursts: vec![burst(0, 6, 1.9), burst(1, 19, 1.8)],
            teams: one_team(),
            team_bursts: Vec::new(),
            duration: Duration::from_secs(34),
            targets: 350,
            capacity: size(16_000, 32_768),
            time_factors: &[1.0],
            instances: 34,
        }
    }
}

impl RequestKind {
    /// Draws a job for a cell of `targets` targets with `capacity` each.
    pub(super) fn shape(
        &self,
        targets: u32,
        capacity: Resources,
        saves: bool,
        rng: &mut StdRng,
    ) -> Shape {
        /// Largest number of tasks of a step relative to the mean, as in the
        /// sheets.
        const MAX_WIDTH_RATIO: f64 = 6.0;
        /// Largest part of the capacity of the allowed targets that a gang
        /// takes; larger gangs might never be placed.
        const MAX_GANG_RATIO: f64 = 0.5;
        let is_gang = rng.random_bool(self.gang_ratio);
        let count = log_normal(self.mean_steps, 0.4, 3.0, rng).round().max(1.0) as u16;
        let mut shape = Shape { steps: Vec::new(), work: Vec::new() };
        for number in 0..count {
            let tasks =
                log_normal(self.mean_tasks, 0.8, MAX_WIDTH_RATIO, rng).round().max(1.0) as u32;
            let work = self.mean_run_time.mul_f64(log_normal(1.0, 0.5, 2.5, rng));
            let factor = log_normal(1.0, 0.45, 3.0, rng);
            let scaled = |mean: u32, max: u32| ((f64::from(mean) * factor) as u32).clamp(1, max);
            let size = size(
                scaled(self.mean_size.cpu_milli, self.max_size.cpu_milli),
                scaled(self.mean_size.memory_mib, self.max_size.memory_mib),
            );
            let max_tasks = f64::from(targets * capacity.max_count(&size))
                * self.allowed_ratio
                * MAX_GANG_RATIO;
            let tasks = if is_gang { tasks.min(max_tasks as u32).max(1) } else { tasks };
            let estimate =
                work.as_millis() as f64 * log_normal(1.0, self.estimate_deviation, 8.0, rng);
            shape.steps.push(Step {
                count: tasks,
                size,
                estimate_ms: estimate as u32,
                checkpoints: saves,
                after: number.checked_sub(1).into_iter().collect(),
                gang: is_gang,
                ..Step::default()
            });
            shape.work.push(work);
        }
        shape
    }
}

/// Draws from a log-normal distribution with the given mean and standard
/// deviation of the logarithm, limited to `max_ratio` times the mean.
pub(super) fn log_normal(mean: f64, deviation: f64, max_ratio: f64, rng: &mut StdRng) -> f64 {
    // Box-Muller transform of two uniform numbers into a normal one.
    let (first, second): (f64, f64) = (rng.random_range(f64::EPSILON..1.0), rng.random());
    let normal = (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos();
    mean * (deviation * normal - deviation * deviation / 2.0).exp().min(max_ratio)
}
