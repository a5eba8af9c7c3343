//! Requests of submitters.

use std::time::Duration;

use base::{Failure, Name, Result, emit};
use prost::Message;
use sha2::{Digest, Sha256};
use wire::{PeerReply, pb};

use crate::version::placer::{
    command::Reply,
    job::Job,
    page::{FollowUp, MAX_PAGE_BYTES},
    spec::{Spec, check_submission},
    state::Placer,
};

/// Age of the last answer from the store above which new jobs are refused.
const MAX_STORE_AGE: Duration = Duration::from_secs(2);

/// Time after which a refused submitter may repeat the request.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Size of a job in the ledger besides its specification, in bytes.
const JOB_OVERHEAD_BYTES: usize = 512;

impl Placer {
    /// Accepts a job and answers once the job is recorded.
    pub(crate) fn submit(&mut self, team: Name, request: &pb::SubmitRequest, reply: Reply) {
        match self.accept(team, request) {
            Ok((page, accepted)) => {
                let answer = PeerReply::Message(accepted.encode_to_vec().into());
                self.pages[page].after_write(FollowUp::Reply(reply, answer));
            }
            Err(failure) => {
                let _ = reply.send(Err(failure));
            }
        }
    }

    fn accept(
        &mut self,
        team: Name,
        request: &pb::SubmitRequest,
    ) -> Result<(usize, pb::SubmitReply)> {
        check_submission(&request.submission)?;
        let message = request.job.as_ref().ok_or_else(|| Failure::invalid("job: is missing"))?;
        let spec = Spec::try_from(message)?;
        let id = job_id(&self.region, &team, &request.submission);
        let unplaceable = self.unplaceable_reason(&spec);
        let reply = pb::SubmitReply {
            job: id.to_string(),
            region: self.region.to_string(),
            unplaceable: unplaceable.clone(),
        };
        if let Some(known) = self.jobs.get(&id) {
            // A repeat of a submission gets the same job; the answer waits for
            // the next write of the page, which records the job.
            return match known.spec.body == spec.body {
                true => Ok((known.page, reply)),
                false => Err(Failure::conflict("submission: the id was used for another job")),
            };
        }
        let page = page_index(&id, self.pages.len());
        self.check_capacity(page, &spec)?;
        if !unplaceable.is_empty() {
            emit!(self.ctx.log, warn, JobUnplaceable; "job" => %id, "team" => %team,
                "why" => &unplaceable);
        }
        emit!(self.ctx.log, info, JobAccepted; "job" => %id, "team" => %team,
            "tasks" => spec.tasks, "size" => %spec.request.size);
        let mut job = Job::new(id.clone(), team, spec, page, self.ctx.unix_ms());
        job.waiting_reason = unplaceable;
        self.jobs.insert(id.clone(), job);
        self.enqueue(&id);
        Ok((page, reply))
    }

    fn check_capacity(&self, page: usize, spec: &Spec) -> Result<()> {
        if self.ctx.store.age() > MAX_STORE_AGE {
            return Err(Failure::busy(RETRY_AFTER, "the key-value service doesn't answer"));
        }
        let live = self.jobs.values().filter(|job| job.ended_ms.is_none()).count();
        if live >= self.ctx.settings.limits.jobs as usize {
            return Err(Failure::busy(RETRY_AFTER, "the region has too many jobs"));
        }
        let size = self.pages[page].size_bytes + spec.body.len() + JOB_OVERHEAD_BYTES;
        if size > MAX_PAGE_BYTES {
            return Err(Failure::busy(RETRY_AFTER, "the region's ledger is full"));
        }
        Ok(())
    }

    /// Returns why no known worker could ever run a task of the job; empty if
    /// one could.
    fn unplaceable_reason(&self, spec: &Spec) -> String {
        let constraints =
            place::Constraints { max_per_rack: spec.max_per_rack, ..Default::default() };
        let refusals = self.cell.refusals(&spec.request, &constraints);
        // Before the first reports no worker is known.
        let is_known = refusals != place::Refusals::default();
        if is_known && refusals.is_permanent() {
            format!("no worker of {} can run it: {refusals}", self.region)
        } else {
            String::new()
        }
    }

    /// Cancels a job and answers once the cancellation is recorded.
    pub(crate) fn cancel(&mut self, team: &Name, id: &Name, reply: Reply) {
        let job = match self.find_job(team, id) {
            Ok(job) => job,
            Err(failure) => {
                let _ = reply.send(Err(failure));
                return;
            }
        };
        let page = job.page;
        if !job.is_cancelled && job.ended_ms.is_none() {
            emit!(self.ctx.log, info, JobCancelled; "job" => %id, "team" => %team);
            if let Some(job) = self.jobs.get_mut(id) {
                job.is_cancelled = true;
            }
            self.stop_job(id);
        }
        let status = self.jobs.get(id).map(|job| job.status(&self.region)).unwrap_or_default();
        let answer = PeerReply::Message(status.encode_to_vec().into());
        self.pages[page].after_write(FollowUp::Reply(reply, answer));
    }

    pub(crate) fn job_status(&self, team: &Name, id: &Name) -> Result<PeerReply> {
        let status = self.find_job(team, id)?.status(&self.region);
        Ok(PeerReply::Message(status.encode_to_vec().into()))
    }

    pub(crate) fn job_list(&self, team: &Name) -> PeerReply {
        let team_jobs = self.jobs.values().filter(|job| job.team == *team);
        let mut jobs: Vec<_> = team_jobs.map(|job| job.status(&self.region)).collect();
        jobs.sort_by(|a, b| a.job.cmp(&b.job));
        PeerReply::Message(pb::ListJobsReply { jobs }.encode_to_vec().into())
    }

    /// Removes jobs that ended longer ago than the retention time.
    pub(crate) fn forget_ended_jobs(&mut self) {
        let now = self.ctx.unix_ms();
        let retention_ms = self.ctx.settings.ledger.keep_ended_ms;
        let pages = &mut self.pages;
        self.jobs.retain(|_, job| {
            let is_kept = job.ended_ms.is_none_or(|ended| now < ended + retention_ms);
            if !is_kept {
                pages[job.page].is_dirty = true;
            }
            is_kept
        });
    }

    /// Returns a job of a team.
    ///
    /// # Errors
    /// Fails if the team has no such job; jobs of other teams are not visible.
    fn find_job(&self, team: &Name, id: &Name) -> Result<&Job> {
        let job = self.jobs.get(id).filter(|job| job.team == *team);
        job.ok_or_else(|| Failure::not_found(format!("no job `{id}`")))
    }
}

/// Returns the id of a job: equal for every repeat of a submission, with the
/// region as its prefix.
fn job_id(region: &str, team: &str, submission: &str) -> Name {
    let hash = Sha256::new().chain_update(team).chain_update([0]).chain_update(submission);
    format!("{region}:{}", hex::encode(&hash.finalize()[..8])).into()
}

fn page_index(id: &str, pages: usize) -> usize {
    let hash = Sha256::digest(id);
    usize::from(u16::from_be_bytes([hash[0], hash[1]])) % pages
}
