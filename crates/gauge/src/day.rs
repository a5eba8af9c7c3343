//! Simulation of a day of a users' site, with the scheduling decisions only and
//! without daemons.

use std::{str::FromStr, time::Instant};

use comfy_table::Table;
use plan::Settings;
use standin::cell::simulation::{Admission, Simulation, Workload};

use crate::figures::Figures;

/// Site of the users whose load is simulated.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Sheet {
    Firm,
    Association,
    AssociationHeavy,
    FirmLarge,
    RackDeskRush,
}

impl FromStr for Sheet {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "firm" => Ok(Self::Firm),
            "association" => Ok(Self::Association),
            "association-heavy" => Ok(Self::AssociationHeavy),
            "firm-large" => Ok(Self::FirmLarge),
            "rack-desk-rush" => Ok(Self::RackDeskRush),
            _ => Err(format!("there is no sheet {text}")),
        }
    }
}

impl Sheet {
    /// Returns the load of a day without faults.
    pub(crate) fn load(self) -> Workload {
        match self {
            Self::Firm => Workload::firm(),
            Self::Association => Workload::association(),
            Self::AssociationHeavy => Workload::association_heavy(),
            Self::FirmLarge => Workload::firm_large(),
            Self::RackDeskRush => Workload::rack_desk_rush(),
        }
    }
}

/// Simulates a day of a load and prints the results of the callers' jobs.
pub(crate) fn measure(figures: &mut Figures, load: Workload, settings: Settings, seed: u64) {
    let day_s = load.duration.as_secs_f64();
    let began = Instant::now();
    let reports = Simulation::with_settings(load, Admission::EnforceRefusals, settings, seed).run();
    figures.add("day_processor_s_per_day_s", began.elapsed().as_secs_f64() / day_s);
    let mut table = Table::new();
    table.set_header(["kind", "jobs", "in time", "late", "no use", "refused", "p50 s", "p99 s"]);
    for report in &reports {
        let seconds = |share| {
            report
                .time_quantile(share)
                .map_or("-".to_owned(), |time| format!("{:.2}", time.as_secs_f64()))
        };
        table.add_row([
            report.kind.clone(),
            report.outcomes.len().to_string(),
            report.in_time().to_string(),
            report.late().to_string(),
            report.missed().to_string(),
            report.refused().to_string(),
            seconds(0.5),
            seconds(0.99),
        ]);
    }
    println!("{table}");
}
