//! Settings files: the errors reported for them, the documentation of their keys, and
//! the robustness of their parser.

use std::path::Path;

use daemon::process::Settings;
use googletest::prelude::*;
use proptest::prelude::*;
use serde_json::Value;

/// Valid settings with all mandatory keys.
const VALID: &str = r#"{
    // A comment.
    "name": "entry-1", "region": "r1", "data_centre": "r1-a",
    "callers": { "listen": "127.0.0.1:7000", "tls": "off" },
    "peers": { "listen": "127.0.0.1:7001", "tls": "off" },
    "platform": { "address": "127.0.0.1:7100" },
    "keys": { "digest_secret": "00112233445566778899aabbccddeeff" },
}"#;

/// Returns the errors that are found in a settings file.
fn errors(text: &str) -> Vec<String> {
    match Settings::parse("entry.jsonc", text) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.iter().map(ToString::to_string).collect(),
    }
}

#[gtest]
fn valid_settings_have_no_errors() {
    expect_that!(errors(VALID), is_empty());
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/entry.jsonc");
    expect_that!(Settings::read(&example).map(|settings| settings.name), ok(eq("entry-1")));
}

#[gtest]
fn errors_name_the_file_the_key_and_the_allowed_values() {
    let invalid = VALID
        .replace("\"entry-1\"", "\"a b\"")
        .replace("127.0.0.1:7000", "nowhere")
        .replace("00112233445566778899aabbccddeeff", "secret");
    let found = errors(&invalid);
    expect_that!(found.len(), eq(3));
    expect_that!(found, each(starts_with("entry.jsonc: `")));
    expect_that!(found, contains(contains_substring("`callers.listen` must be an IP number")));

    let unknown =
        VALID.replace("\"tls\": \"off\" },\n    \"peers\"", "\"tsl\": 1 },\n    \"peers\"");
    let unknown = unknown.replace("\"region\": \"r1\"", "\"region\": 7");
    let found = errors(&unknown);
    expect_that!(found, contains(contains_substring("`callers.tsl` is unknown; allowed are")));
    expect_that!(found, contains(contains_substring("`region` must be a text")));
    expect_that!(errors("[]"), elements_are![contains_substring("must be an object")]);
    expect_that!(errors("{ \"name\": "), len(eq(1)));
}

#[gtest]
fn operations_page_documents_every_key() -> googletest::Result<()> {
    fn collect_keys(prefix: &str, value: &Value, keys: &mut Vec<String>) {
        match value {
            Value::Object(map) => {
                for (name, inner) in map {
                    let dot = if prefix.is_empty() { "" } else { "." };
                    collect_keys(&format!("{prefix}{dot}{name}"), inner, keys);
                }
            }
            _ => keys.push(prefix.to_owned()),
        }
    }
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(page)?;
    let mut keys = Vec::new();
    collect_keys("", &serde_json::to_value(Settings::default())?, &mut keys);
    for key in keys {
        expect_that!(page, contains_substring(format!("`{key}`")));
    }
    Ok(())
}

proptest! {
    #[test]
    fn parser_does_not_panic_on_any_text(text in ".{0,200}") {
        let _ = Settings::parse("entry.jsonc", &text);
    }

    #[test]
    fn parser_does_not_panic_on_a_changed_character(
        index in 0..VALID.len(),
        replacement in any::<char>()
    ) {
        let mut text: Vec<char> = VALID.chars().collect();
        text[index] = replacement;
        let _ = Settings::parse("entry.jsonc", &text.into_iter().collect::<String>());
    }
}
