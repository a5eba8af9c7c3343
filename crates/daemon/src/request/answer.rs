//! Requests that this instance answers, its own and those of peers.

use std::sync::Arc;

use base::{Failure, Name, Result};
use bytes::Bytes;
use prost::Message;
use tokio::sync::oneshot;
use wire::{PeerReply, PeerRequest, pb};

use crate::{
    process::Context,
    request::{call, placer::parse_region},
    version::Command,
};

/// Answers a request of a peer.
///
/// # Errors
/// Returns the failure of the call or of the placer.
pub(crate) async fn handle_peer_request(
    ctx: &Arc<Context>,
    request: PeerRequest,
) -> Result<PeerReply> {
    match request {
        PeerRequest::Call(request) => {
            call::serve_forwarded(ctx, request).await.map(PeerReply::Call)
        }
        request => handle_locally(ctx, request).await,
    }
}

/// Answers a request to a placer of this instance, or for the instance's
/// status.
///
/// # Errors
/// Fails if the request is malformed or a call, or with the placer's failure.
pub(crate) async fn handle_locally(ctx: &Context, request: PeerRequest) -> Result<PeerReply> {
    let placers = &ctx.placers;
    match request {
        PeerRequest::Submit { team, region, request } => {
            let request = pb::SubmitRequest::decode(request)
                .map_err(|error| Failure::invalid(error.to_string()))?;
            let request = Box::new(request);
            placers.request(&region, |reply| Command::Submit { team, request, reply }).await
        }
        PeerRequest::Job { team, job } => {
            let region = parse_region(&job)?;
            placers.request(&region, |reply| Command::Job { team, job, reply }).await
        }
        PeerRequest::Jobs { team } => list_jobs(ctx, &team).await,
        PeerRequest::Cancel { team, job } => {
            let region = parse_region(&job)?;
            placers.request(&region, |reply| Command::Cancel { team, job, reply }).await
        }
        PeerRequest::Status => Ok(PeerReply::Message(status(ctx).await.encode_to_vec().into())),
        PeerRequest::Admit { region, team, request } => {
            placers.request(&region, |reply| Command::Admit { team, request, reply }).await
        }
        PeerRequest::Retract { region, team, request } => {
            placers.send(&region, Command::Retract { team, request })?;
            Ok(PeerReply::Done)
        }
        PeerRequest::Call(_) => Err(Failure::invalid("calls are not for placers")),
    }
}

/// Returns the jobs of a team in all regions that this instance places in.
async fn list_jobs(ctx: &Context, team: &Name) -> Result<PeerReply> {
    let mut all = pb::ListJobsReply::default();
    for region in ctx.placers.regions() {
        let team = team.clone();
        let reply = ctx.placers.request(&region, |reply| Command::Jobs { team, reply }).await?;
        all.jobs.extend(read_message::<pb::ListJobsReply>(reply)?.jobs);
    }
    Ok(PeerReply::Message(all.encode_to_vec().into()))
}

/// Returns the status of this instance and of the targets that the instance
/// owns.
pub(crate) async fn status(ctx: &Context) -> pb::StatusReply {
    let loads = ctx.router.runners();
    let mut targets: Vec<pb::TargetStatus> = Vec::new();
    for region in ctx.placers.regions() {
        let (reply, statuses) = oneshot::channel();
        if ctx.placers.send(&region, Command::Status { reply }).is_ok() {
            targets.extend(statuses.await.unwrap_or_default());
        }
    }
    let instance = pb::InstanceStatus {
        name: ctx.name.to_string(),
        region: ctx.settings.region.clone(),
        data_centre: ctx.settings.data_centre.clone(),
        version: ctx.configs.version(),
        places: ctx.placers.regions().iter().map(Name::to_string).collect(),
        runners: loads.len() as u32,
        calls: loads.iter().map(|(_, busy)| busy).sum(),
        reachable: true,
        store_age_ms: ctx.store.age().as_millis() as u64,
    };
    targets.extend(loads.into_iter().map(|(runner, busy)| pb::TargetStatus {
        name: runner.name.to_string(),
        region: String::new(),
        data_centre: runner.data_centre.to_string(),
        rack: String::new(),
        owner: ctx.name.to_string(),
        term: runner.handle.term,
        health: if runner.is_open { "ready".to_owned() } else { "closed".to_owned() },
        capacity: None,
        promised: None,
        slots: runner.slots,
        busy,
    }));
    pb::StatusReply { instances: vec![instance], targets }
}

/// Decodes the message in a reply.
///
/// # Errors
/// Fails if the reply holds no message or a malformed one.
pub(crate) fn read_message<M: Message + Default>(reply: PeerReply) -> Result<M> {
    let PeerReply::Message(bytes) = reply else {
        return Err(Failure::unknown("an instance answered with something else"));
    };
    decode(bytes)
}

fn decode<M: Message + Default>(bytes: Bytes) -> Result<M> {
    M::decode(bytes).map_err(|error| Failure::unknown(format!("an answer is malformed: {error}")))
}
