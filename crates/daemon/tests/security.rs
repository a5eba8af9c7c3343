//! TLS with callers, mutual TLS between instances, the check of settings files, and
//! the absence of keys from logs.

mod common;

use std::{process::Command, time::Duration};

use common::*;
use googletest::prelude::*;
use rig::{Client, Options, Rig, Security};
use standin::Layout;

async fn start_with_tls() -> (Rig, tempfile::TempDir) {
    let dir = tempfile::tempdir().unwrap();
    standin::write_certificates(dir.path()).unwrap();
    let options = Options {
        layout: Layout {
            workers: vec![workers("r1", 2, 4000)],
            runners: vec![runners("r1", 3, 4)],
            ..Default::default()
        },
        settings: fast_settings(),
        security: Security::Tls(dir.path().to_owned()),
        daemon: daemon_path(),
        ..Default::default()
    };
    (Rig::start(options).await.unwrap(), dir)
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn connections_without_trusted_tls_are_refused() {
    let (rig, dir) = start_with_tls().await;
    rig.apply_schema(&schema_path()).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    for number in 0..3 {
        let answer = rig.client(number, &key).call(FIND, "by TLS", None).await;
        expect_that!(answer, ok(eq("by TLS")));
    }
    // Refused are a connection without TLS and one that trusts another certificate
    // authority.
    let address = &rig.instances[0].caller_address;
    expect_that!(Client::new(address, &key).call(FIND, "plain", None).await.is_err(), eq(true));
    let other = tempfile::tempdir().unwrap();
    standin::write_certificates(other.path()).unwrap();
    let authority = std::fs::read(other.path().join("authority.pem")).unwrap();
    let distrusting = Client::with_tls(address, &key, &authority);
    expect_that!(distrusting.call(FIND, "stranger", None).await.is_err(), eq(true));

    // Instances with certificates of one authority are linked. An instance with a
    // certificate of another authority gets no link, which is not covered here.
    let status = rig.operator_client(0).status().await.unwrap();
    expect_that!(status.instances.iter().filter(|i| i.reachable).count(), eq(3));
    drop(dir);
}

#[gtest]
fn settings_check_lists_all_errors_and_exits_with_2() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("entry.jsonc");
    std::fs::write(&file, r#"{ "name": "a b", "regon": "r1" }"#).unwrap();
    let run_check =
        || Command::new(daemon_path()).arg("--config").arg(&file).arg("--check").output();
    let output = run_check().unwrap();
    expect_that!(output.status.code(), some(eq(2)));
    let text = String::from_utf8_lossy(&output.stderr);
    expect_that!(text, contains_substring("`regon` is unknown"));
    std::fs::write(&file, r#"{ "name": "a b", "callers": { "tls": "on" } }"#).unwrap();
    let text = String::from_utf8_lossy(&run_check().unwrap().stderr).into_owned();
    expect_that!(text, contains_substring("`name` must be"));
    expect_that!(text, contains_substring("`callers.certificate` must name a file"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn no_key_is_logged() {
    let (rig, _dir) = start_with_tls().await;
    rig.apply_schema(&schema_path()).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    let client = rig.client(0, &key);
    expect_that!(client.call(FIND, "x", None).await.is_ok(), eq(true));
    expect_that!(rig.client(0, "ssk_wrong").call(FIND, "x", None).await.is_err(), eq(true));
    tokio::time::sleep(Duration::from_millis(200)).await;
    for instance in &rig.instances {
        let log = instance.log();
        for secret in [&key, &rig.operator_key, "ssk_"] {
            expect_that!(log, not(contains_substring(secret)));
        }
    }
}
