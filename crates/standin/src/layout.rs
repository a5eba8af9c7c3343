//! Which targets there are.

use std::path::Path;

use serde::{Deserialize, Serialize};

/// A `Layout` is the targets of a world.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Layout {
    /// Address of the platform's services; any free port if empty.
    pub platform: String,
    /// Time by which the list of instances lags, in milliseconds.
    pub list_lag_ms: u64,
    /// Groups of equal workers.
    pub workers: Vec<Group>,
    /// Groups of equal runners.
    pub runners: Vec<Group>,
}

/// A `Group` is a number of equal targets in one data centre.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Group {
    /// Start of the names, followed by a number.
    pub prefix: String,
    /// Number of targets.
    pub count: u32,
    /// Region.
    pub region: String,
    /// Data centre.
    pub data_centre: String,
    /// Targets in a rack.
    pub rack_size: u32,
    /// Kind of machine.
    pub kind: String,
    /// Labels.
    pub labels: Vec<String>,
    /// Workers only: thousandths of a core.
    pub cpu_milli: u32,
    /// Workers only: mebibytes of memory.
    pub memory_mib: u32,
    /// Workers only: accelerators.
    pub accelerators: u32,
    /// Runners only: calls at once.
    pub slots: u32,
    /// Runners only: services.
    pub services: Vec<String>,
    /// Runners only: time that a call takes, in milliseconds.
    pub call_ms: u64,
}

impl Default for Group {
    fn default() -> Self {
        Self {
            prefix: "target".to_owned(),
            count: 1,
            region: "r1".to_owned(),
            data_centre: "r1-a".to_owned(),
            rack_size: 8,
            kind: "standard".to_owned(),
            labels: Vec::new(),
            cpu_milli: 16_000,
            memory_mib: 32_768,
            accelerators: 0,
            slots: 8,
            services: Vec::new(),
            call_ms: 0,
        }
    }
}

impl Layout {
    /// Reads a layout in JSON with comments.
    ///
    /// # Errors
    /// Gets what is wrong with the file.
    pub fn read(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| format!("{}: {error}", path.display()))?;
        let value = jsonc_parser::parse_to_serde_value(&text, &Default::default())
            .map_err(|error| format!("{}: {error}", path.display()))?
            .unwrap_or_default();
        serde_json::from_value(value).map_err(|error| format!("{}: {error}", path.display()))
    }
}
