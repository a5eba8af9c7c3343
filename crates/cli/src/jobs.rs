//! Commands of submitters, and the format of job files.

use std::{
    path::Path,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde::Deserialize;
use tonic::transport::Channel;
use wire::pb::{self, jobs_client::JobsClient};

use crate::{
    connect::{Access, authorized, connect},
    control::parse_job_kind,
    error::{Error, Result},
    options::JobCommand,
    printer::Printer,
};

/// Interval at which the status of an awaited job is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout for the end of a job that is submitted with `--wait`.
const SUBMIT_WAIT_TIMEOUT: Duration = Duration::from_secs(3600);

/// Maximum number of workers that the row of a job names.
const MAX_WORKERS_NAMED: usize = 4;

/// Names of the columns of a job.
const JOB_COLUMNS: [&str; 13] = [
    "job",
    "name",
    "pending",
    "starting",
    "running",
    "stopping",
    "succeeded",
    "failed",
    "stopped",
    "may_have_run",
    "first_start_ms",
    "workers",
    "waiting",
];

/// Job file. The names of the fields are the keys of the file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct JobFile {
    name: String,
    kind: String,
    #[serde(default = "default_tasks")]
    tasks: u32,
    cpu_milli: u32,
    memory_mib: u32,
    #[serde(default)]
    accelerators: u32,
    #[serde(default = "default_urgency")]
    urgency: String,
    #[serde(default)]
    idempotent: bool,
    #[serde(default)]
    declared_run_ms: u32,
    #[serde(default)]
    labels: Vec<String>,
    #[serde(default)]
    worker_kind: String,
    #[serde(default)]
    most_per_rack: u32,
    #[serde(default)]
    region: String,
    #[serde(default)]
    payload: String,
}

fn default_tasks() -> u32 {
    1
}

fn default_urgency() -> String {
    "normal".to_owned()
}

impl TryFrom<JobFile> for pb::Job {
    type Error = Error;

    fn try_from(file: JobFile) -> Result<Self> {
        let urgency = match file.urgency.as_str() {
            "urgent" => pb::Urgency::Urgent,
            "normal" => pb::Urgency::Normal,
            "batch" => pb::Urgency::Batch,
            _ => return Err(Error::usage("urgency must be urgent, normal or batch")),
        };
        Ok(Self {
            kind: parse_job_kind(&file.kind)?.into(),
            urgency: urgency.into(),
            name: file.name,
            tasks: file.tasks,
            size: Some(pb::Resources {
                cpu_milli: file.cpu_milli,
                memory_mib: file.memory_mib,
                accelerators: file.accelerators,
            }),
            idempotent: file.idempotent,
            declared_run_ms: file.declared_run_ms,
            labels: file.labels,
            worker_kind: file.worker_kind,
            most_per_rack: file.most_per_rack,
            region: file.region,
            payload: file.payload.into_bytes().into(),
        })
    }
}

/// Runs a command of a submitter.
pub(crate) async fn run(access: &Access, printer: &Printer, command: JobCommand) -> Result<()> {
    let mut client = JobsClient::new(connect(access).await?);
    match command {
        JobCommand::Submit { id, wait, file } => {
            let submission = id.unwrap_or_else(new_submission_id);
            let request = pb::SubmitRequest { submission, job: Some(read_job_file(&file)?) };
            let reply = client.submit(authorized(access, request)?).await?.into_inner();
            if !reply.unplaceable.is_empty() {
                eprintln!("skylarkspan: accepted, but {}", reply.unplaceable);
            }
            if wait {
                return wait_for_job(access, printer, &mut client, reply.job, SUBMIT_WAIT_TIMEOUT)
                    .await;
            }
            printer.print(
                &reply.job,
                &serde_json::json!({
                    "job": reply.job,
                    "region": reply.region,
                    "unplaceable": reply.unplaceable,
                }),
            );
            Ok(())
        }
        JobCommand::Get { job } => {
            print_jobs(printer, vec![get_job(access, &mut client, job).await?]);
            Ok(())
        }
        JobCommand::Wait { timeout, job } => {
            wait_for_job(access, printer, &mut client, job, Duration::from_secs(timeout)).await
        }
        JobCommand::List => {
            let request = authorized(access, pb::ListJobsRequest {})?;
            print_jobs(printer, client.list_jobs(request).await?.into_inner().jobs);
            Ok(())
        }
        JobCommand::Cancel { job } => {
            let request = authorized(access, pb::CancelJobRequest { job })?;
            print_jobs(printer, vec![client.cancel_job(request).await?.into_inner()]);
            Ok(())
        }
    }
}

async fn get_job(
    access: &Access,
    client: &mut JobsClient<Channel>,
    job: String,
) -> Result<pb::JobStatus> {
    Ok(client.get_job(authorized(access, pb::GetJobRequest { job })?).await?.into_inner())
}

/// Waits until a job has ended and prints its status. Progress is printed on
/// standard error.
///
/// # Errors
/// Fails if a request fails, tasks did not succeed, or the job has not ended within
/// `timeout`.
async fn wait_for_job(
    access: &Access,
    printer: &Printer,
    client: &mut JobsClient<Channel>,
    job: String,
    timeout: Duration,
) -> Result<()> {
    let deadline = Instant::now() + timeout;
    let mut last = String::new();
    loop {
        let status = get_job(access, client, job.clone()).await?;
        let progress = format!(
            "{}: {} pending, {} starting, {} running, {} stopping, {} done {}",
            status.name,
            status.pending,
            status.starting,
            status.running,
            status.stopping,
            status.succeeded + status.failed + status.stopped + status.may_have_run,
            status.waiting
        );
        if progress != last {
            eprintln!("{progress}");
            last = progress;
        }
        if status.ended {
            let unsuccessful = status.failed + status.may_have_run;
            print_jobs(printer, vec![status]);
            return match unsuccessful {
                0 => Ok(()),
                count => Err(Error::Outcome { reason: format!("{count} tasks did not succeed") }),
            };
        }
        if Instant::now() > deadline {
            return Err(Error::Outcome {
                reason: format!("job {job} has not ended within {timeout:?}"),
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn print_jobs(printer: &Printer, jobs: Vec<pb::JobStatus>) {
    let row = |job: pb::JobStatus| {
        vec![
            job.job,
            job.name,
            job.pending.to_string(),
            job.starting.to_string(),
            job.running.to_string(),
            job.stopping.to_string(),
            job.succeeded.to_string(),
            job.failed.to_string(),
            job.stopped.to_string(),
            job.may_have_run.to_string(),
            job.first_start_ms.to_string(),
            format_workers(job.workers),
            job.waiting,
        ]
    };
    printer.print_table(&JOB_COLUMNS, jobs.into_iter().map(row).collect());
}

fn format_workers(mut workers: Vec<String>) -> String {
    workers.dedup();
    let omitted = workers.len().saturating_sub(MAX_WORKERS_NAMED);
    workers.truncate(MAX_WORKERS_NAMED);
    if omitted > 0 {
        workers.push(format!("{omitted} more"));
    }
    workers.join(" ")
}

fn read_job_file(path: &Path) -> Result<pb::Job> {
    let usage_error = |reason: String| Error::usage(format!("{}: {reason}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| usage_error(error.to_string()))?;
    let value = jsonc_parser::parse_to_serde_value(&text, &Default::default())
        .map_err(|error| usage_error(error.to_string()))?
        .unwrap_or_default();
    let file: JobFile =
        serde_json::from_value(value).map_err(|error| usage_error(error.to_string()))?;
    file.try_into()
}

/// Returns a unique id for a submission that is not going to be repeated.
fn new_submission_id() -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("cli-{}-{}", since_epoch.as_nanos(), std::process::id())
}
