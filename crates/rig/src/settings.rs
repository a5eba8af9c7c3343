//! Settings of the daemons.

use serde_json::Value;

/// Puts the values of `over` in the place of those of `base`, object by object.
pub fn merge_settings(base: &mut Value, over: &Value) {
    match (base, over) {
        (Value::Object(base), Value::Object(over)) => {
            for (key, value) in over {
                merge_settings(base.entry(key.clone()).or_insert(Value::Null), value);
            }
        }
        (base, over) => *base = over.clone(),
    }
}
