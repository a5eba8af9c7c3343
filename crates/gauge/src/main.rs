//! `gauge`: loads, experiments and measurements.
//!
//! Scheduling decisions are benchmarked without daemons. Requests and policies
//! are measured on real daemons, with stand-ins for the platform and the
//! targets. The name of each figure includes its unit, and a figure that could
//! not be measured is absent.

mod day;
mod decisions;
mod experiment;
mod figures;
mod path;
mod plot;
mod process;
mod scale;
mod times;

use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
    process::ExitCode,
};

use bpaf::Bpaf;
use gauge::losses::{Line, Losses};

use crate::{day::Sheet, figures::Figures};

/// Loads, experiments and measurements of skylarkspan.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Measure everything and write target/measure.json
    #[bpaf(command)]
    Measure {
        /// Also take the measurements that need a long time
        full: bool,
    },
    /// Measure placement and routing decisions without daemons
    #[bpaf(command)]
    Decisions,
    /// Simulate a day of a users' site without daemons
    #[bpaf(command)]
    Day {
        /// Number of targets; by default that of the sheet
        targets: Option<u32>,
        /// Number of instances that ask for advice; by default that of the sheet
        instances: Option<usize>,
        /// Maximum number of times that a task is moved for gangs
        moves: Option<u32>,
        /// Seed of the simulation; equal seeds give equal days
        #[bpaf(fallback(1))]
        seed: u64,
        /// The sheet: firm, association, association-heavy, firm-large or
        /// rack-desk-rush
        #[bpaf(positional("SHEET"))]
        sheet: Sheet,
    },
    /// Report from the logs of a cell which jobs were lost, and why
    #[bpaf(command)]
    Losses {
        /// Draw the lost jobs of each second to an SVG file
        #[bpaf(argument("FILE"))]
        svg: Option<PathBuf>,
        /// File with the log lines of all instances
        #[bpaf(positional("LOG"))]
        log: PathBuf,
    },
    /// Measure calls and tasks through real daemons
    #[bpaf(command)]
    Path,
    /// Measure the time from a change or a fault to its effect
    #[bpaf(command)]
    Times,
    /// Measure the resource usage of daemons at several cell sizes
    #[bpaf(command)]
    Scale {
        /// Also measure 1500 and 3300 workers
        full: bool,
    },
    /// Run an experiment and its baseline
    #[bpaf(command)]
    Experiment {
        /// Settings of the experiment, in JSON with comments
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut figures = Figures::default();
    let done = run(command().run(), &mut figures).await;
    figures.print();
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gauge: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command, figures: &mut Figures) -> Result<(), String> {
    match command {
        Command::Decisions => {
            decisions::measure(figures);
            Ok(())
        }
        Command::Day { targets, instances, moves, seed, sheet } => {
            let mut load = sheet.load();
            load.targets = targets.unwrap_or(load.targets);
            load.instances = instances.unwrap_or(load.instances);
            let mut settings = plan::Settings::default();
            let default_moves = settings.preemption.max_per_task;
            settings.preemption.max_per_task = moves.unwrap_or(default_moves);
            day::measure(figures, load, settings, seed);
            Ok(())
        }
        Command::Losses { svg, log } => report_losses(&log, svg.as_deref()),
        Command::Path => path::measure(figures).await,
        Command::Times => times::measure(figures).await,
        Command::Scale { full } => scale::measure(figures, full).await,
        Command::Experiment { file } => experiment::measure(figures, &file).await,
        Command::Measure { full } => {
            decisions::measure(figures);
            path::measure(figures).await?;
            times::measure(figures).await?;
            scale::measure(figures, full).await?;
            for name in ["firm", "association"] {
                let file = PathBuf::from(format!("examples/experiments/{name}.jsonc"));
                experiment::measure(figures, &file).await?;
            }
            figures.write(&PathBuf::from("target/measure.json"))
        }
    }
}

/// Prints the late, missed and refused jobs of a log, and draws them if a path
/// is given.
fn report_losses(log: &Path, svg: Option<&Path>) -> Result<(), String> {
    let file = File::open(log).map_err(|error| format!("{}: {error}", log.display()))?;
    // Lines of other programs need not be valid UTF-8.
    let lines = BufReader::new(file).split(b'\n').map_while(Result::ok);
    let lines = lines.filter_map(|line| Line::parse(&String::from_utf8_lossy(&line)));
    let losses = Losses::from_lines(lines);
    print!("{}", losses.report());
    match svg {
        Some(path) => plot::draw(path, "jobs lost", "second", "jobs", &losses.per_second()),
        None => Ok(()),
    }
}
