//! The record of a run: what was sent, answered and run, with times.

use std::{
    fs::File,
    io::Write,
    sync::{Mutex, OnceLock},
    time::Instant,
};

static START: OnceLock<Instant> = OnceLock::new();
static FILE: Mutex<Option<File>> = Mutex::new(None);

/// Opens the record.
pub fn open(path: &str) {
    START.get_or_init(Instant::now);
    *FILE.lock().unwrap() = Some(File::create(path).expect("the record can be written"));
}

/// Seconds since the start of the run.
pub fn seconds() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Writes a line to the record.
pub fn line(text: &str) {
    let line = format!("{:9.3}  {text}\n", seconds());
    print!("{line}");
    if let Some(file) = FILE.lock().unwrap().as_mut() {
        let _ = file.write_all(line.as_bytes());
    }
}

/// Writes a formatted line to the record.
#[macro_export]
macro_rules! note {
    ($($part:tt)*) => { $crate::log::line(&format!($($part)*)) };
}
