//! Report of lost jobs, by cause, from the logs of a cell.
//!
//! Each accepted job has a timeline: when the job was accepted, received advice,
//! started, finished its runs and was reported as ended. The loss of a job that
//! exceeded its objective is attributed to the longest phase other than the
//! execution; the loss of a refused job to the reason given to its client. Times
//! are those of the log lines, so the clocks of the instances must agree within
//! a few hundredths of a second.

mod line;
mod timeline;

use std::collections::{BTreeMap, HashMap};

use comfy_table::{Table, presets};

pub use line::Line;
pub use timeline::{Cause, Timeline};

/// Largest ratio of a job's time to its objective at which the job is late; above
/// it, the job is missed.
const MAX_LATE_RATIO: f64 = 3.0;

/// Whether a job ended within its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// Ended within the objective.
    OnTime,
    /// Ended after the objective, within [`MAX_LATE_RATIO`] times the objective.
    Late,
    /// Ended above that ratio, did not end and exceeded the objective, or was
    /// refused.
    Missed,
    /// Not counted: cancelled, without an objective because the job runs at set
    /// times, or within the objective when the log ends.
    Excluded,
}

/// Job that did not end within its objective, or was refused.
#[derive(Clone, Debug, PartialEq)]
pub struct Loss {
    /// Queue of the job.
    pub queue: String,
    /// Team of the job.
    pub team: String,
    /// Time at which the job was accepted or refused, in seconds.
    pub at_s: f64,
    /// [`Timeliness::Late`] or [`Timeliness::Missed`].
    pub timeliness: Timeliness,
    /// Cause of the loss.
    pub cause: Cause,
}

/// Lost jobs according to the logs of a cell.
#[derive(Clone, Debug, Default)]
pub struct Losses {
    /// Number of accepted jobs by queue, without the excluded ones.
    pub job_counts: BTreeMap<String, usize>,
    /// Jobs that were late, missed or refused.
    pub losses: Vec<Loss>,
}

impl Losses {
    /// Determines the lost jobs from log lines.
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
        // A refused job counts once, with the reason of its last refusal, unless it
        // was accepted later.
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

    /// Counts the losses by a key.
    pub fn count_by<K: Ord>(&self, key: impl Fn(&Loss) -> K) -> BTreeMap<K, usize> {
        let mut counts = BTreeMap::new();
        for loss in &self.losses {
            *counts.entry(key(loss)).or_default() += 1;
        }
        counts
    }

    /// Returns the report as text.
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

    /// Returns each second and its number of lost jobs, from second 0 to that of
    /// the last loss.
    pub fn per_second(&self) -> Vec<(f64, f64)> {
        let seconds = self.count_by(|loss| loss.at_s.max(0.0) as u64);
        let last = seconds.keys().max().copied().unwrap_or(0);
        let count = |second: u64| seconds.get(&second).copied().unwrap_or(0) as f64;
        (0..=last).map(|second| (second as f64, count(second))).collect()
    }
}

/// Returns a table of counts, sorted by the first column and then by descending
/// count.
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
