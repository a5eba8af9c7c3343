//! The options of the command line.

use std::path::PathBuf;

use bpaf::Bpaf;

use crate::connect::{Access, access};

/// Command line for operators and submitters of skylarkspan.
///
/// Exit codes: 0 done, 1 something did not succeed, 2 wrong usage, 3 the
/// request has not run, 4 it may have run, 5 it has run.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    #[bpaf(external)]
    pub(crate) access: Access,
    /// Print JSON
    pub(crate) json: bool,
    #[bpaf(external)]
    pub(crate) command: Command,
}

/// A `Command` is what the command line is asked to do.
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Make, grant or withdraw keys
    #[bpaf(command)]
    Key(#[bpaf(external(key_command))] KeyCommand),
    /// Create, change or remove teams
    #[bpaf(command)]
    Team(#[bpaf(external(team_command))] TeamCommand),
    /// Choose how the tasks of a job kind are placed
    #[bpaf(command)]
    Policy {
        /// Job kind: service, batch or gang
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Placement: pack or spread
        #[bpaf(positional("PLACEMENT"))]
        placement: String,
    },
    /// Check or apply schemas of calls
    #[bpaf(command)]
    Schema(#[bpaf(external(schema_command))] SchemaCommand),
    /// Show the configuration in force
    #[bpaf(command)]
    Config,
    /// Show instances and targets
    #[bpaf(command)]
    Status,
    /// Let the instance hand over what it owns
    #[bpaf(command)]
    Drain,
    /// Submit, watch or cancel jobs
    #[bpaf(command)]
    Job(#[bpaf(external(job_command))] JobCommand),
    /// Make a call that a schema describes
    #[bpaf(command)]
    Call(#[bpaf(external(call_command))] CallCommand),
    /// Set a fault of the stand-ins
    #[bpaf(command, hide)]
    Fault {
        /// "store", "fleet" or a target
        #[bpaf(positional("AT"))]
        at: String,
        /// Name of the fault
        #[bpaf(positional("FAULT"))]
        fault: String,
        /// Delay of a slow stand-in, in milliseconds
        #[bpaf(argument("MS"), fallback(0))]
        delay_ms: u32,
    },
    /// Show what the stand-ins saw
    #[bpaf(command, hide)]
    Observe,
}

/// A `KeyCommand` is what is done to keys.
#[derive(Clone, Debug, Bpaf)]
pub enum KeyCommand {
    /// Make a key for the first operator and its digest for the settings
    #[bpaf(command)]
    First {
        /// The setting `keys.digest_secret`
        #[bpaf(argument("HEX"))]
        secret: String,
    },
    /// Grant a key; it is shown this once
    #[bpaf(command)]
    Grant {
        /// Team; an operator's key if absent
        #[bpaf(argument("TEAM"))]
        team: Option<String>,
        /// Label by which the key can be withdrawn
        #[bpaf(positional("LABEL"))]
        label: String,
    },
    /// Withdraw a key
    #[bpaf(command)]
    Withdraw {
        /// Label of the key
        #[bpaf(positional("LABEL"))]
        label: String,
    },
}

/// A `TeamCommand` is what is done to teams.
#[derive(Clone, Debug, Bpaf)]
pub enum TeamCommand {
    /// Create a team or change its rights
    #[bpaf(command)]
    Put {
        /// Weight of the share when the cell is full
        #[bpaf(argument("WEIGHT"), fallback(1))]
        share: u32,
        /// Upper limit on cores, in thousandths
        #[bpaf(argument("MILLI"), fallback(u32::MAX))]
        cpu_milli: u32,
        /// Upper limit on memory, in mebibytes
        #[bpaf(argument("MIB"), fallback(u32::MAX))]
        memory_mib: u32,
        /// Upper limit on accelerators
        #[bpaf(argument("COUNT"), fallback(u32::MAX))]
        accelerators: u32,
        /// Upper limit on calls in flight
        #[bpaf(argument("COUNT"), fallback(1000))]
        calls: u32,
        /// Home region
        #[bpaf(argument("REGION"))]
        region: String,
        /// Version that the change was made against
        #[bpaf(argument("VERSION"), fallback(0))]
        expected_version: u64,
        /// Name of the team
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Remove a team with its keys
    #[bpaf(command)]
    Remove {
        /// Name of the team
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// A `SchemaCommand` is what is done with schemas.
#[derive(Clone, Debug, Bpaf)]
pub enum SchemaCommand {
    /// Check a schema file
    #[bpaf(command)]
    Check {
        /// Schema file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check a schema file and put it in force under its name
    #[bpaf(command)]
    Apply {
        /// Schema file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// A `JobCommand` is what is done with jobs.
#[derive(Clone, Debug, Bpaf)]
pub enum JobCommand {
    /// Submit a job
    #[bpaf(command)]
    Submit {
        /// Id of the submission; repeats of it give the same job
        #[bpaf(argument("ID"))]
        id: Option<String>,
        /// Wait until the job has ended
        wait: bool,
        /// Job file, in JSON with comments
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show a job
    #[bpaf(command)]
    Get {
        /// Id of the job
        #[bpaf(positional("JOB"))]
        job: String,
    },
    /// Wait until a job has ended
    #[bpaf(command)]
    Wait {
        /// Longest time to wait, in seconds
        #[bpaf(argument("SECONDS"), fallback(3600))]
        timeout: u64,
        /// Id of the job
        #[bpaf(positional("JOB"))]
        job: String,
    },
    /// Show all jobs of the team
    #[bpaf(command)]
    List,
    /// Cancel a job
    #[bpaf(command)]
    Cancel {
        /// Id of the job
        #[bpaf(positional("JOB"))]
        job: String,
    },
}

/// A `CallCommand` is a call to make.
#[derive(Clone, Debug, Bpaf)]
pub struct CallCommand {
    /// Schema file
    #[bpaf(argument("FILE"))]
    pub(crate) schema: PathBuf,
    /// Request message, in JSON
    #[bpaf(argument("JSON"), fallback("{}".to_owned()))]
    pub(crate) data: String,
    /// Id of the call; repeats of it run at most once if the method is not
    /// idempotent
    #[bpaf(argument("ID"))]
    pub(crate) id: Option<String>,
    /// Method, such as `/package.Service/Method`
    #[bpaf(positional("METHOD"))]
    pub(crate) method: String,
}
