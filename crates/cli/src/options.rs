//! Options of the command line.
//!
//! The doc comments of the options, commands and their types are printed as help;
//! those of types are the headings above the commands.

use std::path::PathBuf;

use bpaf::Bpaf;

use crate::connect::{Access, access};

/// Command line for operators and submitters of skylarkspan.
///
/// Exit codes: 0 success, 1 a job did not succeed or has not ended, 2 invalid
/// usage, 3 the request has not run, 4 the request may have run, 5 the request
/// has run.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    #[bpaf(external)]
    pub(crate) access: Access,
    /// Print results as JSON
    pub(crate) json: bool,
    #[bpaf(external)]
    pub(crate) command: Command,
}

/// Commands:
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Create, grant or withdraw keys
    #[bpaf(command)]
    Key(#[bpaf(external(key_command))] KeyCommand),
    /// Create, change or remove teams
    #[bpaf(command)]
    Team(#[bpaf(external(team_command))] TeamCommand),
    /// Set the placement policy of a job kind
    #[bpaf(command)]
    Policy {
        /// Job kind: service, batch or gang
        #[bpaf(positional("KIND"))]
        kind: String,
        /// Placement policy: pack or spread
        #[bpaf(positional("PLACEMENT"))]
        placement: String,
    },
    /// Check or apply schemas, which define the methods of calls
    #[bpaf(command)]
    Schema(#[bpaf(external(schema_command))] SchemaCommand),
    /// Show the configuration in force
    #[bpaf(command)]
    Config,
    /// Show the state of instances and targets
    #[bpaf(command)]
    Status,
    /// Drain the instance: hand over its targets and finish requests in progress
    #[bpaf(command)]
    Drain,
    /// Submit, show or cancel jobs
    #[bpaf(command)]
    Job(#[bpaf(external(job_command))] JobCommand),
    /// Call a method that is defined in a schema
    #[bpaf(command)]
    Call(#[bpaf(external(call_command))] CallCommand),
    /// Inject a fault into the stand-ins
    #[bpaf(command, hide)]
    Fault {
        /// Delay for faults that slow a stand-in down, in milliseconds
        #[bpaf(argument("MS"), fallback(0))]
        delay_ms: u32,
        /// Place of the fault: "store", "fleet" or the name of a target
        #[bpaf(positional("AT"))]
        at: String,
        /// Name of the fault
        #[bpaf(positional("FAULT"))]
        fault: String,
    },
    /// Show the counters of the stand-ins
    #[bpaf(command, hide)]
    Observe,
}

/// Key commands:
#[derive(Clone, Debug, Bpaf)]
pub enum KeyCommand {
    /// Create the first operator's key and its digest for the settings
    #[bpaf(command)]
    First {
        /// Value of the setting `keys.digest_secret`, in hexadecimal digits
        #[bpaf(argument("HEX"))]
        secret: String,
    },
    /// Grant a key and print it; the key can't be shown again later
    #[bpaf(command)]
    Grant {
        /// Team that the key is granted to; without this option the key is an operator's
        #[bpaf(argument("TEAM"))]
        team: Option<String>,
        /// Label that identifies the key when it is withdrawn
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

/// Team commands:
#[derive(Clone, Debug, Bpaf)]
pub enum TeamCommand {
    /// Create a team, or replace the share, limits and home region of a team
    #[bpaf(command)]
    Put {
        /// Weight of the team's share of a full cell
        #[bpaf(argument("WEIGHT"), fallback(1))]
        share: u32,
        /// Limit on CPU, in thousandths of a core
        #[bpaf(argument("MILLI"), fallback(u32::MAX))]
        cpu_milli: u32,
        /// Limit on memory, in mebibytes
        #[bpaf(argument("MIB"), fallback(u32::MAX))]
        memory_mib: u32,
        /// Limit on accelerators
        #[bpaf(argument("COUNT"), fallback(u32::MAX))]
        accelerators: u32,
        /// Limit on calls in flight
        #[bpaf(argument("COUNT"), fallback(1000))]
        calls: u32,
        /// Home region of the team
        #[bpaf(argument("REGION"))]
        region: String,
        /// Fail unless the configuration has this version; 0 accepts every version
        #[bpaf(argument("VERSION"), fallback(0))]
        expected_version: u64,
        /// Name of the team
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Remove a team and its keys
    #[bpaf(command)]
    Remove {
        /// Name of the team
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// Schema commands:
#[derive(Clone, Debug, Bpaf)]
pub enum SchemaCommand {
    /// Check a schema file and show its methods; needs no connection
    #[bpaf(command)]
    Check {
        /// Schema file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check a schema file and put it in force under the name of the file
    #[bpaf(command)]
    Apply {
        /// Schema file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Job commands:
#[derive(Clone, Debug, Bpaf)]
pub enum JobCommand {
    /// Submit a job
    #[bpaf(command)]
    Submit {
        /// Id of the submission; repeating a submission with the same id returns the
        /// same job
        #[bpaf(argument("ID"))]
        id: Option<String>,
        /// Wait until the job has ended
        wait: bool,
        /// Job file, in JSON with comments
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show the status of a job
    #[bpaf(command)]
    Get {
        /// Id of the job
        #[bpaf(positional("JOB"))]
        job: String,
    },
    /// Wait until a job has ended
    #[bpaf(command)]
    Wait {
        /// Timeout, in seconds
        #[bpaf(argument("SECONDS"), fallback(3600))]
        timeout: u64,
        /// Id of the job
        #[bpaf(positional("JOB"))]
        job: String,
    },
    /// Show the status of all jobs of the team
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

/// Options of the call:
#[derive(Clone, Debug, Bpaf)]
pub struct CallCommand {
    /// Schema file
    #[bpaf(argument("FILE"))]
    pub(crate) schema: PathBuf,
    /// Request message, in JSON
    #[bpaf(argument("JSON"), fallback("{}".to_owned()))]
    pub(crate) data: String,
    /// Id of the call; calls of a method that is not idempotent run at most once per
    /// id
    #[bpaf(argument("ID"))]
    pub(crate) id: Option<String>,
    /// Path of the method, such as `/package.Service/Method`
    #[bpaf(positional("METHOD"))]
    pub(crate) method: String,
}
