//! gRPC client for the platform's `kv.proto` and `fleet.proto`.

use std::time::Duration;

use base::Name;
use futures::{FutureExt, StreamExt, future::BoxFuture, stream::BoxStream};
use tonic::{
    Code, Status,
    transport::{Channel, Endpoint},
};
use wire::pb::{self, fleet_client::FleetClient, store_client::StoreClient};

use crate::{
    error::{Error, Result},
    fleet::{Fleet, Instance, Kind},
    store::{Entry, Event, Lease, Revision, Store, Swap},
};

/// Time without an event or heartbeat after which a watch ends.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval between keep-alive pings, and timeout of each ping.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum size of a message from the platform.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// gRPC client for the platform.
#[derive(Clone, Debug)]
pub struct Client {
    store: StoreClient<Channel>,
    fleet: FleetClient<Channel>,
    timeout: Duration,
}

impl Client {
    /// Creates a client for the service at `address` (`host:port`). The client
    /// connects on first use. `timeout` applies to opening the connection and to
    /// each request.
    ///
    /// # Errors
    /// Fails if the address is malformed.
    pub fn try_new(address: &str, timeout: Duration) -> Result<Self> {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|error| Error::NotRun { reason: error.to_string() })?
            .connect_timeout(timeout)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_INTERVAL)
            .keep_alive_while_idle(true)
            .tcp_nodelay(true);
        let channel = endpoint.connect_lazy();
        Ok(Self {
            store: StoreClient::new(channel.clone()).max_decoding_message_size(MAX_MESSAGE_BYTES),
            fleet: FleetClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES),
            timeout,
        })
    }

    async fn with_timeout<T>(
        &self,
        request: impl Future<Output = Result<tonic::Response<T>, Status>>,
    ) -> Result<T> {
        match tokio::time::timeout(self.timeout, request).await {
            Ok(Ok(response)) => Ok(response.into_inner()),
            Ok(Err(status)) => Err(to_error(&status)),
            Err(_) => Err(Error::Unknown { reason: "no answer in time".to_owned() }),
        }
    }
}

impl Store for Client {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Entry>>> {
        let request = pb::GetRequest { key: key.to_owned() };
        async move {
            let reply = self.with_timeout(self.store.clone().get(request)).await?;
            Ok(reply.entry.map(Entry::from))
        }
        .boxed()
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Entry>>> {
        let request = pb::ListRequest { prefix: prefix.to_owned() };
        async move {
            let reply = self.with_timeout(self.store.clone().list(request)).await?;
            Ok(reply.entries.into_iter().map(Entry::from).collect())
        }
        .boxed()
    }

    fn swap(&self, swap: Swap) -> BoxFuture<'_, Result<Option<Revision>>> {
        let request = pb::SwapRequest {
            key: swap.key,
            expected: swap.expected.0,
            value: swap.value,
            lease: swap.lease.map_or(0, |lease| lease.0),
        };
        async move {
            let reply = self.with_timeout(self.store.clone().swap(request)).await?;
            Ok(reply.swapped.then_some(Revision(reply.revision)))
        }
        .boxed()
    }

    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<Lease>> {
        let request = pb::GrantRequest { ttl_ms: ttl.as_millis() as u32 };
        async move {
            let reply = self.with_timeout(self.store.clone().grant(request)).await?;
            Ok(Lease(reply.lease))
        }
        .boxed()
    }

    fn renew(&self, lease: Lease) -> BoxFuture<'_, Result<()>> {
        let request = pb::RenewRequest { lease: lease.0 };
        async move { self.with_timeout(self.store.clone().renew(request)).await.map(|_| ()) }
            .boxed()
    }

    fn revoke(&self, lease: Lease) -> BoxFuture<'_, Result<()>> {
        let request = pb::RevokeRequest { lease: lease.0 };
        async move { self.with_timeout(self.store.clone().revoke(request)).await.map(|_| ()) }
            .boxed()
    }

    fn watch<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<BoxStream<'static, Event>>> {
        let request = pb::WatchRequest { prefix: prefix.to_owned() };
        async move {
            let stream = self.with_timeout(self.store.clone().watch(request)).await?;
            let timed = tokio_stream::StreamExt::timeout(stream, WATCH_IDLE_TIMEOUT);
            // The first error or idle timeout ends the watch.
            let events = Box::pin(timed).scan((), |(), item| {
                futures::future::ready(item.ok().and_then(Result::ok).map(Event::from))
            });
            Ok(events.boxed())
        }
        .boxed()
    }
}

impl Fleet for Client {
    fn list(&self) -> BoxFuture<'_, Result<Vec<Instance>>> {
        async move {
            let request = pb::ListInstancesRequest {};
            let reply = self.with_timeout(self.fleet.clone().list_instances(request)).await?;
            // Targets of an unknown kind are not managed by this scheduler.
            Ok(reply.instances.into_iter().filter_map(|i| Instance::try_from(i).ok()).collect())
        }
        .boxed()
    }
}

impl From<pb::Entry> for Entry {
    fn from(entry: pb::Entry) -> Self {
        Self { key: entry.key, value: entry.value, revision: Revision(entry.revision) }
    }
}

impl From<pb::WatchEvent> for Event {
    fn from(event: pb::WatchEvent) -> Self {
        let revision = Revision(event.revision);
        match event.value {
            _ if event.key.is_empty() => Self::Heartbeat,
            Some(value) => Self::Put(Entry { key: event.key, value, revision }),
            None => Self::Deleted { key: event.key, revision },
        }
    }
}

impl TryFrom<pb::FleetInstance> for Instance {
    type Error = Error;

    fn try_from(instance: pb::FleetInstance) -> Result<Self> {
        let kind = match instance.kind() {
            pb::FleetKind::Worker => Kind::Worker,
            pb::FleetKind::Runner => Kind::Runner,
            pb::FleetKind::Unspecified => {
                return Err(Error::NotRun { reason: "unknown kind of instance".to_owned() });
            }
        };
        Ok(Self {
            is_leaving: instance.state() == pb::FleetState::Leaving,
            name: Name::from(instance.name),
            address: Name::from(instance.address),
            kind,
            region: Name::from(instance.region),
            data_centre: Name::from(instance.data_centre),
            rack: Name::from(instance.rack),
        })
    }
}

fn to_error(status: &Status) -> Error {
    let reason = status.message().to_owned();
    match status.code() {
        Code::NotFound => Error::Lapsed,
        // The service rejects such a request before it has any effect.
        Code::InvalidArgument | Code::ResourceExhausted | Code::FailedPrecondition => {
            Error::NotRun { reason }
        }
        _ => Error::Unknown { reason },
    }
}
