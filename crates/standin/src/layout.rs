//! Layout of the targets.

use std::path::Path;

use serde::{Deserialize, Serialize};

/// Targets and settings of a [`World`](crate::World).
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Layout {
    /// Address of the platform's services; any free port if empty.
    pub platform: String,
    /// Lag of the list of instances, in milliseconds.
    pub list_lag_ms: u64,
    /// Groups of identical workers.
    pub workers: Vec<Group>,
    /// Groups of identical runners.
    pub runners: Vec<Group>,
}

/// Group of identical targets in one data centre.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Group {
    /// Prefix of the targets' names, which a number completes.
    pub prefix: String,
    /// Number of targets.
    pub count: u32,
    /// Region of the targets.
    pub region: String,
    /// Data centre of the targets.
    pub data_centre: String,
    /// Number of targets in a rack.
    pub rack_size: u32,
    /// Kind of machine.
    pub kind: String,
    /// Labels of the targets.
    pub labels: Vec<String>,
    /// Workers only: CPU capacity, in thousandths of a core.
    pub cpu_milli: u32,
    /// Workers only: memory, in mebibytes.
    pub memory_mib: u32,
    /// Workers only: number of accelerators.
    pub accelerators: u32,
    /// Runners only: maximum number of concurrent calls.
    pub slots: u32,
    /// Runners only: names of the services.
    pub services: Vec<String>,
    /// Runners only: processing time of a call, in milliseconds.
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
    /// Reads a layout from a file in JSON with comments.
    ///
    /// # Errors
    /// Returns a description of the error, with the path, if the file can't be read
    /// or is invalid.
    pub fn read(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| format!("{}: {error}", path.display()))?;
        let value = jsonc_parser::parse_to_serde_value(&text, &Default::default())
            .map_err(|error| format!("{}: {error}", path.display()))?
            .unwrap_or_default();
        serde_json::from_value(value).map_err(|error| format!("{}: {error}", path.display()))
    }
}
