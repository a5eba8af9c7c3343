//! Merging of daemon settings.

use serde_json::Value;

/// Merges `overrides` into `base`. Objects are merged key by key; every other
/// value replaces the one in `base`.
pub fn merge_settings(base: &mut Value, overrides: &Value) {
    match (base, overrides) {
        (Value::Object(base), Value::Object(overrides)) => {
            for (key, value) in overrides {
                merge_settings(base.entry(key.clone()).or_insert(Value::Null), value);
            }
        }
        (base, overrides) => *base = overrides.clone(),
    }
}
