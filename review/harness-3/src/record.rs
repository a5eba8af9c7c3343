//! What was sent, answered and run, with the time since the start of the case.

use std::{collections::BTreeMap, fs::File, io::Write, sync::Mutex, time::Instant};

/// What runners have seen of one task.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub starts: u32,
    pub done: u32,
    pub failed: u32,
    pub lost: u32,
    pub other: u32,
}

pub struct Record {
    began: Instant,
    file: Mutex<File>,
    tasks: Mutex<BTreeMap<String, Seen>>,
    /// Begins and ends of runs: time, task, and how it ended or `starts`.
    events: Mutex<Vec<(f64, String, String)>>,
    /// Whether each begin and end of a run is written.
    pub is_full: bool,
}

impl Record {
    pub fn new(path: &str, is_full: bool) -> Self {
        let file = Mutex::new(File::create(path).expect("the record can be written"));
        Self {
            began: Instant::now(),
            file,
            tasks: Mutex::default(),
            events: Mutex::default(),
            is_full,
        }
    }

    pub fn elapsed_s(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:8.3} {text}", self.elapsed_s());
    }

    fn change(&self, task: &str, change: impl FnOnce(&mut Seen)) {
        change(self.tasks.lock().unwrap().entry(task.to_owned()).or_default());
    }

    fn event(&self, task: &str, how: &str) {
        let at = self.elapsed_s();
        self.events.lock().unwrap().push((at, task.to_owned(), how.to_owned()));
    }

    /// Returns the begins and ends of the runs of a job.
    pub fn events(&self, job: &str) -> Vec<(f64, String, String)> {
        let events = self.events.lock().unwrap();
        events.iter().filter(|(_, task, _)| task.starts_with(job)).cloned().collect()
    }

    pub fn begin(&self, runner: &str, task: &str, run: u64) {
        self.change(task, |seen| seen.starts += 1);
        self.event(task, "starts");
        if self.is_full {
            self.note(&format!("{runner} starts {task} run {run}"));
        }
    }

    pub fn end(&self, runner: &str, task: &str, run: u64, how: &str) {
        self.event(task, how);
        self.change(task, |seen| match how {
            "done" => seen.done += 1,
            "failed" => seen.failed += 1,
            _ => seen.other += 1,
        });
        if self.is_full {
            self.note(&format!("{runner} ends {task} run {run}: {how}"));
        }
    }

    pub fn paced(&self, runner: &str, task: &str, percent: u64) {
        if self.is_full {
            self.note(&format!("{runner} paces {task} to {percent}"));
        }
    }

    pub fn lost(&self, runner: &str, task: &str, run: u64) {
        self.change(task, |seen| seen.lost += 1);
        if self.is_full {
            self.note(&format!("{runner} loses {task} run {run}"));
        }
    }

    /// Returns what was seen of the tasks of a job.
    pub fn of_job(&self, job: &str) -> Vec<Seen> {
        let tasks = self.tasks.lock().unwrap();
        tasks
            .iter()
            .filter(|(task, _)| task.starts_with(job))
            .map(|(_, seen)| seen.clone())
            .collect()
    }
}
