//! All stand-ins, served by one process.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use hyper::body::Incoming;
use tokio::{net::TcpListener, task::JoinSet};
use tonic::{Request, Response, Status, codegen::Service as _, service::Routes};
use wire::pb::{
    self,
    fleet_server::FleetServer,
    standin_server::{Standin, StandinServer},
    store_server::StoreServer,
    target_server::TargetServer,
};

use crate::{
    fault::{Fault, Faults},
    fleet::List,
    layout::{Group, Layout},
    listen::serve,
    observer::Observer,
    runner::Runner,
    stall::Stall,
    store_service::{STORE, Service},
    worker::Worker,
};

/// Maximum size of a request to the key-value service, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Path prefix of the targets' control service; at a runner, all other paths are
/// calls.
const TARGET_PREFIX: &str = "/skylarkspan.v1.Target/";

/// Name of the fault that silences open connections.
const SILENT_CONNECTIONS: &str = "silent-connections";

/// Platform with all targets; stopped on drop.
#[derive(Debug)]
pub struct World {
    platform: SocketAddr,
    faults: Faults,
    observer: Observer,
    store: Service,
    stalls: Vec<(String, Stall)>,
    instances: Vec<pb::FleetInstance>,
    _tasks: JoinSet<()>,
}

impl World {
    /// Starts the platform and all targets of a layout.
    ///
    /// # Errors
    /// Returns an error if a port can't be opened.
    pub async fn start(layout: Layout) -> io::Result<Self> {
        let faults = Faults::default();
        let observer = Observer::default();
        let store = Service::new(faults.clone());
        let mut tasks = JoinSet::new();
        let mut builder = Builder {
            faults: faults.clone(),
            observer: observer.clone(),
            tasks: &mut tasks,
            stalls: Vec::new(),
            instances: Vec::new(),
        };
        for group in layout.workers {
            builder.add(group, pb::FleetKind::Worker).await?;
        }
        for group in layout.runners {
            builder.add(group, pb::FleetKind::Runner).await?;
        }
        let (mut stalls, instances) = (builder.stalls, builder.instances);

        let address = if layout.platform.is_empty() { "127.0.0.1:0" } else { &layout.platform };
        let listener = TcpListener::bind(address).await?;
        let platform = listener.local_addr()?;
        let lag = Duration::from_millis(layout.list_lag_ms);
        let list = List::new(instances.clone(), faults.clone(), lag);
        let stall = Stall::default();
        stalls.push((STORE.to_owned(), stall.clone()));
        let control = ControlService {
            faults: faults.clone(),
            observer: observer.clone(),
            store: store.clone(),
            stalls: stalls.clone(),
        };
        let routes = Routes::new(
            StoreServer::new(store.clone()).max_decoding_message_size(MAX_MESSAGE_BYTES),
        )
        .add_service(FleetServer::new(list))
        .add_service(StandinServer::new(control))
        .prepare();
        tasks.spawn(store.clone().expire_leases());
        tasks.spawn(serve(listener, stall, move |request| call(routes.clone(), request)));
        Ok(Self { platform, faults, observer, store, stalls, instances, _tasks: tasks })
    }

    /// Returns the address of the platform's services.
    pub fn platform_address(&self) -> SocketAddr {
        self.platform
    }

    /// Returns the switches of the stand-ins' faults.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Returns the observer of all targets.
    pub fn observer(&self) -> &Observer {
        &self.observer
    }

    /// Returns the numbers of reads and writes that the key-value service has
    /// served.
    pub fn store_counts(&self) -> (u64, u64) {
        self.store.counts()
    }

    /// Returns the platform's records of all targets, as at the start.
    pub fn instances(&self) -> &[pb::FleetInstance] {
        &self.instances
    }

    /// Returns the number of bytes that all targets have received and sent.
    pub fn target_bytes(&self) -> u64 {
        let targets = self.stalls.iter().filter(|(name, _)| name != STORE);
        targets.map(|(_, stall)| stall.bytes()).sum()
    }

    /// Returns the number of bytes that the platform's services have received and
    /// sent.
    pub fn platform_bytes(&self) -> u64 {
        let platform = self.stalls.iter().filter(|(name, _)| name == STORE);
        platform.map(|(_, stall)| stall.bytes()).sum()
    }

    /// Silences the open connections of a stand-in permanently. New connections
    /// work.
    pub fn silence_connections(&self, name: &str) {
        silence(&self.stalls, name);
    }
}

fn silence(stalls: &[(String, Stall)], name: &str) {
    for (_, stall) in stalls.iter().filter(|(known, _)| known == name) {
        stall.silence();
    }
}

struct Builder<'a> {
    faults: Faults,
    observer: Observer,
    tasks: &'a mut JoinSet<()>,
    stalls: Vec<(String, Stall)>,
    instances: Vec<pb::FleetInstance>,
}

impl Builder<'_> {
    async fn add(&mut self, group: Group, kind: pb::FleetKind) -> io::Result<()> {
        let group = Arc::new(group);
        for number in 0..group.count {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let name = format!("{}-{number}", group.prefix);
            let stall = Stall::default();
            self.stalls.push((name.clone(), stall.clone()));
            self.instances.push(pb::FleetInstance {
                name: name.clone(),
                address: listener.local_addr()?.to_string(),
                kind: kind.into(),
                state: pb::FleetState::Live.into(),
                region: group.region.clone(),
                data_centre: group.data_centre.clone(),
                rack: format!("{}-rack-{}", group.prefix, number / group.rack_size.max(1)),
            });
            let (faults, observer) = (self.faults.clone(), self.observer.clone());
            if kind == pb::FleetKind::Worker {
                let worker = Worker::new(name, Arc::clone(&group), faults, observer);
                self.tasks.spawn(worker.clone().run_attempts());
                let routes = Routes::new(TargetServer::new(worker)).prepare();
                let respond = move |request| call(routes.clone(), request);
                self.tasks.spawn(serve(listener, stall, respond));
            } else {
                let runner = Runner::new(name, Arc::clone(&group), faults, observer);
                let routes = Routes::new(TargetServer::new(runner.clone())).prepare();
                let respond = move |request: http::Request<Incoming>| {
                    let (routes, runner) = (routes.clone(), runner.clone());
                    async move {
                        match request.uri().path().starts_with(TARGET_PREFIX) {
                            true => call(routes, request).await,
                            false => runner.serve(request).await,
                        }
                    }
                };
                self.tasks.spawn(serve(listener, stall, respond));
            }
        }
        Ok(())
    }
}

async fn call(
    mut routes: Routes,
    request: http::Request<Incoming>,
) -> http::Response<tonic::body::Body> {
    match routes.call(request).await {
        Ok(response) => response,
        Err(never) => match never {},
    }
}

/// gRPC service by which other processes set faults and read the observer.
#[derive(Clone, Debug)]
struct ControlService {
    faults: Faults,
    observer: Observer,
    store: Service,
    stalls: Vec<(String, Stall)>,
}

#[tonic::async_trait]
impl Standin for ControlService {
    async fn set_fault(
        &self,
        request: Request<pb::SetFaultRequest>,
    ) -> Result<Response<pb::SetFaultReply>, Status> {
        let request = request.into_inner();
        // This fault applies once, to the connections that are open now; unlike
        // the others, no later request ends the fault.
        if request.fault == SILENT_CONNECTIONS {
            silence(&self.stalls, &request.at);
            return Ok(Response::new(pb::SetFaultReply {}));
        }
        let delay = Duration::from_millis(u64::from(request.delay_ms));
        let fault = Fault::from_name(&request.fault, delay)
            .ok_or_else(|| Status::invalid_argument("fault: is unknown"))?;
        self.faults.set(&request.at, fault);
        Ok(Response::new(pb::SetFaultReply {}))
    }

    async fn observe(
        &self,
        _: Request<pb::ObserveRequest>,
    ) -> Result<Response<pb::ObserveReply>, Status> {
        let counts = self.observer.counts();
        let (store_reads, store_writes) = self.store.counts();
        Ok(Response::new(pb::ObserveReply {
            two_places: counts.two_places,
            overcommits: counts.overcommits,
            second_runs: counts.second_runs,
            starts: counts.starts,
            ends: counts.ends,
            calls: counts.calls,
            running: counts.running,
            fenced: counts.fenced,
            store_reads,
            store_writes,
            most_calls: counts.most_calls,
            most_cpu_milli: counts.most_cpu_milli.into_iter().collect(),
        }))
    }
}
