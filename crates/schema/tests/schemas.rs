//! Tests of schemas: terms, invalid schemas and breaking changes.

use std::{fs, path::Path, time::Duration};

use googletest::prelude::*;
use proptest::prelude::*;
use schema::{Access, BreakingChange, Urgency, breaking_changes, parse};

fn compile(text: &str) -> Vec<u8> {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    fs::write(dir.path().join("t.proto"), text).expect("the schema file is written");
    let include = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../proto");
    protox::Compiler::new([dir.path(), &include])
        .expect("the include directories exist")
        .include_imports(true)
        .open_file("t.proto")
        .expect("the schema compiles")
        .encode_file_descriptor_set()
}

fn schema(body: &str) -> Vec<u8> {
    compile(&format!(
        "syntax = \"proto3\"; package t; import \"skylarkspan/v1/options.proto\"; {body}"
    ))
}

const MESSAGES: &str = "message Q { string text = 1; int32 n = 2; } message A { bytes out = 1; }";

#[gtest]
fn terms_are_read_from_the_options() {
    let bytes = schema(&format!(
        "service S {{
            rpc Plain(Q) returns (A);
            rpc Quick(Q) returns (A) {{
                option idempotency_level = IDEMPOTENT;
                option (skylarkspan.v1.terms) = {{
                    urgency: URGENCY_URGENT timeout_ms: 250 largest_answer_bytes: 99
                    access: ACCESS_OPEN
                }};
            }}
        }} {MESSAGES}"
    ));
    let methods = parse(&bytes).expect("the schema is valid");
    let plain = &methods[0];
    expect_that!(&*plain.path, eq("/t.S/Plain"));
    expect_that!(plain.is_idempotent, eq(false));
    expect_that!(plain.access, eq(Access::Keyed));
    expect_that!(plain.urgency, eq(Urgency::Normal));
    let quick = &methods[1];
    expect_that!(quick.is_idempotent, eq(true));
    expect_that!(quick.access, eq(Access::Open));
    expect_that!(quick.urgency, eq(Urgency::Urgent));
    expect_that!(quick.timeout, eq(Duration::from_millis(250)));
    expect_that!(quick.max_answer_bytes, eq(99));
}

#[gtest]
fn errors_name_the_method() {
    let cases = [
        (schema("message Q {}"), "no methods"),
        (schema("service S { rpc F(Q) returns (stream Q); } message Q {}"), "t.S.F: streaming"),
        (
            schema(
                "service S { rpc F(Q) returns (Q) { option (skylarkspan.v1.terms) =
                { timeout_ms: 4000000000 }; } } message Q {}",
            ),
            "t.S.F: terms.timeout_ms",
        ),
        (b"nonsense".to_vec(), "descriptors"),
    ];
    for (bytes, reason) in cases {
        let failure = parse(&bytes).expect_err("the schema is invalid");
        expect_that!(failure.reason, contains_substring(reason));
    }
}

#[gtest]
fn only_changes_that_break_clients_are_reported() {
    let service = "service S { rpc F(Q) returns (A); }";
    let old = schema(&format!("{service} {MESSAGES}"));
    let cases = [
        (format!("{service} {MESSAGES} message New {{}}"), vec![]),
        (
            format!(
                "{service} message Q {{ string text = 1; int32 n = 2; bool b = 3; }} message A {{ bytes out = 1; }}"
            ),
            vec![],
        ),
        (
            format!("service S {{ rpc G(Q) returns (A); }} {MESSAGES}"),
            vec![BreakingChange::Removed("t.S.F".to_owned())],
        ),
        (
            format!("service S {{ rpc F(A) returns (A); }} {MESSAGES}"),
            vec![BreakingChange::Retyped("t.S.F".to_owned())],
        ),
        (
            format!(
                "{service} message Q {{ bytes text = 1; int32 n = 2; }} message A {{ bytes out = 1; }}"
            ),
            vec![BreakingChange::Field("t.Q.text".to_owned())],
        ),
    ];
    for (new, expected) in cases {
        expect_that!(breaking_changes(&old, &schema(&new)), ok(eq(&expected)), "{new}");
    }
}

/// Some malformed sets made the descriptor library panic while it formatted its
/// error. The property tests below found this.
#[gtest]
fn malformed_set_fails_without_a_panic() {
    const STEP: usize = 41;
    let good = schema("service S { rpc F(Q) returns (Q); } message Q {}");
    for at in (0..good.len()).step_by(STEP) {
        for with in [0, 2, 255] {
            let mut bytes = good.clone();
            bytes[at] = with;
            let _ = parse(&bytes);
        }
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = parse(&bytes);
    }

    #[test]
    fn changed_byte_does_not_panic(at in any::<prop::sample::Index>(), with: u8) {
        let mut bytes = schema("service S { rpc F(Q) returns (Q); } message Q {}");
        let at = at.index(bytes.len());
        bytes[at] = with;
        let _ = parse(&bytes);
    }
}
