//! Loads of whole days, as the users' sheets tell them.

use std::time::Duration;

use base::{Name, Resources};
use rand::{Rng, rngs::StdRng};
use work::{Advice, Policy, Step};

/// A `Kind` is a kind of request of a sheet.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Its name, which is also its queue's.
    pub name: &'static str,
    /// How its jobs are handled.
    pub policy: Policy,
    /// Jobs a second.
    pub jobs_per_s: f64,
    /// Steps of a job, on average.
    pub steps: f64,
    /// Tasks of a step, on average.
    pub tasks: f64,
    /// Time of a task, on average.
    pub work: Duration,
    /// What a task takes, on average.
    pub size: Resources,
    /// Largest size of a task.
    pub most_size: Resources,
    /// Share of jobs whose tasks start together.
    pub gangs: f64,
    /// Share of targets that may run a step.
    pub allowed: f64,
    /// Share of jobs whose tasks save checkpoints.
    pub saving: f64,
    /// Share of runs that fail.
    pub failing: f64,
    /// How far estimates are off, as the deviation of their logarithm.
    pub misjudged: f64,
}

/// A `Burst` is a time in which more jobs of a kind come.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Position of the kind.
    pub kind: usize,
    /// When it begins.
    pub at: Duration,
    /// How long it takes.
    pub time: Duration,
    /// How many times the usual rate comes.
    pub factor: f64,
}

/// A `Crew` is a team that sends a share of all that comes.
#[derive(Clone, Copy, Debug)]
pub struct Crew {
    /// Its name.
    pub name: &'static str,
    /// Jobs a second that it is owed.
    pub weight: u32,
    /// Its share of what comes.
    pub share: f64,
}

/// A `Rush` is a time in which a team sends more.
#[derive(Clone, Copy, Debug)]
pub struct Rush {
    /// Position of the team.
    pub team: usize,
    /// When it begins.
    pub at: Duration,
    /// How long it takes.
    pub time: Duration,
    /// How many times its usual the team sends.
    pub factor: f64,
}

/// A `Load` is what comes in one day, and what there is to serve it.
#[derive(Clone, Debug)]
pub struct Load {
    /// The kinds of requests.
    pub kinds: Vec<Kind>,
    /// Times in which more come.
    pub bursts: Vec<Burst>,
    /// The teams.
    pub teams: Vec<Crew>,
    /// Times in which a team sends more.
    pub rushes: Vec<Rush>,
    /// Time for which requests come.
    pub time: Duration,
    /// Targets.
    pub targets: u32,
    /// What each of them holds.
    pub capacity: Resources,
    /// Instances, each of which gets one answer of the advice at a time.
    pub instances: usize,
}

/// A `Shape` is a job that comes.
#[derive(Clone, Debug)]
pub(super) struct Shape {
    pub(super) steps: Vec<Step>,
    /// How long the tasks of each step take.
    pub(super) work: Vec<Duration>,
}

/// One team that is owed all that it sends.
fn one_team() -> Vec<Crew> {
    vec![Crew { name: "team", weight: u32::MAX, share: 1.0 }]
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

impl Load {
    /// Gets what each team sends at a time, against all that comes as a rule.
    pub(super) fn team_shares(&self, at: Duration) -> Vec<f64> {
        let factor = |team: usize| -> f64 {
            let is_on =
                |rush: &&Rush| rush.team == team && (rush.at..rush.at + rush.time).contains(&at);
            self.rushes.iter().filter(is_on).map(|rush| rush.factor).product()
        };
        self.teams.iter().enumerate().map(|(team, crew)| crew.share * factor(team)).collect()
    }

    /// The firm's largest site on a day on which many reviews come at once, with
    /// more than its room holds.
    pub fn firm_large() -> Self {
        let advice = |request_us, target_us| Advice { request_us, target_us, valid_ms: 1500 };
        let kinds = vec![
            Kind {
                name: "quote",
                policy: policy(0, 4, 1500, 500, advice(20_000, 280)),
                jobs_per_s: 79.0,
                steps: 1.0,
                tasks: 3.0,
                work: Duration::from_millis(1000),
                size: size(16_000, 58_000),
                most_size: size(47_000, 170_000),
                gangs: 0.3,
                allowed: 0.7,
                saving: 0.0,
                failing: 0.005,
                misjudged: 0.2,
            },
            Kind {
                name: "review",
                policy: policy(1, 3, 2200, 1200, advice(600_000, 8_600)),
                jobs_per_s: 5.46,
                steps: 1.2,
                tasks: 20.0,
                work: Duration::from_millis(6200),
                size: size(18_000, 37_000),
                most_size: size(30_000, 73_000),
                gangs: 1.0,
                allowed: 0.25,
                saving: 0.5,
                failing: 0.005,
                misjudged: 0.5,
            },
            Kind {
                name: "schedule",
                policy: policy(2, 2, 4000, 3000, advice(140_000, 2_000)),
                jobs_per_s: 11.1,
                steps: 1.5,
                tasks: 15.0,
                work: Duration::from_millis(3400),
                size: size(11_000, 41_000),
                most_size: size(33_000, 120_000),
                gangs: 0.0,
                allowed: 0.45,
                saving: 0.8,
                failing: 0.005,
                misjudged: 0.9,
            },
        ];
        let burst = |kind, at_ms, factor| Burst {
            kind,
            at: Duration::from_millis(at_ms),
            time: Duration::from_secs(4),
            factor,
        };
        Self {
            kinds,
            bursts: vec![burst(0, 5_400, 2.1), burst(1, 12_000, 1.9)],
            teams: one_team(),
            rushes: Vec::new(),
            time: Duration::from_secs(34),
            targets: 540,
            capacity: size(64_000, 262_144),
            instances: 97,
        }
    }

    /// The rack desk's day on which one team sends many times its usual, beside
    /// many lookups, with a tenth of the targets out of work.
    pub fn rack_desk_rush() -> Self {
        let advice = |request_us, target_us| Advice { request_us, target_us, valid_ms: 2500 };
        let kinds = vec![
            Kind {
                name: "lookup",
                policy: policy(0, 3, 1500, 500, advice(10_000, 150)),
                jobs_per_s: 30.9,
                steps: 1.0,
                tasks: 2.0,
                work: Duration::from_millis(1000),
                size: size(1400, 2900),
                most_size: size(4200, 8600),
                gangs: 0.3,
                allowed: 0.7,
                saving: 0.0,
                failing: 0.05,
                misjudged: 0.2,
            },
            Kind {
                name: "plan",
                policy: policy(1, 2, 2200, 1200, advice(440_000, 6_300)),
                jobs_per_s: 1.47,
                steps: 1.2,
                tasks: 6.4,
                work: Duration::from_millis(6200),
                size: size(4500, 8800),
                most_size: size(7600, 18_000),
                gangs: 1.0,
                allowed: 0.35,
                saving: 0.5,
                failing: 0.05,
                misjudged: 0.5,
            },
            Kind {
                name: "check",
                policy: policy(2, 2, 4000, 3000, advice(72_000, 1_000)),
                jobs_per_s: 4.36,
                steps: 1.5,
                tasks: 10.0,
                work: Duration::from_millis(3400),
                size: size(980, 3600),
                most_size: size(2900, 11_000),
                gangs: 0.0,
                allowed: 0.45,
                saving: 0.8,
                failing: 0.05,
                misjudged: 0.9,
            },
        ];
        let seconds = Duration::from_secs;
        Self {
            kinds,
            bursts: vec![Burst { kind: 0, at: seconds(7), time: seconds(4), factor: 2.1 }],
            teams: vec![
                Crew { name: "large", weight: 29, share: 0.4 },
                Crew { name: "middle", weight: 17, share: 0.2 },
                Crew { name: "small", weight: 12, share: 0.15 },
                Crew { name: "other", weight: 25, share: 0.25 },
            ],
            rushes: vec![
                Rush { team: 0, at: seconds(1), time: seconds(8), factor: 3.9 },
                Rush { team: 0, at: seconds(9), time: seconds(8), factor: 5.4 },
            ],
            time: Duration::from_secs(30),
            targets: 43,
            capacity: size(16_000, 65_536),
            instances: 7,
        }
    }

    /// The firm's calm day, with its two bursts.
    pub fn firm() -> Self {
        let advice = |request_us, target_us| Advice { request_us, target_us, valid_ms: 1500 };
        let kinds = vec![
            Kind {
                name: "quote",
                policy: policy(0, 4, 1500, 500, advice(8_700, 120)),
                jobs_per_s: 27.8,
                steps: 1.0,
                tasks: 2.0,
                work: Duration::from_millis(1000),
                size: size(5600, 21_000),
                most_size: size(17_000, 62_000),
                gangs: 0.3,
                allowed: 0.7,
                saving: 0.0,
                failing: 0.02,
                misjudged: 0.2,
            },
            Kind {
                name: "review",
                policy: policy(1, 3, 2200, 1200, advice(390_000, 5_500)),
                jobs_per_s: 0.9,
                steps: 1.2,
                tasks: 8.0,
                work: Duration::from_millis(5000),
                size: size(18_000, 52_000),
                most_size: size(30_000, 100_000),
                gangs: 1.0,
                allowed: 0.25,
                saving: 0.5,
                failing: 0.02,
                misjudged: 0.5,
            },
            Kind {
                name: "schedule",
                policy: policy(2, 2, 4000, 3000, advice(49_000, 710)),
                jobs_per_s: 4.9,
                steps: 1.5,
                tasks: 10.0,
                work: Duration::from_millis(2700),
                size: size(3900, 14_000),
                most_size: size(12_000, 43_000),
                gangs: 0.0,
                allowed: 0.45,
                saving: 0.8,
                failing: 0.05,
                misjudged: 0.9,
            },
        ];
        Self {
            kinds,
            bursts: vec![
                Burst {
                    kind: 0,
                    at: Duration::from_millis(6900),
                    time: Duration::from_secs(4),
                    factor: 2.2,
                },
                Burst {
                    kind: 1,
                    at: Duration::from_secs(19),
                    time: Duration::from_secs(4),
                    factor: 1.8,
                },
            ],
            teams: one_team(),
            rushes: Vec::new(),
            time: Duration::from_secs(34),
            targets: 48,
            capacity: size(64_000, 262_144),
            instances: 6,
        }
    }

    /// The association's heaviest day on its larger site: one team sends many
    /// times its usual, and many lookups come at once.
    pub fn association_heavy() -> Self {
        let seconds = Duration::from_secs;
        let burst = |kind, factor| Burst { kind, at: seconds(9), time: seconds(6), factor };
        Self { bursts: vec![burst(0, 4.2), burst(1, 1.8), burst(2, 1.8)], ..Self::association() }
    }

    /// The association's calm day on its larger site, with its bursts.
    pub fn association() -> Self {
        let advice = |request_us, target_us| Advice { request_us, target_us, valid_ms: 2500 };
        let kinds = vec![
            Kind {
                name: "lookup",
                policy: policy(0, 2, 1500, 500, advice(9_300, 130)),
                jobs_per_s: 100.0,
                steps: 1.0,
                tasks: 3.0,
                work: Duration::from_millis(800),
                size: size(2500, 3600),
                most_size: size(7500, 11_000),
                gangs: 0.3,
                allowed: 0.7,
                saving: 0.0,
                failing: 0.02,
                misjudged: 0.9,
            },
            Kind {
                name: "rebuild",
                policy: policy(1, 3, 2200, 1200, advice(630_000, 9_100)),
                jobs_per_s: 4.0,
                steps: 1.2,
                tasks: 20.0,
                work: Duration::from_millis(5000),
                size: size(4500, 8000),
                most_size: size(7600, 16_000),
                gangs: 1.0,
                allowed: 0.25,
                saving: 0.5,
                failing: 0.005,
                misjudged: 0.2,
            },
            Kind {
                name: "reconciliation",
                policy: policy(2, 2, 4000, 3000, advice(66_000, 940)),
                jobs_per_s: 9.0,
                steps: 1.5,
                tasks: 25.0,
                work: Duration::from_millis(2700),
                size: size(1700, 3100),
                most_size: size(5100, 9400),
                gangs: 0.0,
                allowed: 0.45,
                saving: 0.8,
                failing: 0.02,
                misjudged: 0.2,
            },
        ];
        let burst = |kind, at_s, factor| Burst {
            kind,
            at: Duration::from_secs(at_s),
            time: Duration::from_secs(4),
            factor,
        };
        Self {
            kinds,
            bursts: vec![burst(0, 6, 1.9), burst(1, 19, 1.8)],
            teams: one_team(),
            rushes: Vec::new(),
            time: Duration::from_secs(34),
            targets: 350,
            capacity: size(16_000, 32_768),
            instances: 34,
        }
    }
}

impl Kind {
    /// Makes up a job for a cell of `targets` that hold `capacity` each.
    pub(super) fn shape(
        &self,
        targets: u32,
        capacity: Resources,
        saves: bool,
        rng: &mut StdRng,
    ) -> Shape {
        /// Widest step against the average, as in the sheets.
        const MOST_WIDTH: f64 = 6.0;
        /// Part of the room of the allowed targets that a gang takes at most;
        /// wider ones could never find their room.
        const MOST_OF_ROOM: f64 = 0.5;
        let is_gang = rng.random_bool(self.gangs);
        let count = spread(self.steps, 0.4, 3.0, rng).round().max(1.0) as u16;
        let mut shape = Shape { steps: Vec::new(), work: Vec::new() };
        for number in 0..count {
            let tasks = spread(self.tasks, 0.8, MOST_WIDTH, rng).round().max(1.0) as u32;
            let work = self.work.mul_f64(spread(1.0, 0.5, 2.5, rng));
            let factor = spread(1.0, 0.45, 3.0, rng);
            let scaled = |mean: u32, most: u32| ((f64::from(mean) * factor) as u32).clamp(1, most);
            let size = size(
                scaled(self.size.cpu_milli, self.most_size.cpu_milli),
                scaled(self.size.memory_mib, self.most_size.memory_mib),
            );
            let room = f64::from(targets * capacity.max_count(&size)) * self.allowed * MOST_OF_ROOM;
            let tasks = if is_gang { tasks.min(room as u32).max(1) } else { tasks };
            let estimate = work.as_millis() as f64 * spread(1.0, self.misjudged, 8.0, rng);
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

/// Draws from a log-normal distribution with a mean and a deviation of the
/// logarithm, up to so many times the mean.
pub(super) fn spread(mean: f64, deviation: f64, most: f64, rng: &mut StdRng) -> f64 {
    // Two uniform numbers make a normal one.
    let (first, second): (f64, f64) = (rng.random_range(f64::EPSILON..1.0), rng.random());
    let normal = (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos();
    mean * (deviation * normal - deviation * deviation / 2.0).exp().min(most)
}
