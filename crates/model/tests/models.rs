//! The protocols hold, and none of their guards can be left out.

use googletest::prelude::*;
use model::{
    Model, Verdict,
    admission::{self, Admission},
    allowance::{self, Allowance},
    check,
    configuration::{self, Configuration},
    ownership::{self, Ownership},
};

/// States below which a search is too small to mean anything.
const LEAST_STATES: usize = 100;

fn holds<M: Model>(model: &M) {
    match check(model) {
        Verdict::Holds { states } => {
            println!("holds in {states} states");
            expect_that!(states, ge(LEAST_STATES));
        }
        Verdict::Fails { fault, path } => add_failure!("{fault}: {}", show(&path)),
    }
}

fn fails<M: Model>(name: &str, model: &M) {
    match check(model) {
        Verdict::Holds { states } => add_failure!("holds without {name} in {states} states"),
        Verdict::Fails { fault, path } => println!("{name}: {fault} after {} steps", path.len()),
    }
}

#[gtest]
fn a_task_runs_in_one_place_and_at_most_once() {
    for idempotent in [true, false] {
        holds(&Ownership { guards: ownership::Guards::ALL, idempotent });
    }
}

#[gtest]
fn each_guard_of_the_ownership_is_needed() {
    use ownership::Guards;
    let all = Guards::ALL;
    let cases = [
        ("fenced_ledger", true, Guards { fenced_ledger: false, ..all }),
        ("recorded_first", true, Guards { recorded_first: false, ..all }),
        ("fenced_worker", true, Guards { fenced_worker: false, ..all }),
        ("awaited_lapse", true, Guards { awaited_lapse: false, ..all }),
        ("timed_start", true, Guards { timed_start: false, ..all }),
        ("kept_ends", false, Guards { kept_ends: false, ..all }),
    ];
    for (name, idempotent, guards) in cases {
        fails(name, &Ownership { guards, idempotent });
    }
}

#[gtest]
fn regions_keep_the_limit_together() {
    use allowance::Guards;
    for limit in 1..=3 {
        let guards = Guards { compared: true, granted_first: true };
        holds(&Allowance { guards, limit });
    }
    fails(
        "compared",
        &Allowance { guards: Guards { compared: false, granted_first: true }, limit: 3 },
    );
    fails(
        "granted_first",
        &Allowance { guards: Guards { compared: true, granted_first: false }, limit: 3 },
    );
}

#[gtest]
fn accepted_configurations_stay() {
    use configuration::Guards;
    let all = Guards { compared: true, stored_first: true, rising: true };
    holds(&Configuration { guards: all });
    fails("compared", &Configuration { guards: Guards { compared: false, ..all } });
    fails("stored_first", &Configuration { guards: Guards { stored_first: false, ..all } });
    fails("rising", &Configuration { guards: Guards { rising: false, ..all } });
}

#[gtest]
fn a_call_runs_at_most_once() {
    use admission::Guards;
    let all = Guards::ALL;
    holds(&Admission { guards: all });
    fails("recorded_first", &Admission { guards: Guards { recorded_first: false, ..all } });
    fails("fenced_record", &Admission { guards: Guards { fenced_record: false, ..all } });
    fails("sure_repeat", &Admission { guards: Guards { sure_repeat: false, ..all } });
    fails("sure_retract", &Admission { guards: Guards { sure_retract: false, ..all } });
}

/// Writes a counterexample, one state a line.
fn show<S: std::fmt::Debug>(path: &[S]) -> String {
    path.iter().map(|state| format!("\n{state:?}")).collect()
}
