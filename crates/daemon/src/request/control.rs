//! Service `Control`, for operators.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{Failure, Name, Result, emit};
use bytes::Bytes;
use futures::future::join_all;
use platform::{Error, Outcome, Revision, Store};
use quota::{Change, Config};
use tonic::{Request, Response, Status};
use wire::{
    PeerRequest,
    pb::{self, control_server::Control},
    status_of,
};

use crate::{
    connection::apply_config,
    process::Context,
    request::{
        answer::{read_message, status},
        auth,
        dispatch::respond,
    },
    version::CONFIG_KEY,
};

/// Limit on reading back a change whose write got no answer, after which the
/// outcome is reported as unknown.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);

/// Limit on the wait for other instances to put a change in force.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between checks of the versions that other instances have in force.
const ROLLOUT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which an operator may retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limit on a peer's reply to a status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Implementation of the service `Control`.
#[derive(Clone)]
pub(crate) struct ControlService {
    ctx: Arc<Context>,
}

impl ControlService {
    pub(crate) fn new(ctx: Arc<Context>) -> Self {
        Self { ctx }
    }

    fn check<T>(&self, request: &Request<T>) -> Result<()> {
        auth::require_operator(&self.ctx, &request.metadata().clone().into_headers())
    }

    async fn apply_change(&self, request: Request<pb::ChangeRequest>) -> Result<pb::ChangeReply> {
        self.check(&request)?;
        let request = request.into_inner();
        let requested = request.change.ok_or_else(|| Failure::invalid("change: is missing"))?;
        let change = Change::try_from(requested)?;
        let (current, revision) = self.read_current().await?;
        if request.expected_version != 0 && request.expected_version != current.version {
            return Err(self.conflict(current.version));
        }
        let (next, granted) = change.apply(&current, self.ctx.configs.digester())?;
        let body: Bytes = next.encode()?.into();
        self.store_change(revision, &body).await?;
        emit!(self.ctx.log, info, ChangeAccepted; "version" => next.version);
        apply_config(&self.ctx, body);
        let (in_force, pending) = self.await_rollout(next.version).await;
        Ok(pb::ChangeReply {
            version: next.version,
            key: granted.unwrap_or_default(),
            in_force,
            pending,
        })
    }

    /// Returns the stored configuration and its revision: the configuration in
    /// force here may be older.
    async fn read_current(&self) -> Result<(Config, Revision)> {
        let entry = self.ctx.store.get(CONFIG_KEY).await.map_err(|error| {
            Failure::busy(RETRY_AFTER, format!("the key-value service can't be read: {error}"))
        })?;
        let Some(entry) = entry else {
            return Ok((Config::default(), Revision::ABSENT));
        };
        let config = Config::decode(&entry.value)?;
        apply_config(&self.ctx, entry.value);
        Ok((config, entry.revision))
    }

    /// Writes a configuration to the key-value service. A change is durable
    /// only after this write.
    async fn store_change(&self, revision: Revision, body: &Bytes) -> Result<()> {
        let store = &self.ctx.store;
        let write = platform::write(store, CONFIG_KEY, revision, body.clone(), None, WRITE_TIMEOUT);
        match write.await {
            Ok(Outcome::Written(_)) => Ok(()),
            Ok(Outcome::Conflict) => Err(self.conflict(self.ctx.configs.version())),
            Err(Error::Unknown { reason }) => {
                Err(Failure::unknown(format!("the change may have been stored: {reason}")))
            }
            Err(error) => Err(Failure::busy(RETRY_AFTER, error.to_string())),
        }
    }

    fn conflict(&self, version: u64) -> Failure {
        emit!(self.ctx.log, info, ChangeConflict; "version" => version);
        Failure::conflict(format!("another change came first; the version is {version} or later"))
    }

    /// Waits until all members have a version in force, up to
    /// [`ROLLOUT_TIMEOUT`]; returns the members that have it and those that do
    /// not.
    async fn await_rollout(&self, version: u64) -> (Vec<String>, Vec<String>) {
        let deadline = Instant::now() + ROLLOUT_TIMEOUT;
        loop {
            let members = Arc::clone(&self.ctx.members.borrow());
            let heartbeats = self.ctx.peers.heartbeats();
            let has_version = |name: &Name| {
                *name == self.ctx.name
                    || heartbeats
                        .iter()
                        .any(|(peer, heartbeat)| peer == name && heartbeat.version >= version)
            };
            let names = members.by_name.keys();
            let (in_force, pending): (Vec<_>, Vec<_>) = names.partition(|name| has_version(name));
            if pending.is_empty() || Instant::now() > deadline {
                let to_strings =
                    |names: Vec<&Name>| names.into_iter().map(Name::to_string).collect();
                return (to_strings(in_force), to_strings(pending));
            }
            tokio::time::sleep(ROLLOUT_POLL_INTERVAL).await;
        }
    }

    /// Returns the status of all members; those that do not reply are listed as
    /// unreachable.
    async fn cluster_status(&self) -> pb::StatusReply {
        let mut cluster = status(&self.ctx).await;
        let members = Arc::clone(&self.ctx.members.borrow());
        let others = members.by_name.values().filter(|member| member.name != self.ctx.name);
        let requests = others.map(|member| async move {
            let reply =
                self.ctx.peers.request(&member.name, PeerRequest::Status, STATUS_TIMEOUT).await;
            (member, reply.and_then(read_message::<pb::StatusReply>))
        });
        for (member, reply) in join_all(requests).await {
            match reply {
                Ok(reply) => {
                    cluster.instances.extend(reply.instances);
                    cluster.targets.extend(reply.targets);
                }
                Err(_) => cluster.instances.push(pb::InstanceStatus {
                    name: member.name.to_string(),
                    region: member.region.to_string(),
                    data_centre: member.data_centre.to_string(),
                    reachable: false,
                    ..Default::default()
                }),
            }
        }
        cluster.instances.sort_by(|a, b| a.name.cmp(&b.name));
        cluster.targets.sort_by(|a, b| a.name.cmp(&b.name));
        cluster
    }
}

#[tonic::async_trait]
impl Control for ControlService {
    async fn change(
        &self,
        request: Request<pb::ChangeRequest>,
    ) -> Result<Response<pb::ChangeReply>, Status> {
        // The change is completed even if the operator's connection breaks.
        let service = self.clone();
        let change = tokio::spawn(async move { service.apply_change(request).await });
        respond(change.await.unwrap_or_else(|_| Err(Failure::unknown("the change broke off"))))
    }

    async fn get_configuration(
        &self,
        request: Request<pb::GetConfigurationRequest>,
    ) -> Result<Response<pb::Configuration>, Status> {
        respond(self.check(&request).map(|()| (&self.ctx.configs.current().config).into()))
    }

    async fn get_status(
        &self,
        request: Request<pb::GetStatusRequest>,
    ) -> Result<Response<pb::StatusReply>, Status> {
        self.check(&request).map_err(|failure| status_of(&failure))?;
        Ok(Response::new(self.cluster_status().await))
    }

    async fn drain(
        &self,
        request: Request<pb::DrainRequest>,
    ) -> Result<Response<pb::DrainReply>, Status> {
        respond(self.check(&request).map(|()| {
            self.ctx.draining.send_replace(true);
            pb::DrainReply {}
        }))
    }
}
