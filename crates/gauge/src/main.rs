//! `gauge`: loads, experiments and measurements.
//!
//! Decisions are measured on their own, the whole path and the policies on
//! real daemons with stand-ins. Every figure has its unit in its name, and one
//! that was not measured is absent.

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
        /// Measure also what takes long
        full: bool,
    },
    /// Measure placement and routing decisions on their own
    #[bpaf(command)]
    Decisions,
    /// Play a day of a users' sheet on the decisions alone
    #[bpaf(command)]
    Day {
        /// Number of targets, if not the sheet's
        targets: Option<u32>,
        /// Number of instances that ask for advice, if not the sheet's
        instances: Option<usize>,
        /// Times that a task is moved for gangs at most
        moves: Option<u32>,
        /// The same seed makes the same day
        #[bpaf(fallback(1))]
        seed: u64,
        /// The sheet: firm, association, association-heavy, firm-large or
        /// rack-desk-rush
        #[bpaf(positional("SHEET"))]
        sheet: Sheet,
    },
    /// Tell from the logs of a cell what callers lost, and by what
    #[bpaf(command)]
    Losses {
        /// Draw the losses of each second to an SVG file
        #[bpaf(argument("FILE"))]
        svg: Option<PathBuf>,
        /// File with the log lines of all instances
        #[bpaf(positional("LOG"))]
        log: PathBuf,
    },
    /// Measure calls and tasks through real daemons
    #[bpaf(command)]
    Path,
    /// Measure times from a change or a fault to its effect
    #[bpaf(command)]
    Times,
    /// Measure what daemons take at several sizes
    #[bpaf(command)]
    Scale {
        /// Measure also 3300 workers
        full: bool,
    },
    /// Run an experiment beside its baseline
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
            let default_moves = settings.preemption.moves_per_task;
            settings.preemption.moves_per_task = moves.unwrap_or(default_moves);
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

/// Prints what callers lost according to a log.
fn report_losses(log: &Path, svg: Option<&Path>) -> Result<(), String> {
    let file = File::open(log).map_err(|error| format!("{}: {error}", log.display()))?;
    // Lines of other programs need not be text.
    let lines = BufReader::new(file).split(b'\n').map_while(Result::ok);
    let lines = lines.filter_map(|line| Line::parse(&String::from_utf8_lossy(&line)));
    let losses = Losses::from_lines(lines);
    print!("{}", losses.report());
    match svg {
        Some(path) => plot::draw(path, "jobs lost", "second", "jobs", &losses.per_second()),
        None => Ok(()),
    }
}
