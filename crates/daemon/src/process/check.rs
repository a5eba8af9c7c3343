//! Checks of a settings file that find every fault in one go.

use std::fmt;

use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Map, Value};

/// A `SettingsError` is one thing that is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    file: String,
    key: String,
    what: String,
}

impl SettingsError {
    /// Makes the fault of a key in a file; the key is empty for the whole file.
    pub fn new(file: &str, key: &str, what: impl Into<String>) -> Self {
        Self { file: file.to_owned(), key: key.to_owned(), what: what.into() }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key.as_str() {
            "" => write!(f, "{}: {}", self.file, self.what),
            key => write!(f, "{}: `{key}` {}", self.file, self.what),
        }
    }
}

/// Parses JSON with comments into settings. Keys and the types of values are
/// checked against those of the defaults.
///
/// # Errors
/// Gets every fault that was found.
pub(crate) fn parse<T>(file: &str, text: &str) -> Result<T, Vec<SettingsError>>
where
    T: Default + Serialize + DeserializeOwned,
{
    let whole = |what: String| vec![SettingsError::new(file, "", what)];
    let value = jsonc_parser::parse_to_serde_value(text, &Default::default())
        .map_err(|error| whole(error.to_string()))?;
    let Some(Value::Object(given)) = value else {
        return Err(whole("must be an object".to_owned()));
    };
    let template = serde_json::to_value(T::default()).expect("settings are plain values");
    let mut faults = Vec::new();
    compare(file, "", &given, &template, &mut faults);
    if !faults.is_empty() {
        return Err(faults);
    }
    // What is left are values out of an enumeration or out of range.
    serde_json::from_value(Value::Object(given)).map_err(|error| whole(error.to_string()))
}

fn compare(
    file: &str,
    prefix: &str,
    given: &Map<String, Value>,
    template: &Value,
    faults: &mut Vec<SettingsError>,
) {
    let empty = Map::new();
    let known = template.as_object().unwrap_or(&empty);
    for (name, value) in given {
        let key = if prefix.is_empty() { name.clone() } else { format!("{prefix}.{name}") };
        match (known.get(name), value) {
            (None, _) => {
                let allowed: Vec<_> = known.keys().map(String::as_str).collect();
                let what = format!("is unknown; allowed are {}", allowed.join(", "));
                faults.push(SettingsError::new(file, &key, what));
            }
            (Some(inner @ Value::Object(_)), Value::Object(given)) => {
                compare(file, &key, given, inner, faults);
            }
            (Some(sample), value) if kind(sample) != kind(value) => {
                let what = format!("must be {}, not {}", kind(sample), kind(value));
                faults.push(SettingsError::new(file, &key, what));
            }
            (Some(_), _) => {}
        }
    }
}

fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(number) if number.is_u64() => "a whole number from 0 up",
        Value::Number(_) => "another number",
        Value::String(_) => "a text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}
