//! What callers lost, by cause, from the logs of a cell.
//!
//! Each job that was accepted has a story: when it was accepted, asked advice
//! for, started, stopped, ended and told as ended. A job that took longer than
//! its objective lost by what took the most time of it beyond its work; one that
//! was refused lost by the reason that its client was given. Times are those of
//! the log lines, so the clocks of the instances have to agree within some
//! hundredths of a second.

mod line;
mod timeline;

use std::collections::{BTreeMap, HashMap};

use comfy_table::{Table, presets};

pub use line::Line;
pub use timeline::{Cause, Timeline};

/// A job that takes more than this many times its objective is of no use.
const MAX_LATE_RATIO: f64 = 3.0;

/// A `Timeliness` is what a job was to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// It was done in time.
    OnTime,
    /// It was done later.
    Late,
    /// It was done too late, or not at all.
    Missed,
    /// Its caller took it back, or it runs at set times.
    Excluded,
}

/// A `Loss` is a job that wasn't done in time.
#[derive(Clone, Debug, PartialEq)]
pub struct Loss {
    /// Queue of the job.
    pub queue: String,
    /// Team of the job.
    pub team: String,
    /// When it was accepted or refused, in seconds.
    pub at_s: f64,
    /// Whether it was late, or of no use.
    pub timeliness: Timeliness,
    /// By what.
    pub cause: Cause,
}

/// A `Losses` is what the logs tell of what was lost.
#[derive(Clone, Debug, Default)]
pub struct Losses {
    /// Jobs that were accepted and count, by queue.
    pub job_counts: BTreeMap<String, usize>,
    /// What was lost.
    pub losses: Vec<Loss>,
}

impl Losses {
    /// Gathers what was lost from log lines.
    pub fn from_lines(lines: impl IntoIterator<Item = Line>) -> Self {
        let mut timelines: HashMap<String, Timeline> = HashMap::new();
        let mut refused: BTreeMap<(String, String), f64> = BTreeMap::new();
        let mut takeovers_s = Vec::new();
        let mut log_end_s = 0.0_f64;
        for line in lines {
            log_end_s = log_end_s.max(line.at_s);
            match line.event {
                line::LEAD_ACQUIRED => takeovers_s.push(line.at_s),
                line::REQUEST_REFUSED if line.text("request") == Some("submit") => {
                    if let (Some(job), Some(why)) = (line.text("job"), line.text("why")) {
                        refused.entry((job.to_owned(), why.to_owned())).or_insert(line.at_s);
                    }
                }
                _ => {
                    if let Some(job) = line.text("job") {
                        timelines.entry(job.to_owned()).or_default().apply(&line);
                    }
                }
            }
        }
        let mut losses = Self::default();
        let mut accepted: Vec<&Timeline> =
            timelines.values().filter(|timeline| timeline.is_accepted()).collect();
        accepted.sort_by(|a, b| a.accepted_s.total_cmp(&b.accepted_s));
        for timeline in accepted {
            let timeliness = timeline.timeliness(log_end_s);
            if timeliness == Timeliness::Excluded {
                continue;
            }
            *losses.job_counts.entry(timeline.queue.clone()).or_default() += 1;
            if timeliness != Timeliness::OnTime {
                losses.losses.push(timeline.loss(timeliness, &takeovers_s, log_end_s));
            }
        }
        // The last of several refusals decides, unless the job was accepted.
        let mut last_refusals: BTreeMap<&String, (&String, f64)> = BTreeMap::new();
        for ((job, why), at_s) in &refused {
            let last = last_refusals.entry(job).or_insert((why, *at_s));
            if *at_s >= last.1 {
                *last = (why, *at_s);
            }
        }
        for (job, (why, at_s)) in last_refusals {
            if timelines.get(job).is_none_or(|timeline| !timeline.is_accepted()) {
                losses.losses.push(Loss {
                    queue: "(refused)".to_owned(),
                    team: String::new(),
                    at_s,
                    timeliness: Timeliness::Missed,
                    cause: Cause::Refused(why.clone()),
                });
            }
        }
        losses
    }

    /// Counts the losses by something of them.
    pub fn count_by<K: Ord>(&self, key: impl Fn(&Loss) -> K) -> BTreeMap<K, usize> {
        let mut counts = BTreeMap::new();
        for loss in &self.losses {
            *counts.entry(key(loss)).or_default() += 1;
        }
        counts
    }

    /// Gets the report as text.
    pub fn report(&self) -> String {
        let mut text = String::new();
        let mut table = Table::new();
        table.load_preset(presets::NOTHING).set_header(["queue", "jobs", "late", "no use"]);
        let of = |queue: &str, timeliness| {
            let is_one = |loss: &&Loss| loss.queue == queue && loss.timeliness == timeliness;
            self.losses.iter().filter(is_one).count().to_string()
        };
        for (queue, jobs) in &self.job_counts {
            let row = [of(queue, Timeliness::Late), of(queue, Timeliness::Missed)];
            table.add_row([vec![queue.clone(), jobs.to_string()], row.into()].concat());
        }
        text.push_str(&format!("{table}\n\n"));
        let rows = self.count_by(|loss| (loss.queue.clone(), loss.cause.to_string()));
        text.push_str(&counts("queue", "cause", rows));
        let rows = self.count_by(|loss| (loss.queue.clone(), loss.team.clone()));
        text.push_str(&counts("queue", "team", rows));
        let rows =
            self.count_by(|loss| (format!("{:4.0}", loss.at_s.floor()), loss.cause.to_string()));
        text.push_str(&counts("second", "cause", rows));
        text
    }

    /// Gets how many jobs were lost in each second, in order.
    pub fn per_second(&self) -> Vec<(f64, f64)> {
        let seconds = self.count_by(|loss| loss.at_s.max(0.0) as u64);
        let last = seconds.keys().max().copied().unwrap_or(0);
        let count = |second: u64| seconds.get(&second).copied().unwrap_or(0) as f64;
        (0..=last).map(|second| (second as f64, count(second))).collect()
    }
}

/// Gets a table of counts, the largest of each first name first.
fn counts(first: &str, second: &str, rows: BTreeMap<(String, String), usize>) -> String {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header([first, second, "lost"]);
    let mut rows: Vec<_> = rows.into_iter().collect();
    rows.sort_by(|((a, _), x), ((b, _), y)| a.cmp(b).then(y.cmp(x)));
    for ((first, second), count) in rows {
        table.add_row([first, second, count.to_string()]);
    }
    format!("{table}\n\n")
}
