//! Settings files: every fault is found, and the page lists every key.

use std::path::Path;

use daemon::process::Settings;
use googletest::prelude::*;
use proptest::prelude::*;
use serde_json::Value;

const GOOD: &str = r#"{
    // A comment.
    "name": "entry-1", "region": "r1", "data_centre": "r1-a",
    "callers": { "listen": "127.0.0.1:7000", "tls": "off" },
    "peers": { "listen": "127.0.0.1:7001", "tls": "off" },
    "platform": { "address": "127.0.0.1:7100" },
    "keys": { "digest_secret": "00112233445566778899aabbccddeeff" },
}"#;

fn faults(text: &str) -> Vec<String> {
    match Settings::parse("entry.jsonc", text) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(ToString::to_string).collect(),
    }
}

#[gtest]
fn good_settings_have_no_fault() {
    expect_that!(faults(GOOD), is_empty());
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/entry.jsonc");
    expect_that!(Settings::read(&example).map(|settings| settings.name), ok(eq("entry-1")));
}

#[gtest]
fn every_fault_names_the_file_the_key_and_what_is_allowed() {
    let bad = GOOD
        .replace("\"entry-1\"", "\"a b\"")
        .replace("127.0.0.1:7000", "nowhere")
        .replace("00112233445566778899aabbccddeeff", "secret");
    let found = faults(&bad);
    expect_that!(found.len(), eq(3));
    expect_that!(found, each(starts_with("entry.jsonc: `")));
    expect_that!(found, contains(contains_substring("`callers.listen` must be an IP number")));

    let unknown =
        GOOD.replace("\"tls\": \"off\" },\n    \"peers\"", "\"tsl\": 1 },\n    \"peers\"");
    let unknown = unknown.replace("\"region\": \"r1\"", "\"region\": 7");
    let found = faults(&unknown);
    expect_that!(found, contains(contains_substring("`callers.tsl` is unknown; allowed are")));
    expect_that!(found, contains(contains_substring("`region` must be a text")));
    expect_that!(faults("[]"), elements_are![contains_substring("must be an object")]);
    expect_that!(faults("{ \"name\": "), len(eq(1)));
}

#[gtest]
fn the_page_lists_every_key() -> googletest::Result<()> {
    fn keys(prefix: &str, value: &Value, all: &mut Vec<String>) {
        match value {
            Value::Object(map) => {
                for (name, inner) in map {
                    let dot = if prefix.is_empty() { "" } else { "." };
                    keys(&format!("{prefix}{dot}{name}"), inner, all);
                }
            }
            _ => all.push(prefix.to_owned()),
        }
    }
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(page)?;
    let mut all = Vec::new();
    keys("", &serde_json::to_value(Settings::default())?, &mut all);
    for key in all {
        expect_that!(page, contains_substring(format!("`{key}`")));
    }
    Ok(())
}

proptest! {
    #[test]
    fn no_text_makes_the_parser_panic(text in ".{0,200}") {
        let _ = Settings::parse("entry.jsonc", &text);
    }

    #[test]
    fn no_change_of_a_character_makes_the_parser_panic(at in 0..GOOD.len(), with in any::<char>()) {
        let mut text: Vec<char> = GOOD.chars().collect();
        text[at] = with;
        let _ = Settings::parse("entry.jsonc", &text.into_iter().collect::<String>());
    }
}
