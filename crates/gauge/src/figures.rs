//! Measured figures by name.

use std::{collections::BTreeMap, path::Path};

use comfy_table::{Table, presets};
use hdrhistogram::Histogram;

/// Measured figures; each name includes the unit.
#[derive(Clone, Debug, Default)]
pub(crate) struct Figures(BTreeMap<String, f64>);

impl Figures {
    /// Adds a figure and prints it to standard error.
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

/// Returns a histogram with three significant digits that resizes to its values.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three significant digits should be a valid precision")
}

/// Records a value in a resizing histogram. `Histogram::saturating_record` would
/// clamp a large value instead of resizing.
pub(crate) fn record(histogram: &mut Histogram<u64>, value: u64) {
    histogram.record(value).expect("the histogram should resize to its values");
}
