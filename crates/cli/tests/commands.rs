//! Parsing of the command line, check of schema files, and exit codes.

use std::path::PathBuf;

use base::Failure;
use cli::Error;
use googletest::prelude::*;

fn example(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    path.display().to_string()
}

/// Runs a command and returns its exit code.
async fn exit_code(arguments: &[&str]) -> u8 {
    // No instance listens on port 9, so connections are refused.
    let mut command_line = vec!["--server", "127.0.0.1:9"];
    command_line.extend(arguments);
    let options = cli::options().run_inner(&command_line[..]).expect("the command line is valid");
    cli::run(options).await.map_or_else(|error| error.exit_code(), |()| 0)
}

#[gtest]
#[tokio::test]
async fn schema_check_needs_no_instance() {
    expect_that!(exit_code(&["schema", "check", &example("counter.proto")]).await, eq(0));
    expect_that!(exit_code(&["schema", "check", &example("missing.proto")]).await, eq(2));
}

#[gtest]
#[tokio::test]
async fn requests_without_a_connection_exit_as_not_run() {
    for arguments in [vec!["status"], vec!["config"], vec!["job", "list"]] {
        expect_that!(exit_code(&arguments).await, eq(3));
    }
}

#[gtest]
fn exit_codes_state_whether_the_request_has_run() {
    let request = |failure| Error::Request { failure };
    let cases = [
        (Error::Outcome { reason: "a task failed".to_owned() }, 1),
        (Error::usage("wrong"), 2),
        (request(Failure::invalid("wrong")), 3),
        (request(Failure::unknown("cut")), 4),
        (request(Failure::ran("too large")), 5),
    ];
    for (error, code) in cases {
        expect_that!(error.exit_code(), eq(code), "{error}");
    }
}

#[gtest]
fn missing_and_unknown_arguments_are_rejected() {
    for arguments in [&["team", "put", "clerks"][..], &["frobnicate"], &["job", "get"]] {
        expect_that!(cli::options().run_inner(arguments).is_err(), eq(true));
    }
}

#[gtest]
fn option_rules_hold_for_all_commands_with_help() {
    // The help of `fault` panicked, as an option stood behind positional ones.
    cli::options().check_invariants(true);
    for command in [vec!["--help"], vec!["fault", "--help"], vec!["job", "submit", "--help"]] {
        let help = cli::options().run_inner(&command[..]);
        let is_help = help.err().is_some_and(|failure| failure.exit_code() == 0);
        expect_that!(is_help, eq(true), "{command:?}");
    }
}
