//! The service of operators.

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

/// Time after which an uncertain change is given up.
const WRITE_PATIENCE: Duration = Duration::from_secs(4);

/// Time to wait for the other instances to put a change in force.
const IN_FORCE_PATIENCE: Duration = Duration::from_secs(2);

/// Time between looks at what the other instances have in force.
const IN_FORCE_POLL: Duration = Duration::from_millis(20);

/// Time after which an operator may come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time for a peer to tell its state.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// An `Operator` serves operators.
#[derive(Clone)]
pub(crate) struct Operator {
    ctx: Arc<Context>,
}

impl Operator {
    pub(crate) fn new(ctx: Arc<Context>) -> Self {
        Self { ctx }
    }

    fn check<T>(&self, request: &Request<T>) -> Result<()> {
        auth::operator(&self.ctx, &request.metadata().clone().into_headers())
    }

    async fn make_change(&self, request: Request<pb::ChangeRequest>) -> Result<pb::ChangeReply> {
        self.check(&request)?;
        let request = request.into_inner();
        let wanted = request.change.ok_or_else(|| Failure::invalid("change: is missing"))?;
        let change = Change::try_from(wanted)?;
        let (current, revision) = self.read_current().await?;
        if request.expected_version != 0 && request.expected_version != current.version {
            return Err(self.conflict(current.version));
        }
        let (next, granted) = change.apply(&current, self.ctx.configs.digester())?;
        let body: Bytes = next.encode()?.into();
        self.store_change(revision, &body).await?;
        emit!(self.ctx.log, info, ChangeAccepted; "version" => next.version);
        apply_config(&self.ctx, body);
        let (in_force, pending) = self.await_in_force(next.version).await;
        Ok(pb::ChangeReply {
            version: next.version,
            key: granted.unwrap_or_default(),
            in_force,
            pending,
        })
    }

    /// Reads the stored configuration: the one in force here may be behind.
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

    /// Stores a configuration. Only then can it no longer be lost.
    async fn store_change(&self, revision: Revision, body: &Bytes) -> Result<()> {
        let store = &self.ctx.store;
        let write =
            platform::write(store, CONFIG_KEY, revision, body.clone(), None, WRITE_PATIENCE);
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

    /// Waits until all linked instances have a version in force; gets those
    /// that have it and those that don't.
    async fn await_in_force(&self, version: u64) -> (Vec<String>, Vec<String>) {
        let deadline = Instant::now() + IN_FORCE_PATIENCE;
        loop {
            let members = Arc::clone(&self.ctx.members.borrow());
            let heartbeats = self.ctx.peers.heartbeats();
            let has = |name: &Name| {
                *name == self.ctx.name
                    || heartbeats.iter().any(|(peer, beat)| peer == name && beat.version >= version)
            };
            let names = members.by_name.keys();
            let (done, pending): (Vec<_>, Vec<_>) = names.partition(|name| has(name));
            if pending.is_empty() || Instant::now() > deadline {
                let texts = |names: Vec<&Name>| names.into_iter().map(Name::to_string).collect();
                return (texts(done), texts(pending));
            }
            tokio::time::sleep(IN_FORCE_POLL).await;
        }
    }

    /// Gets the state of all instances; those that don't answer are named as
    /// unreachable.
    async fn whole_status(&self) -> pb::StatusReply {
        let mut whole = status(&self.ctx).await;
        let members = Arc::clone(&self.ctx.members.borrow());
        let others = members.by_name.values().filter(|member| member.name != self.ctx.name);
        let asks = others.map(|member| async move {
            let tell =
                self.ctx.peers.request(&member.name, PeerRequest::Status, STATUS_TIMEOUT).await;
            (member, tell.and_then(read_message::<pb::StatusReply>))
        });
        for (member, reply) in join_all(asks).await {
            match reply {
                Ok(reply) => {
                    whole.instances.extend(reply.instances);
                    whole.targets.extend(reply.targets);
                }
                Err(_) => whole.instances.push(pb::InstanceStatus {
                    name: member.name.to_string(),
                    region: member.region.to_string(),
                    data_centre: member.data_centre.to_string(),
                    reachable: false,
                    ..Default::default()
                }),
            }
        }
        whole.instances.sort_by(|a, b| a.name.cmp(&b.name));
        whole.targets.sort_by(|a, b| a.name.cmp(&b.name));
        whole
    }
}

#[tonic::async_trait]
impl Control for Operator {
    async fn change(
        &self,
        request: Request<pb::ChangeRequest>,
    ) -> Result<Response<pb::ChangeReply>, Status> {
        // The change goes on when the operator's connection breaks.
        let operator = self.clone();
        let change = tokio::spawn(async move { operator.make_change(request).await });
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
        Ok(Response::new(self.whole_status().await))
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
