//! The platform's list of instances.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use tonic::{Request, Response, Status};
use wire::pb::{self, fleet_server::Fleet};

use crate::fault::{Fault, Faults};

/// Name of the list of instances in [`Faults`].
const FLEET: &str = "fleet";

/// Contents of the list since a point in time.
type Version = (Instant, Vec<pb::FleetInstance>);

/// Platform's list of instances, which lags behind the actual state.
#[derive(Clone, Debug)]
pub(crate) struct List {
    instances: Arc<Vec<pb::FleetInstance>>,
    faults: Faults,
    lag: Duration,
    history: Arc<Mutex<VecDeque<Version>>>,
}

impl List {
    pub(crate) fn new(instances: Vec<pb::FleetInstance>, faults: Faults, lag: Duration) -> Self {
        Self { instances: Arc::new(instances), faults, lag, history: Arc::default() }
    }

    fn current(&self) -> Vec<pb::FleetInstance> {
        let listed = self.instances.iter().filter_map(|instance| {
            let state = match self.faults.get(&instance.name) {
                Fault::Gone => return None,
                Fault::Leaving => pb::FleetState::Leaving,
                _ => pb::FleetState::Live,
            };
            Some(pb::FleetInstance { state: state.into(), ..instance.clone() })
        });
        listed.collect()
    }

    /// Returns the list as it was `lag` ago.
    fn lagging(&self) -> Vec<pb::FleetInstance> {
        let now = Instant::now();
        let current = self.current();
        let mut history = self.history.lock().expect("no holder of the lock panics");
        if history.back().is_none_or(|(_, last)| *last != current) {
            history.push_back((now, current));
        }
        // The visible version is the latest one that is at least `lag` old.
        while history.get(1).is_some_and(|(at, _)| now >= *at + self.lag) {
            history.pop_front();
        }
        history.front().map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

#[tonic::async_trait]
impl Fleet for List {
    async fn list_instances(
        &self,
        _: Request<pb::ListInstancesRequest>,
    ) -> Result<Response<pb::ListInstancesReply>, Status> {
        self.faults.delay_request(FLEET).await;
        if self.faults.get(FLEET) == Fault::Down {
            return Err(Status::unavailable("the list is down"));
        }
        Ok(Response::new(pb::ListInstancesReply { instances: self.lagging() }))
    }
}
