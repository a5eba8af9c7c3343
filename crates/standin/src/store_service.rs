//! Key-value service over gRPC.

use std::{
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use futures::{Stream, StreamExt, stream};
use tokio::{sync::mpsc, time};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status};
use wire::pb::{self, store_server::Store};

use crate::{
    fault::{Fault, Faults},
    store::State,
};

/// Interval between heartbeats of a watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between checks for lapsed leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Name of the key-value service in [`Faults`].
pub(crate) const STORE: &str = "store";

/// Key-value service with faults.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    state: Arc<Mutex<State>>,
    faults: Faults,
}

type Answer<T> = Result<Response<T>, Status>;

impl Service {
    pub(crate) fn new(faults: Faults) -> Self {
        Self { state: Arc::default(), faults }
    }

    /// Ends leases as they lapse, also while faults make the service unreachable.
    pub(crate) async fn expire_leases(self) {
        let mut ticks = time::interval(EXPIRY_INTERVAL);
        loop {
            ticks.tick().await;
            self.lock().expire_leases();
        }
    }

    /// Returns the numbers of reads and writes served so far.
    pub(crate) fn counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.reads, state.writes)
    }

    /// Applies the faults that take effect before the execution of a request.
    async fn admit(&self) -> Result<(), Status> {
        self.faults.delay_request(STORE).await;
        match self.faults.get(STORE) {
            Fault::Down => Err(Status::unavailable("the service is down")),
            _ => Ok(()),
        }
    }

    /// Returns the answer to a change, or an error if the answer is lost.
    fn reply<T>(&self, value: T) -> Answer<T> {
        match self.faults.get(STORE) {
            Fault::LostAnswer => Err(Status::unavailable("the answer was lost")),
            _ => Ok(Response::new(value)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

#[tonic::async_trait]
impl Store for Service {
    async fn get(&self, request: Request<pb::GetRequest>) -> Answer<pb::GetReply> {
        self.admit().await?;
        let entry = self.lock().get(&request.into_inner().key);
        Ok(Response::new(pb::GetReply { entry }))
    }

    async fn list(&self, request: Request<pb::ListRequest>) -> Answer<pb::ListReply> {
        self.admit().await?;
        let entries = self.lock().list(&request.into_inner().prefix);
        Ok(Response::new(pb::ListReply { entries }))
    }

    async fn swap(&self, request: Request<pb::SwapRequest>) -> Answer<pb::SwapReply> {
        self.admit().await?;
        let request = request.into_inner();
        if request.value.as_ref().is_some_and(|value| value.len() > MAX_VALUE_BYTES) {
            return Err(Status::invalid_argument("the value is larger than a megabyte"));
        }
        let reply = self.lock().swap(request).map_err(Status::not_found)?;
        self.reply(reply)
    }

    async fn grant(&self, request: Request<pb::GrantRequest>) -> Answer<pb::GrantReply> {
        self.admit().await?;
        let ttl = Duration::from_millis(u64::from(request.into_inner().ttl_ms));
        let lease = self.lock().grant(ttl);
        self.reply(pb::GrantReply { lease })
    }

    async fn renew(&self, request: Request<pb::RenewRequest>) -> Answer<pb::RenewReply> {
        self.admit().await?;
        let is_live = self.lock().renew(request.into_inner().lease);
        if !is_live {
            return Err(Status::not_found("the lease has lapsed"));
        }
        self.reply(pb::RenewReply {})
    }

    async fn revoke(&self, request: Request<pb::RevokeRequest>) -> Answer<pb::RevokeReply> {
        self.admit().await?;
        self.lock().revoke(request.into_inner().lease);
        self.reply(pb::RevokeReply {})
    }

    type WatchStream = Pin<Box<dyn Stream<Item = Result<pb::WatchEvent, Status>> + Send>>;

    async fn watch(&self, request: Request<pb::WatchRequest>) -> Answer<Self::WatchStream> {
        self.admit().await?;
        let prefix = request.into_inner().prefix;
        let (entries, mut events) = self.lock().watch(&prefix);
        let first = entries.into_iter().map(|entry| pb::WatchEvent {
            key: entry.key,
            value: Some(entry.value),
            revision: entry.revision,
        });
        let first: Vec<_> = first.chain([pb::WatchEvent::default()]).map(Ok).collect();
        let (sender, receiver) = mpsc::channel(1024);
        let faults = self.faults.clone();
        tokio::spawn(async move {
            let mut ticks = time::interval(HEARTBEAT_INTERVAL);
            loop {
                let event = tokio::select! {
                    event = events.recv() => match event {
                        Ok(event) if event.key.starts_with(&prefix) => event,
                        Ok(_) => continue,
                        // A watch that lags too far ends; the client opens a new one.
                        Err(_) => return,
                    },
                    _ = ticks.tick() => pb::WatchEvent::default(),
                };
                match faults.get(STORE) {
                    Fault::Down => return,
                    Fault::Silent => faults.delay_request(STORE).await,
                    Fault::Slow(delay) => time::sleep(delay).await,
                    _ => {}
                }
                if sender.send(Ok(event)).await.is_err() {
                    return;
                }
            }
        });
        let events = stream::iter(first).chain(ReceiverStream::new(receiver));
        Ok(Response::new(events.boxed()))
    }
}
