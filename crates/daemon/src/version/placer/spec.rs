//! Validated specification of a job.

use std::time::Duration;

use base::{Failure, Name, Resources, Result};
use bytes::Bytes;
use place::Request;
use prost::Message;
use quota::JobKind;
use schema::Urgency;
use wire::pb;

/// Maximum number of tasks in a job.
const MAX_TASKS: u32 = 10_000;

/// Maximum number of tasks in a gang.
const MAX_GANG_TASKS: u32 = 1024;

/// Maximum size of a task's payload, in bytes.
const MAX_PAYLOAD_BYTES: usize = 16 << 10;

/// Maximum length of a submission id, in bytes.
const MAX_SUBMISSION_BYTES: usize = 128;

/// Validated specification of a job.
#[derive(Clone, Debug)]
pub(crate) struct Spec {
    pub(crate) name: Name,
    pub(crate) kind: JobKind,
    pub(crate) tasks: u32,
    pub(crate) request: Request,
    pub(crate) urgency: Urgency,
    pub(crate) idempotent: bool,
    pub(crate) declared_run: Duration,
    pub(crate) max_per_rack: Option<u32>,
    pub(crate) payload: Bytes,
    /// Job as received, in encoded form, for the ledger.
    pub(crate) body: Bytes,
}

impl TryFrom<&pb::Job> for Spec {
    type Error = Failure;

    fn try_from(job: &pb::Job) -> Result<Self> {
        let kind = JobKind::try_from(job.kind())?;
        let max_tasks = if kind == JobKind::Gang { MAX_GANG_TASKS } else { MAX_TASKS };
        if job.tasks == 0 || job.tasks > max_tasks {
            return Err(Failure::invalid(format!("job.tasks: must be 1 to {max_tasks}")));
        }
        let size: Resources = job.size.unwrap_or_default().into();
        if size.cpu_milli == 0 || size.memory_mib == 0 {
            return Err(Failure::invalid("job.size: cpu_milli and memory_mib must be at least 1"));
        }
        if job.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(Failure::invalid(format!(
                "job.payload: must be at most {MAX_PAYLOAD_BYTES} bytes"
            )));
        }
        Ok(Self {
            name: job.name.as_str().into(),
            kind,
            tasks: job.tasks,
            request: Request {
                size,
                labels: job.labels.iter().map(|label| label.as_str().into()).collect(),
                kind: (!job.worker_kind.is_empty()).then(|| job.worker_kind.as_str().into()),
            },
            urgency: job.urgency().into(),
            idempotent: job.idempotent,
            declared_run: Duration::from_millis(u64::from(job.declared_run_ms)),
            max_per_rack: (job.most_per_rack > 0).then_some(job.most_per_rack),
            payload: job.payload.clone(),
            body: job.encode_to_vec().into(),
        })
    }
}

/// Checks the length of a submission id.
pub(crate) fn check_submission(id: &str) -> Result<()> {
    if id.is_empty() || id.len() > MAX_SUBMISSION_BYTES {
        return Err(Failure::invalid(format!(
            "submission: must be 1 to {MAX_SUBMISSION_BYTES} bytes"
        )));
    }
    Ok(())
}
