//! Cases of the second review: `review-cell CASE RECORD`. Exits with 0 if the
//! rule held, 1 if it was broken, 2 if the case could not run. With TROUBLE=0
//! the disruption is left out.

mod cases;
mod cell;
mod http;
mod json;
mod record;
mod runner;
mod store;

use std::{process::exit, sync::Arc};

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = &args[..] else {
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(record::Record::new(path));
    record.line(&format!("case {case}, trouble {trouble}"));
    let outcome = match case.as_str() {
        "failing" => cases::failing(&record, trouble),
        "backfill" => cases::backfill(&record, trouble),
        "late-start" => cases::late_start(&record, trouble),
        "takeover" => cases::takeover(&record, trouble),
        "estimates" => cases::estimates(&record, trouble),
        _ => None,
    };
    let (word, code) = match outcome {
        None => ("the case could not run", 2),
        Some(true) => ("the rule was broken", 1),
        Some(false) => ("the rule held", 0),
    };
    record.line(word);
    println!("{case}: {word}");
    exit(code);
}
