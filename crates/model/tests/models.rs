//! The invariant of each protocol holds, and fails if any guard is disabled.

use googletest::prelude::*;
use model::{
    Model, Outcome,
    admission::{self, Admission},
    allowance::{self, Allowance},
    check,
    completion::{self, Completion},
    configuration::{self, Configuration},
    ownership::{self, Ownership},
};

/// A search of fewer states would not have explored the protocol.
const MIN_STATES: usize = 100;

fn expect_holds<M: Model>(model: &M) {
    match check(model) {
        Outcome::Holds { state_count } => {
            println!("holds in {state_count} states");
            expect_that!(state_count, ge(MIN_STATES));
        }
        Outcome::Violated { violation, trace } => {
            add_failure!("{violation}: {}", format_trace(&trace))
        }
    }
}

fn expect_violation<M: Model>(name: &str, model: &M) {
    match check(model) {
        Outcome::Holds { state_count } => {
            add_failure!("holds without {name} in {state_count} states")
        }
        Outcome::Violated { violation, trace } => {
            println!("{name}: {violation} after {} steps", trace.len())
        }
    }
}

#[gtest]
fn job_told_as_complete_never_runs_again_and_others_are_done() {
    expect_holds(&Completion { guards: completion::Guards::ALL });
}

#[gtest]
fn ends_held_by_the_target_and_all_nodes_do_not_replace_the_record() {
    // Telling callers during an outage of the service, while the target and all
    // nodes hold the end, needs a rule for a later leader that finds neither:
    // starting the task again runs a told job twice, and not starting it
    // abandons one whose target died before the end. The two look the same.
    use completion::Guards;
    let guards = Guards { records_before_telling: false, ..Guards::ALL };
    expect_violation("records_before_telling", &Completion { guards });
    let guards = Guards { restarts_unlisted: false, ..guards };
    expect_violation("restarts_unlisted", &Completion { guards });
}

#[gtest]
fn task_runs_on_one_worker_at_a_time_and_at_most_once_unless_idempotent() {
    for is_idempotent in [true, false] {
        expect_holds(&Ownership { guards: ownership::Guards::ALL, is_idempotent });
    }
}

#[gtest]
fn ownership_is_violated_without_any_of_its_guards() {
    use ownership::Guards;
    let all = Guards::ALL;
    let cases = [
        ("fences_ledger", true, Guards { fences_ledger: false, ..all }),
        ("records_before_start", true, Guards { records_before_start: false, ..all }),
        ("fences_worker", true, Guards { fences_worker: false, ..all }),
        ("awaits_lapse", true, Guards { awaits_lapse: false, ..all }),
        ("expires_starts", true, Guards { expires_starts: false, ..all }),
        ("keeps_ends", false, Guards { keeps_ends: false, ..all }),
    ];
    for (name, is_idempotent, guards) in cases {
        expect_violation(name, &Ownership { guards, is_idempotent });
    }
}

#[gtest]
fn regions_together_respect_the_limit() {
    use allowance::Guards;
    for limit in 1..=3 {
        let guards = Guards { uses_cas: true, starts_within_grant: true };
        expect_holds(&Allowance { guards, limit });
    }
    expect_violation(
        "uses_cas",
        &Allowance { guards: Guards { uses_cas: false, starts_within_grant: true }, limit: 3 },
    );
    expect_violation(
        "starts_within_grant",
        &Allowance { guards: Guards { uses_cas: true, starts_within_grant: false }, limit: 3 },
    );
}

#[gtest]
fn accepted_configurations_are_never_lost() {
    use configuration::Guards;
    let all =
        Guards { uses_cas: true, stores_before_accepting: true, rejects_older_versions: true };
    expect_holds(&Configuration { guards: all });
    expect_violation("uses_cas", &Configuration { guards: Guards { uses_cas: false, ..all } });
    expect_violation(
        "stores_before_accepting",
        &Configuration { guards: Guards { stores_before_accepting: false, ..all } },
    );
    expect_violation(
        "rejects_older_versions",
        &Configuration { guards: Guards { rejects_older_versions: false, ..all } },
    );
}

#[gtest]
fn call_runs_at_most_once() {
    use admission::Guards;
    let all = Guards::ALL;
    expect_holds(&Admission { guards: all });
    expect_violation(
        "records_before_start",
        &Admission { guards: Guards { records_before_start: false, ..all } },
    );
    expect_violation(
        "fences_record",
        &Admission { guards: Guards { fences_record: false, ..all } },
    );
    expect_violation(
        "resends_only_not_run",
        &Admission { guards: Guards { resends_only_not_run: false, ..all } },
    );
    expect_violation(
        "retracts_only_not_run",
        &Admission { guards: Guards { retracts_only_not_run: false, ..all } },
    );
}

/// Formats a counterexample with one state per line.
fn format_trace<S: std::fmt::Debug>(trace: &[S]) -> String {
    trace.iter().map(|state| format!("\n{state:?}")).collect()
}
