//! The record of what was sent, answered and run.

use std::{fs::File, io::Write, sync::Mutex, time::Instant};

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn new(path: &str) -> Record {
        Record { file: Mutex::new(File::create(path).expect("a record")), started: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }
}
