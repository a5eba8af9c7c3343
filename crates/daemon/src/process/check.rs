//! Checks of a settings file that report all errors at once.

use std::fmt;

use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Map, Value};

/// Error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    file: String,
    key: String,
    message: String,
}

impl SettingsError {
    /// Creates the error of a key; an empty key stands for the whole file.
    pub fn new(file: &str, key: &str, message: impl Into<String>) -> Self {
        Self { file: file.to_owned(), key: key.to_owned(), message: message.into() }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key.as_str() {
            "" => write!(f, "{}: {}", self.file, self.message),
            key => write!(f, "{}: `{key}` {}", self.file, self.message),
        }
    }
}

/// Parses JSON with comments into settings. Keys and the types of values are
/// checked against the defaults.
///
/// # Errors
/// Returns all errors found.
pub(crate) fn parse<T>(file: &str, text: &str) -> Result<T, Vec<SettingsError>>
where
    T: Default + Serialize + DeserializeOwned,
{
    let file_error = |message: String| vec![SettingsError::new(file, "", message)];
    let value = jsonc_parser::parse_to_serde_value(text, &Default::default())
        .map_err(|error| file_error(error.to_string()))?;
    let Some(Value::Object(values)) = value else {
        return Err(file_error("must be an object".to_owned()));
    };
    let defaults =
        serde_json::to_value(T::default()).expect("settings have only serialisable values");
    let mut errors = Vec::new();
    check_values(file, "", &values, &defaults, &mut errors);
    if !errors.is_empty() {
        return Err(errors);
    }
    // Values that are out of range or unknown to an enum are found only here.
    serde_json::from_value(Value::Object(values)).map_err(|error| file_error(error.to_string()))
}

fn check_values(
    file: &str,
    prefix: &str,
    values: &Map<String, Value>,
    defaults: &Value,
    errors: &mut Vec<SettingsError>,
) {
    let empty = Map::new();
    let known = defaults.as_object().unwrap_or(&empty);
    for (name, value) in values {
        let key = if prefix.is_empty() { name.clone() } else { format!("{prefix}.{name}") };
        match (known.get(name), value) {
            (None, _) => {
                let allowed: Vec<_> = known.keys().map(String::as_str).collect();
                let message = format!("is unknown; allowed are {}", allowed.join(", "));
                errors.push(SettingsError::new(file, &key, message));
            }
            (Some(inner @ Value::Object(_)), Value::Object(values)) => {
                check_values(file, &key, values, inner, errors);
            }
            (Some(default), value) if type_name(default) != type_name(value) => {
                let message = format!("must be {}, not {}", type_name(default), type_name(value));
                errors.push(SettingsError::new(file, &key, message));
            }
            (Some(_), _) => {}
        }
    }
}

fn type_name(value: &Value) -> &'static str {
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
