//! Figures by name.

use std::{collections::BTreeMap, path::Path};

use comfy_table::{Table, presets};
use hdrhistogram::Histogram;

/// A `Figures` is what was measured; names carry units.
#[derive(Clone, Debug, Default)]
pub(crate) struct Figures(BTreeMap<String, f64>);

impl Figures {
    /// Adds a figure.
    pub(crate) fn add(&mut self, name: impl Into<String>, value: f64) {
        let name = name.into();
        eprintln!("{name} {value:.3}");
        self.0.insert(name, value);
    }

    /// Prints all figures as a table.
    pub(crate) fn print(&self) {
        let mut table = Table::new();
        table.load_preset(presets::NOTHING).set_header(["figure", "value"]);
        for (name, value) in &self.0 {
            table.add_row([name.clone(), format!("{value:.4}")]);
        }
        println!("{table}");
    }

    /// Writes all figures as one flat JSON object.
    pub(crate) fn write(&self, path: &Path) -> Result<(), String> {
        let text = serde_json::to_string_pretty(&self.0).map_err(|error| error.to_string())?;
        std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
    }
}

/// Makes a histogram that grows with its values.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}

/// Records a value. Unlike the histogram's own saturating method, this lets
/// the histogram grow.
pub(crate) fn record(histogram: &mut Histogram<u64>, value: u64) {
    histogram.record(value).expect("the histogram grows with its values");
}
