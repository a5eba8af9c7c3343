//! Output of results.

use comfy_table::{Table, presets};
use serde_json::Value;

/// Printer of results as text and tables or, with `--json`, as JSON.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Printer {
    is_json: bool,
}

impl Printer {
    pub(crate) fn new(is_json: bool) -> Self {
        Self { is_json }
    }

    /// Prints one result, as `text` or as the JSON `value`.
    pub(crate) fn print(&self, text: &str, value: &Value) {
        if self.is_json {
            println!("{value}");
        } else {
            println!("{text}");
        }
    }

    /// Prints rows, as a table below the header or as a JSON array of objects whose
    /// keys are the names in the header.
    pub(crate) fn print_table(&self, header: &[&str], rows: Vec<Vec<String>>) {
        if self.is_json {
            let to_object = |row: Vec<String>| -> Value {
                let fields = header.iter().zip(row);
                fields.map(|(name, cell)| ((*name).to_owned(), Value::from(cell))).collect()
            };
            println!("{}", Value::Array(rows.into_iter().map(to_object).collect()));
            return;
        }
        let mut table = Table::new();
        table.load_preset(presets::NOTHING).set_header(header.iter());
        for row in rows {
            table.add_row(row);
        }
        println!("{table}");
    }
}
