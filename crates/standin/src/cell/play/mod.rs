//! A day that is played on the decisions of the placer.
//!
//! The [`Player`] drives a real [`Planner`] through a day in virtual time:
//! requests come as a [`Load`] tells, targets run what they are told to, and
//! each instance's requests for advice are answered one after the other. There
//! is no network and no clock, so that a day takes seconds, and the same seed
//! is always the same day. What callers got is in the [`Report`]s.

mod load;
mod report;

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use base::{Name, Resources};
use plan::{
    Action, AdviceRequest, Batch, ListedRun, Listing, Planner, RunEnd, Settings, Start,
    StartAnswer, Stop, TargetInfo,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use work::{Config, End, JobState, Queue, Service, Spec, StepKey, TaskKey, Team};

pub use load::{Burst, Crew, Kind, Load, Rush};
pub use report::{Fate, Report};

/// Time for a request to a target and its answer, across regions.
const TARGET_TIME: Duration = Duration::from_millis(45);

/// Time for a request for advice to reach its instance, and back.
const ADVICE_TIME: Duration = Duration::from_millis(45);

/// Time until a run that is told to stop has ended, its state saved.
const STOP_TIME: Duration = Duration::from_millis(400);

/// Time until a run that resumes from a checkpoint goes on with its work.
const RESTORE_TIME: Duration = Duration::from_millis(100);

/// Time until progress is recorded.
const RECORD_TIME: Duration = Duration::from_millis(60);

/// Time between rounds of decisions.
const ROUND: Duration = Duration::from_millis(25);

/// Time between listings of a target in which nothing ends.
const LISTING_PERIOD: Duration = Duration::from_millis(1000);

/// Time between tellings of which queues refuse.
const TELLING_PERIOD: Duration = Duration::from_millis(700);

/// Time after the requests until the day ends, from the users' `finish_s`.
const FINISH: Duration = Duration::from_secs(14);

/// How long nothing of a job may run before it counts as forgotten, from the
/// users' rule on lost jobs; meanwhile its next step is asked for.
const MOST_IDLE: Duration = Duration::from_secs(3);

/// How long a client goes on asking, and how often; from the users' sheets.
const PATIENCE: Duration = Duration::from_secs(3);
const MOST_TRIES: u32 = 5;

/// The time of day at the start.
const FIRST_UNIX_MS: u64 = 1_000_000_000;

/// An `Admission` says what is done with a queue that refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Its jobs are accepted all the same.
    All,
    /// Its jobs are refused.
    AsTold,
}

/// A `Player` plays one day.
pub struct Player {
    load: Load,
    admission: Admission,
    board: Planner,
    /// What comes, whatever becomes of it.
    arrivals: StdRng,
    /// Whose it is, and whether it saves checkpoints.
    traits: StdRng,
    /// Which runs fail.
    failures: StdRng,
    now: Duration,
    targets: BTreeMap<Name, Target>,
    /// When each instance's last request for advice is answered.
    advisors: Vec<Duration>,
    happenings: BTreeMap<(Duration, u64), Happening>,
    last: u64,
    jobs: Vec<Job>,
    refusals: HashMap<Name, Duration>,
}

#[derive(Default)]
struct Target {
    runs: BTreeMap<TaskKey, Run>,
    ends: Vec<RunEnd>,
    last_end: u64,
}

struct Run {
    number: u32,
    began: Duration,
    /// Work that was done before it began.
    saved: Duration,
    work: Duration,
}

impl Run {
    fn new(number: u32, work: Duration, checkpoint: Option<&Name>, now: Duration) -> Self {
        let saved_ms = checkpoint.map_or(0, |saved| saved.parse().expect("the player has made it"));
        let restore = if saved_ms > 0 { RESTORE_TIME } else { Duration::ZERO };
        Self { number, began: now + restore, saved: Duration::from_millis(saved_ms), work }
    }

    /// Gets how much of the work is done.
    fn done(&self, now: Duration) -> Duration {
        self.work.min(self.saved + now.saturating_sub(self.began))
    }

    fn ends_at(&self) -> Duration {
        self.began + self.work.saturating_sub(self.saved)
    }
}

struct Job {
    kind: usize,
    team: usize,
    shape: load::Shape,
    first_sent: Duration,
    tries: u32,
    /// When a run of it ended last.
    ended: Option<Duration>,
    fate: Fate,
}

enum Happening {
    Arrival(usize),
    Submission(usize),
    Advised { step: StepKey, asked: Vec<Name>, allowed: Vec<(Name, Name)> },
    Started(Start),
    Ended { target: Name, task: TaskKey, run: u32, end: End },
    Listing(Name),
    Recorded(Batch),
    Telling,
}

impl Player {
    /// Makes a day of a load; the same `seed` makes the same day.
    pub fn new(load: Load, admission: Admission, seed: u64) -> Self {
        Self::with_settings(load, admission, Settings::default(), seed)
    }

    /// Makes a day that is decided with other settings.
    pub fn with_settings(load: Load, admission: Admission, settings: Settings, seed: u64) -> Self {
        let now = Duration::from_secs(1);
        let names = (0..load.targets).map(|number| Name::from(format!("target-{number}")));
        let names: Vec<Name> = names.collect();
        let mut board = Planner::new(settings, 1, HashSet::new(), now);
        let queue = |kind: &Kind| Queue {
            name: Name::from(kind.name),
            policy: kind.policy.clone(),
            ..Queue::default()
        };
        let team = |team: &Crew| {
            let rights = Team { weight: team.weight, limit: Resources::MAX };
            (Name::from(team.name), rights)
        };
        board.configure(Arc::new(Config {
            version: 1,
            queues: load.kinds.iter().map(queue).collect(),
            services: [(Name::from("pool"), Service::default())].into(),
            teams: load.teams.iter().map(team).collect(),
            ..Config::default()
        }));
        let facts = |id: &Name| TargetInfo {
            id: id.clone(),
            service: Name::from("pool"),
            capacity: load.capacity,
            ..TargetInfo::default()
        };
        board.set_targets(names.iter().map(facts).collect());
        board.set_instances(load.instances, now);
        let mut player = Self {
            advisors: vec![now; load.instances],
            targets: names.iter().map(|name| (name.clone(), Target::default())).collect(),
            load,
            admission,
            board,
            arrivals: StdRng::seed_from_u64(seed),
            traits: StdRng::seed_from_u64(seed),
            failures: StdRng::seed_from_u64(seed),
            now,
            happenings: BTreeMap::new(),
            last: 0,
            jobs: Vec::new(),
            refusals: HashMap::new(),
        };
        for name in names {
            player.after(Duration::ZERO, Happening::Listing(name));
        }
        for kind in 0..player.load.kinds.len() {
            player.after(Duration::ZERO, Happening::Arrival(kind));
        }
        player.after(TELLING_PERIOD, Happening::Telling);
        player
    }

    /// Plays the day; gets what the callers of each kind got.
    pub fn play(mut self) -> Vec<Report> {
        let end = self.now + self.load.time + FINISH;
        while self.now < end {
            let round = self.now + ROUND;
            while let Some(entry) = self.happenings.first_entry()
                && entry.key().0 <= round
            {
                self.now = self.now.max(entry.key().0);
                let happening = entry.remove();
                self.take(happening);
            }
            self.now = round;
            self.board.mark_changed();
            self.board.decide(self.now, self.unix_ms());
            for action in self.board.take_actions() {
                self.act(action);
            }
            while let Some(batch) = self.board.take_batch(self.now) {
                self.after(RECORD_TIME, Happening::Recorded(batch));
            }
            self.note_states();
        }
        self.tell_last();
        self.reports()
    }

    /// Has what has ended be told, though the day has ended.
    fn tell_last(&mut self) {
        for happening in std::mem::take(&mut self.happenings).into_values() {
            if let Happening::Recorded(batch) = happening {
                self.board.batch_recorded(batch);
            }
        }
        while let Some(batch) = self.board.take_batch(self.now) {
            self.board.batch_recorded(batch);
        }
        self.note_states();
    }

    fn take(&mut self, happening: Happening) {
        match happening {
            Happening::Arrival(kind) => self.arrive(kind),
            Happening::Submission(job) => self.submit(job),
            Happening::Advised { step, asked, allowed } => {
                let advice = self.load.kinds[self.jobs[job_number(&step.job)].kind].policy.advice;
                let valid_ms = advice.map_or(0, |advice| advice.valid_ms);
                let until = self.now + Duration::from_millis(u64::from(valid_ms));
                self.board.advice_answered(&step, &asked, Some(allowed), until);
            }
            Happening::Started(start) => self.start(start),
            Happening::Ended { target, task, run, end } => {
                if end == End::Failed
                    && self.load.kinds[self.jobs[job_number(&task.step.job)].kind].name == "review"
                {
                    println!(
                        "T {:.2} FAIL {} {} run {run}",
                        self.now.as_secs_f64(),
                        task.step.job,
                        task.step.step
                    );
                }
                self.end(&target, &task, run, end)
            }
            Happening::Listing(target) => {
                self.list(&target);
                self.after(LISTING_PERIOD, Happening::Listing(target));
            }
            Happening::Recorded(batch) => self.board.batch_recorded(batch),
            Happening::Telling => {
                let refusals = self.board.overloads(self.now).into_iter();
                self.refusals = refusals.map(|told| (told.queue, told.retry_after)).collect();
                self.after(TELLING_PERIOD, Happening::Telling);
            }
        }
    }

    fn arrive(&mut self, kind: usize) {
        let begun = self.now.saturating_sub(Duration::from_secs(1));
        if begun >= self.load.time {
            return;
        }
        let is_on = |burst: &&Burst| {
            burst.kind == kind && (burst.at..burst.at + burst.time).contains(&begun)
        };
        let factor: f64 = self.load.bursts.iter().filter(is_on).map(|burst| burst.factor).product();
        let shares = self.load.team_shares(begun);
        let factor = factor * shares.iter().sum::<f64>();
        let rate = self.load.kinds[kind].jobs_per_s * factor;
        let gap = -self.arrivals.random_range(f64::EPSILON..1.0).ln() / rate;
        self.after(Duration::from_secs_f64(gap), Happening::Arrival(kind));
        let Load { targets, capacity, .. } = self.load;
        let saves = self.traits.random_bool(self.load.kinds[kind].saving);
        let shape = self.load.kinds[kind].shape(targets, capacity, saves, &mut self.arrivals);
        let team = pick(&shares, &mut self.traits);
        let fate = Fate::Refused;
        self.jobs.push(Job {
            kind,
            team,
            shape,
            first_sent: self.now,
            tries: 0,
            ended: None,
            fate,
        });
        self.submit(self.jobs.len() - 1);
    }

    /// Sends a job as a client does: after a refusal it comes back when it was
    /// told to, as long as it has patience.
    fn submit(&mut self, number: usize) {
        let unix_ms = self.unix_ms();
        let job = &mut self.jobs[number];
        let kind = &self.load.kinds[job.kind];
        job.tries += 1;
        let refusal = self.refusals.get(kind.name).filter(|_| self.admission == Admission::AsTold);
        if let Some(&after) = refusal {
            let is_patient = self.now + after < job.first_sent + PATIENCE && job.tries < MOST_TRIES;
            if is_patient {
                self.after(after, Happening::Submission(number));
            }
            return;
        }
        job.fate = Fate::Waiting;
        let spec = Spec {
            queue: Name::from(kind.name),
            policy: kind.policy.clone(),
            team: Name::from(self.load.teams[job.team].name),
            accepted_unix_ms: unix_ms,
            steps: job.shape.steps.clone(),
            ..Spec::default()
        };
        self.board.accept(&job_id(number), spec, self.now);
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Start(start) => {
                if start.task.index == 0
                    && self.load.kinds[self.jobs[job_number(&start.task.step.job)].kind].name
                        == "review"
                {
                    println!(
                        "T {:.2} start {} {} run {}",
                        self.now.as_secs_f64(),
                        start.task.step.job,
                        start.task.step.step,
                        start.run
                    );
                }
                self.after(TARGET_TIME / 2, Happening::Started(start))
            }
            Action::Stop(Stop { target, task, run, .. }) => {
                let end = End::Stopped;
                self.after(
                    TARGET_TIME / 2 + STOP_TIME,
                    Happening::Ended { target, task, run, end },
                );
            }
            Action::RequestAdvice(ask) => {
                if self.load.kinds[self.jobs[job_number(&ask.step.job)].kind].name == "review" {
                    println!(
                        "T {:.2} ask {} {} n {}",
                        self.now.as_secs_f64(),
                        ask.step.job,
                        ask.step.step,
                        ask.targets.len()
                    );
                }
                self.advise(ask)
            }
            Action::Poll(target) => self.after(TARGET_TIME, Happening::Listing(target)),
        }
    }

    fn advise(&mut self, ask: AdviceRequest) {
        let kind = &self.load.kinds[self.jobs[job_number(&ask.step.job)].kind];
        let milli = (kind.allowed * 1000.0) as u64;
        let is_allowed = |target: &&Name| {
            let mut hasher = DefaultHasher::new();
            (&ask.step, target).hash(&mut hasher);
            hasher.finish() % 1000 < milli
        };
        let allowed = ask.targets.iter().filter(is_allowed);
        let allowed = allowed.map(|target| (target.clone(), Name::from("ticket"))).collect();
        let free_at = self.advisors.iter_mut().min().expect("there is an instance");
        *free_at = (*free_at).max(self.now) + Duration::from_micros(ask.cost_us);
        let after = *free_at - self.now + ADVICE_TIME;
        self.after(after, Happening::Advised { step: ask.step, asked: ask.targets, allowed });
    }

    fn start(&mut self, start: Start) {
        let Start { target, task, run, checkpoint, .. } = start;
        let job = &self.jobs[job_number(&task.step.job)];
        let work = job.shape.work[usize::from(task.step.step)];
        let is_failing = self.failures.random_bool(self.load.kinds[job.kind].failing);
        let begun = Run::new(run, work, checkpoint.as_ref(), self.now);
        let time = begun.ends_at() - self.now;
        let (time, end) = if is_failing {
            (time.mul_f64(self.failures.random()), End::Failed)
        } else {
            (time, End::Done)
        };
        if let Some(target) = self.targets.get_mut(&target) {
            target.runs.insert(task.clone(), begun);
        }
        self.board.start_answered(&target, &task, run, &StartAnswer::Started, self.now);
        self.after(time, Happening::Ended { target, task, run, end });
    }

    fn end(&mut self, target: &Name, task: &TaskKey, run: u32, end: End) {
        let Some(account) = self.targets.get_mut(target) else {
            return;
        };
        if account.runs.get(task).is_none_or(|known| known.number != run) {
            return;
        }
        let Some(ended) = account.runs.remove(task) else {
            return;
        };
        let job = &mut self.jobs[job_number(&task.step.job)];
        job.ended = Some(self.now);
        let step = &job.shape.steps[usize::from(task.step.step)];
        let done_ms = ended.done(self.now).as_millis();
        let checkpoint = (step.checkpoints && end == End::Stopped && done_ms > 0)
            .then(|| Name::from(done_ms.to_string()));
        account.last_end += 1;
        let number = account.last_end;
        account.ends.push(RunEnd { number, task: task.clone(), run, end, checkpoint });
        self.list(target);
    }

    /// Has a target list what it runs.
    fn list(&mut self, target: &Name) {
        let recorded = self.board.recorded_end(target);
        let Some(account) = self.targets.get_mut(target) else {
            return;
        };
        account.ends.retain(|end| end.number > recorded);
        let percent = |run: &Run| {
            let part = run.done(self.now).div_duration_f64(run.work);
            (part * 100.0).min(99.0) as u32
        };
        let seen = |(task, run): (&TaskKey, &Run)| ListedRun {
            task: task.clone(),
            run: run.number,
            checkpoint: None,
            percent: percent(run),
        };
        let running = account.runs.iter().map(seen).collect();
        let listing = Listing { born_unix_ms: 1, running, ended: account.ends.clone() };
        self.board.lease_granted(target, Some(self.now));
        self.board.apply_listing(target, self.now, &listing, self.now);
    }

    fn note_states(&mut self) {
        for (id, state) in self.board.take_state_changes(self.now) {
            let job = &mut self.jobs[job_number(&id)];
            let kind = &self.load.kinds[job.kind];
            let work: Duration = job.shape.work.iter().sum();
            let factor = f64::from(kind.policy.objective_factor_milli) / 1000.0;
            let more = Duration::from_millis(u64::from(kind.policy.objective_ms));
            match state {
                JobState::Complete => {
                    let time = self.now - job.first_sent;
                    job.fate = Fate::Done { time, objective: work.mul_f64(factor) + more };
                }
                JobState::Failed => job.fate = Fate::Failed,
                JobState::Queued | JobState::Active | JobState::Cancelled => {}
            }
        }
    }

    fn reports(mut self) -> Vec<Report> {
        for (n, job) in self.jobs.iter().enumerate() {
            if self.load.kinds[job.kind].name == "review" {
                let ok = matches!(job.fate, Fate::Done{time, objective} if time <= objective);
                let w: Vec<(u32, u32, u128, u32)> = job
                    .shape
                    .steps
                    .iter()
                    .zip(&job.shape.work)
                    .map(|(s, w)| (s.count, s.size.cpu_milli, w.as_millis(), s.estimate_ms))
                    .collect();
                println!(
                    "REVIEW {n} {} at {:.1} {:?} {:?} ck {}",
                    if ok { "ok" } else { "BAD" },
                    job.first_sent.as_secs_f64(),
                    job.fate,
                    w,
                    job.shape.steps[0].checkpoints
                );
            }
        }

        for task in self.targets.values().flat_map(|target| target.runs.keys()) {
            self.jobs[job_number(&task.step.job)].ended = Some(self.now);
        }
        for job in self.jobs.iter_mut().filter(|job| job.fate == Fate::Waiting) {
            if job.ended.is_some_and(|ended| self.now.saturating_sub(ended) < MOST_IDLE) {
                job.fate = Fate::Running;
            }
        }
        let mut reports: Vec<Report> = self
            .load
            .kinds
            .iter()
            .map(|kind| Report { kind: kind.name.to_owned(), ..Report::default() })
            .collect();
        for job in self.jobs {
            reports[job.kind].fates.push(job.fate);
            reports[job.kind].teams.push(self.load.teams[job.team].name);
        }
        reports
    }

    fn after(&mut self, time: Duration, happening: Happening) {
        self.last += 1;
        self.happenings.insert((self.now + time, self.last), happening);
    }

    fn unix_ms(&self) -> u64 {
        FIRST_UNIX_MS + self.now.as_millis() as u64
    }
}

/// Picks one by its share.
fn pick(shares: &[f64], rng: &mut StdRng) -> usize {
    let mut left = rng.random::<f64>() * shares.iter().sum::<f64>();
    let is_picked = |share: &f64| {
        left -= share;
        left < 0.0
    };
    shares.iter().position(is_picked).unwrap_or(shares.len() - 1)
}

fn job_id(number: usize) -> Name {
    Name::from(number.to_string())
}

fn job_number(id: &str) -> usize {
    id.parse().expect("the player has named the job")
}
