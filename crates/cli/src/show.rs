//! What is printed.

use comfy_table::{Table, presets};
use serde_json::Value;

/// A `Show` prints results in the form that was asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Show {
    json: bool,
}

impl Show {
    pub(crate) fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints one result: a line of text, or a JSON value.
    pub(crate) fn line(&self, text: &str, value: &Value) {
        if self.json {
            println!("{value}");
        } else {
            println!("{text}");
        }
    }

    /// Prints rows: a table with a head, or a JSON list of objects.
    pub(crate) fn rows(&self, head: &[&str], rows: Vec<Vec<String>>) {
        if self.json {
            let object = |row: Vec<String>| -> Value {
                let fields = head.iter().zip(row);
                fields.map(|(name, cell)| ((*name).to_owned(), Value::from(cell))).collect()
            };
            println!("{}", Value::Array(rows.into_iter().map(object).collect()));
            return;
        }
        let mut table = Table::new();
        table.load_preset(presets::NOTHING).set_header(head.iter());
        for row in rows {
            table.add_row(row);
        }
        println!("{table}");
    }
}
