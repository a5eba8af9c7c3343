//! TLS towards callers, and mutual TLS between instances.

mod common;

use std::{process::Command, time::Duration};

use common::*;
use googletest::prelude::*;
use rig::{Client, Options, Rig, Security};
use standin::Layout;

async fn secure() -> (Rig, tempfile::TempDir) {
    let dir = tempfile::tempdir().unwrap();
    standin::write_certificates(dir.path()).unwrap();
    let options = Options {
        layout: Layout {
            workers: vec![workers("r1", 2, 4000)],
            runners: vec![runners("r1", 3, 4)],
            ..Default::default()
        },
        settings: quick(),
        security: Security::Tls(dir.path().to_owned()),
        daemon: daemon(),
        ..Default::default()
    };
    (Rig::start(options).await.unwrap(), dir)
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_and_instances_meet_by_tls_only() {
    let (rig, dir) = secure().await;
    rig.apply_schema(&schema()).await;
    let key = rig.create_team("clerks", "r1", u32::MAX).await;
    for number in 0..3 {
        let answer = rig.client(number, &key).call(FIND, "by TLS", None).await;
        expect_that!(answer, ok(eq("by TLS")));
    }
    // Neither a plain connection nor one that trusts another authority.
    let address = &rig.instances[0].caller_address;
    expect_that!(Client::new(address, &key).call(FIND, "plain", None).await.is_err(), eq(true));
    let other = tempfile::tempdir().unwrap();
    standin::write_certificates(other.path()).unwrap();
    let authority = std::fs::read(other.path().join("authority.pem")).unwrap();
    let stranger = Client::with_tls(address, &key, &authority);
    expect_that!(stranger.call(FIND, "stranger", None).await.is_err(), eq(true));

    // An instance with a certificate of another authority gets no link.
    let status = rig.operator_client(0).status().await.unwrap();
    expect_that!(status.instances.iter().filter(|i| i.reachable).count(), eq(3));
    drop(dir);
}

#[gtest]
fn the_check_of_settings_exits_with_two_and_every_fault() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("entry.jsonc");
    std::fs::write(&file, r#"{ "name": "a b", "regon": "r1" }"#).unwrap();
    let check = || Command::new(daemon()).arg("--config").arg(&file).arg("--check").output();
    let output = check().unwrap();
    expect_that!(output.status.code(), some(eq(2)));
    let text = String::from_utf8_lossy(&output.stderr);
    expect_that!(text, contains_substring("`regon` is unknown"));
    std::fs::write(&file, r#"{ "name": "a b", "callers": { "tls": "on" } }"#).unwrap();
    let text = String::from_utf8_lossy(&check().unwrap().stderr).into_owned();
    expect_that!(text, contains_substring("`name` must be"));
    expect_that!(text, contains_substring("`callers.certificate` must name a file"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn no_key_is_logged() {
    let (rig, _dir) = secure().await;
    rig.apply_schema(&schema()).await;
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
