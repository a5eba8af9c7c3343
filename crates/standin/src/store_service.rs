//! The key-value service over gRPC.

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

/// Time between the heartbeats of a watch.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// Time between looks for leases that have lapsed.
const EXPIRY_PERIOD: Duration = Duration::from_millis(50);

/// Largest value, in bytes.
const LARGEST_VALUE_BYTES: usize = 1 << 20;

/// Name of the service among the faults.
pub(crate) const STORE: &str = "store";

/// A `Service` is the key-value service.
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

    /// Ends leases as they lapse, also while the service can't be reached.
    pub(crate) async fn expire(self) {
        let mut ticks = time::interval(EXPIRY_PERIOD);
        loop {
            ticks.tick().await;
            self.lock().expire();
        }
    }

    /// Gets the reads and writes served so far.
    pub(crate) fn counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.reads, state.writes)
    }

    async fn before(&self) -> Result<(), Status> {
        self.faults.delay_request(STORE).await;
        match self.faults.get(STORE) {
            Fault::Down => Err(Status::unavailable("the service is down")),
            _ => Ok(()),
        }
    }

    fn after<T>(&self, value: T) -> Answer<T> {
        match self.faults.get(STORE) {
            Fault::LostAnswer => Err(Status::unavailable("the answer was lost")),
            _ => Ok(Response::new(value)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

#[tonic::async_trait]
impl Store for Service {
    async fn get(&self, request: Request<pb::GetRequest>) -> Answer<pb::GetReply> {
        self.before().await?;
        let entry = self.lock().get(&request.into_inner().key);
        Ok(Response::new(pb::GetReply { entry }))
    }

    async fn list(&self, request: Request<pb::ListRequest>) -> Answer<pb::ListReply> {
        self.before().await?;
        let entries = self.lock().list(&request.into_inner().prefix);
        Ok(Response::new(pb::ListReply { entries }))
    }

    async fn swap(&self, request: Request<pb::SwapRequest>) -> Answer<pb::SwapReply> {
        self.before().await?;
        let request = request.into_inner();
        if request.value.as_ref().is_some_and(|value| value.len() > LARGEST_VALUE_BYTES) {
            return Err(Status::invalid_argument("the value is larger than a megabyte"));
        }
        let reply = self.lock().swap(request).map_err(Status::not_found)?;
        self.after(reply)
    }

    async fn grant(&self, request: Request<pb::GrantRequest>) -> Answer<pb::GrantReply> {
        self.before().await?;
        let ttl = Duration::from_millis(u64::from(request.into_inner().ttl_ms));
        let lease = self.lock().grant(ttl);
        self.after(pb::GrantReply { lease })
    }

    async fn renew(&self, request: Request<pb::RenewRequest>) -> Answer<pb::RenewReply> {
        self.before().await?;
        let is_live = self.lock().renew(request.into_inner().lease);
        if !is_live {
            return Err(Status::not_found("the lease has lapsed"));
        }
        self.after(pb::RenewReply {})
    }

    async fn revoke(&self, request: Request<pb::RevokeRequest>) -> Answer<pb::RevokeReply> {
        self.before().await?;
        self.lock().revoke(request.into_inner().lease);
        self.after(pb::RevokeReply {})
    }

    type WatchStream = Pin<Box<dyn Stream<Item = Result<pb::WatchEvent, Status>> + Send>>;

    async fn watch(&self, request: Request<pb::WatchRequest>) -> Answer<Self::WatchStream> {
        self.before().await?;
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
            let mut ticks = time::interval(HEARTBEAT);
            loop {
                let event = tokio::select! {
                    event = events.recv() => match event {
                        Ok(event) if event.key.starts_with(&prefix) => event,
                        Ok(_) => continue,
                        // A watch that lags ends, and its client starts anew.
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
