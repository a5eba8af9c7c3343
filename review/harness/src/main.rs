//! Plays a case: `harness CASE RECORD`. With `TROUBLE=0` without the disruption.
//! Exits with 1 if the rule was broken, with 0 if it held and with 2 if the case
//! couldn't run.

mod cases;
mod cell;
mod http;
mod log;
mod runner;
mod store;

use std::{panic, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: harness CASE RECORD");
        return ExitCode::from(2);
    };
    log::open(record);
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    note!("case {case}, {} the disruption", if trouble { "with" } else { "without" });
    let broken = panic::catch_unwind(|| cases::play(case, trouble));
    match broken {
        Ok(Some(true)) => {
            note!("the rule was broken");
            ExitCode::from(1)
        }
        Ok(Some(false)) => {
            note!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(None) | Err(_) => {
            note!("the case could not run");
            ExitCode::from(2)
        }
    }
}
