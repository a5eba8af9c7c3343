//! Runs one case: `case NAME RECORD`. Exit 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run. With TROUBLE=0 there is no disruption.

mod cell;
mod crashes;
mod gang;
mod gone;
mod http;
mod quota;
mod record;
mod runner;
mod store;
mod surge;
mod waiting;

use std::{process::ExitCode, sync::Arc};

use record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, path] = args.as_slice() else {
        eprintln!("usage: case NAME RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::new(path, true));
    let played = std::panic::catch_unwind(|| match name.as_str() {
        "crashes" => crashes::run(&record, has_trouble),
        "waiting" => waiting::run(&record, has_trouble),
        "gone" => gone::run(&record, has_trouble),
        "gang" => gang::run(&record, has_trouble),
        "surge" => surge::run(&record, has_trouble),
        "quota" => quota::run(&record, has_trouble),
        _ => cell::give_up("there is no such case"),
    });
    // A case that could not run, or a stand-in that failed, shows nothing.
    let Ok(is_broken) = played else {
        return ExitCode::from(2);
    };
    record.note(if is_broken { "BROKEN" } else { "held" });
    ExitCode::from(u8::from(is_broken))
}
