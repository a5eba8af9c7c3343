//! Commands of submitters.

use std::{
    path::Path,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde::Deserialize;
use tonic::transport::Channel;
use wire::pb::{self, jobs_client::JobsClient};

use crate::{
    connect::{Access, authorized, connect},
    control::read_kind,
    error::{Error, Result},
    options::JobCommand,
    show::Show,
};

/// Time between looks at a job that is waited for.
const POLL: Duration = Duration::from_millis(200);

/// Time to wait for a job that was submitted with `--wait`.
const SUBMIT_WAIT: Duration = Duration::from_secs(3600);

/// Workers that a row names at most.
const MOST_WORKERS_NAMED: usize = 4;

const HEAD: [&str; 13] = [
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

/// A `JobFile` is a job as its submitter writes it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct JobFile {
    name: String,
    kind: String,
    #[serde(default = "one")]
    tasks: u32,
    cpu_milli: u32,
    memory_mib: u32,
    #[serde(default)]
    accelerators: u32,
    #[serde(default = "normal")]
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

fn one() -> u32 {
    1
}

fn normal() -> String {
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
            kind: read_kind(&file.kind)?.into(),
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
pub(crate) async fn run(access: &Access, show: &Show, command: JobCommand) -> Result<()> {
    let mut client = JobsClient::new(connect(access).await?);
    match command {
        JobCommand::Submit { id, wait, file } => {
            let submission = id.unwrap_or_else(new_id);
            let request = pb::SubmitRequest { submission, job: Some(read_job(&file)?) };
            let reply = client.submit(authorized(access, request)?).await?.into_inner();
            if !reply.unplaceable.is_empty() {
                eprintln!("skylarkspan: accepted, but {}", reply.unplaceable);
            }
            if wait {
                return wait_for(access, show, &mut client, reply.job, SUBMIT_WAIT).await;
            }
            show.line(
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
            show_jobs(show, vec![get(access, &mut client, job).await?]);
            Ok(())
        }
        JobCommand::Wait { timeout, job } => {
            wait_for(access, show, &mut client, job, Duration::from_secs(timeout)).await
        }
        JobCommand::List => {
            let request = authorized(access, pb::ListJobsRequest {})?;
            show_jobs(show, client.list_jobs(request).await?.into_inner().jobs);
            Ok(())
        }
        JobCommand::Cancel { job } => {
            let request = authorized(access, pb::CancelJobRequest { job })?;
            show_jobs(show, vec![client.cancel_job(request).await?.into_inner()]);
            Ok(())
        }
    }
}

async fn get(
    access: &Access,
    client: &mut JobsClient<Channel>,
    job: String,
) -> Result<pb::JobStatus> {
    Ok(client.get_job(authorized(access, pb::GetJobRequest { job })?).await?.into_inner())
}

/// Waits until a job has ended; progress goes to standard error.
async fn wait_for(
    access: &Access,
    show: &Show,
    client: &mut JobsClient<Channel>,
    job: String,
    timeout: Duration,
) -> Result<()> {
    let deadline = Instant::now() + timeout;
    let mut last = String::new();
    loop {
        let status = get(access, client, job.clone()).await?;
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
            let bad = status.failed + status.may_have_run;
            show_jobs(show, vec![status]);
            return match bad {
                0 => Ok(()),
                bad => Err(Error::Outcome { reason: format!("{bad} tasks did not succeed") }),
            };
        }
        if Instant::now() > deadline {
            return Err(Error::Outcome { reason: format!("{job} has not ended yet") });
        }
        tokio::time::sleep(POLL).await;
    }
}

fn show_jobs(show: &Show, jobs: Vec<pb::JobStatus>) {
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
            name_workers(job.workers),
            job.waiting,
        ]
    };
    show.rows(&HEAD, jobs.into_iter().map(row).collect());
}

fn name_workers(mut workers: Vec<String>) -> String {
    workers.dedup();
    let more = workers.len().saturating_sub(MOST_WORKERS_NAMED);
    workers.truncate(MOST_WORKERS_NAMED);
    if more > 0 {
        workers.push(format!("{more} more"));
    }
    workers.join(" ")
}

fn read_job(path: &Path) -> Result<pb::Job> {
    let wrong = |what: String| Error::usage(format!("{}: {what}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| wrong(error.to_string()))?;
    let value = jsonc_parser::parse_to_serde_value(&text, &Default::default())
        .map_err(|error| wrong(error.to_string()))?
        .unwrap_or_default();
    let file: JobFile = serde_json::from_value(value).map_err(|error| wrong(error.to_string()))?;
    file.try_into()
}

/// Makes an id for a submission that is not going to be repeated.
fn new_id() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("cli-{}-{}", since.as_nanos(), std::process::id())
}
