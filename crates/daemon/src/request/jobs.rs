//! Service `Jobs`, for callers that submit jobs.

use std::{collections::BTreeSet, sync::Arc};

use base::{Failure, Name, Result};
use futures::future::join_all;
use prost::Message;
use tonic::{Request, Response, Status};
use wire::{
    PeerRequest,
    pb::{self, jobs_server::Jobs},
};

use crate::{
    process::Context,
    request::{
        answer::read_message,
        auth,
        dispatch::respond,
        placer::{parse_region, request_placer},
    },
};

/// Implementation of the service `Jobs`.
#[derive(Clone)]
pub(crate) struct JobsService {
    ctx: Arc<Context>,
}

impl JobsService {
    pub(crate) fn new(ctx: Arc<Context>) -> Self {
        Self { ctx }
    }

    fn team<T>(&self, request: &Request<T>) -> Result<Name> {
        auth::require_team(&self.ctx, &request.metadata().clone().into_headers())
    }

    async fn submit_job(&self, request: Request<pb::SubmitRequest>) -> Result<pb::SubmitReply> {
        let team = self.team(&request)?;
        let request = request.into_inner();
        let job = request.job.as_ref().ok_or_else(|| Failure::invalid("job: is missing"))?;
        let region: Name = match job.region.as_str() {
            "" => self.home_region(&team)?,
            named => named.into(),
        };
        let request = request.encode_to_vec().into();
        let peer_request = PeerRequest::Submit { team, region: region.clone(), request };
        read_message(request_placer(&self.ctx, &region, peer_request).await?)
    }

    fn home_region(&self, team: &Name) -> Result<Name> {
        let active = self.ctx.configs.current();
        let entry = active.config.teams.get(team);
        entry
            .map(|entry| entry.home_region.clone())
            .ok_or_else(|| Failure::denied("the team was removed"))
    }

    async fn job(&self, request: Request<pb::GetJobRequest>) -> Result<pb::JobStatus> {
        let team = self.team(&request)?;
        let job: Name = request.into_inner().job.into();
        let region = parse_region(&job)?;
        read_message(request_placer(&self.ctx, &region, PeerRequest::Job { team, job }).await?)
    }

    async fn cancel(&self, request: Request<pb::CancelJobRequest>) -> Result<pb::JobStatus> {
        let team = self.team(&request)?;
        let job: Name = request.into_inner().job.into();
        let region = parse_region(&job)?;
        read_message(request_placer(&self.ctx, &region, PeerRequest::Cancel { team, job }).await?)
    }

    /// Returns the jobs of the team from all placers, sorted by id.
    async fn jobs(&self, request: Request<pb::ListJobsRequest>) -> Result<pb::ListJobsReply> {
        let team = self.team(&request)?;
        let divisions = Arc::clone(&self.ctx.divisions.borrow());
        // An instance that places in several regions replies for all of them,
        // so one request per placer suffices.
        let mut placers = BTreeSet::new();
        let regions = divisions
            .by_region
            .iter()
            .filter(|(_, (division, _))| placers.insert(division.placer.clone()))
            .map(|(region, _)| region);
        let requests = regions.map(|region| {
            let peer_request = PeerRequest::Jobs { team: team.clone() };
            async move { request_placer(&self.ctx, region, peer_request).await }
        });
        let mut all = pb::ListJobsReply::default();
        for reply in join_all(requests).await {
            all.jobs.extend(read_message::<pb::ListJobsReply>(reply?)?.jobs);
        }
        all.jobs.sort_by(|a, b| a.job.cmp(&b.job));
        Ok(all)
    }
}

#[tonic::async_trait]
impl Jobs for JobsService {
    async fn submit(
        &self,
        request: Request<pb::SubmitRequest>,
    ) -> Result<Response<pb::SubmitReply>, Status> {
        respond(self.submit_job(request).await)
    }

    async fn get_job(
        &self,
        request: Request<pb::GetJobRequest>,
    ) -> Result<Response<pb::JobStatus>, Status> {
        respond(self.job(request).await)
    }

    async fn list_jobs(
        &self,
        request: Request<pb::ListJobsRequest>,
    ) -> Result<Response<pb::ListJobsReply>, Status> {
        respond(self.jobs(request).await)
    }

    async fn cancel_job(
        &self,
        request: Request<pb::CancelJobRequest>,
    ) -> Result<Response<pb::JobStatus>, Status> {
        respond(self.cancel(request).await)
    }
}
