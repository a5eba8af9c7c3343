//! Instances with a link to the leader, and the distribution of advice requests
//! over them.
//!
//! The advice service answers one request of each instance at a time. Requests
//! are therefore spread over all linked instances by the estimated backlog of
//! each.

use std::{collections::HashMap, time::Duration};

use base::Name;
use plan::RequestLength;
use tokio::sync::mpsc;

use crate::{link::LeaderFrame, placer::event::AssignedRequest};

/// Maximum number of requests in flight at one instance; the advice service
/// refuses more than 32 waiting calls.
const MAX_WAITING_REQUESTS: usize = 16;

/// Margin that is added to the estimated time until an answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(1500);

/// Linked instance that can send advice requests.
#[derive(Debug)]
struct Peer {
    sender: mpsc::UnboundedSender<LeaderFrame>,
    strength_milli: u32,
    backlog_us: u64,
    waiting_requests: usize,
    /// Number of long requests in flight.
    long_requests: usize,
}

/// Linked instances and their advice requests in flight.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: HashMap<Name, Peer>,
    requests: HashMap<u64, AssignedRequest>,
    last_number: u64,
}

impl Peers {
    /// Returns the number of linked instances.
    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Adds an instance.
    pub(crate) fn add(
        &mut self,
        instance: Name,
        strength_milli: u32,
        sender: mpsc::UnboundedSender<LeaderFrame>,
    ) {
        let peer =
            Peer { sender, strength_milli, backlog_us: 0, waiting_requests: 0, long_requests: 0 };
        self.peers.insert(instance, peer);
    }

    /// Returns the strongest instance if it is much stronger than
    /// `strength_milli`.
    pub(crate) fn much_stronger(&self, strength_milli: u32) -> Option<&Name> {
        /// Minimum strength in thousandths of `strength_milli`. The ratio is above
        /// 1000 because a handover has a cost.
        const MIN_STRENGTH_RATIO_MILLI: u32 = 1400;
        let strongest = self.peers.iter().max_by_key(|(_, peer)| peer.strength_milli)?;
        let (name, peer) = strongest;
        (peer.strength_milli * 1000 > strength_milli * MIN_STRENGTH_RATIO_MILLI).then_some(name)
    }

    /// Removes an instance. Returns the advice requests that the instance will
    /// not answer; none if the instance has opened a newer link.
    pub(crate) fn remove(&mut self, instance: &Name) -> Vec<AssignedRequest> {
        if self.peers.get(instance).is_some_and(|peer| !peer.sender.is_closed()) {
            // The instance has opened a newer link.
            return Vec::new();
        }
        self.peers.remove(instance);
        let numbers: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| request.peer == *instance)
            .map(|(number, _)| *number)
            .collect();
        numbers.iter().filter_map(|number| self.requests.remove(number)).collect()
    }

    /// Returns the sender of frames to an instance.
    pub(crate) fn sender(&self, instance: &Name) -> Option<mpsc::UnboundedSender<LeaderFrame>> {
        self.peers.get(instance).map(|peer| peer.sender.clone())
    }

    /// Returns the other instances that are about as strong as the strongest of
    /// them.
    pub(crate) fn strongest_others(&self, own: &str) -> Vec<Name> {
        /// Minimum strength in thousandths of the strength of the strongest other
        /// instance.
        const MIN_STRENGTH_RATIO_MILLI: u32 = 700;
        let others = || self.peers.iter().filter(|(name, _)| &***name != own);
        let max = others().map(|(_, peer)| peer.strength_milli).max().unwrap_or(0);
        others()
            .filter(|(_, peer)| peer.strength_milli * 1000 >= max * MIN_STRENGTH_RATIO_MILLI)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Sends a frame to all instances.
    pub(crate) fn broadcast(&self, frame: &LeaderFrame) {
        for peer in self.peers.values() {
            // A closed link is detected where its frames are received.
            let _ = peer.sender.send(frame.clone());
        }
    }

    /// Assigns an advice request to the instance with the smallest backlog.
    /// Returns the number of the request and the time to wait for the answer.
    ///
    /// # Errors
    /// Returns the request if all instances have the maximum number of requests
    /// in flight.
    pub(crate) fn request_advice(
        &mut self,
        request: plan::AdviceRequest,
    ) -> Result<(u64, Duration), plan::AdviceRequest> {
        let free =
            self.peers.iter_mut().filter(|(_, peer)| peer.waiting_requests < MAX_WAITING_REQUESTS);
        // Long requests are also kept apart from each other.
        let best = match request.length {
            RequestLength::Short => free.min_by_key(|(_, peer)| peer.backlog_us),
            RequestLength::Long => {
                free.min_by_key(|(_, peer)| (peer.long_requests, peer.backlog_us))
            }
        };
        let Some((name, peer)) = best else {
            return Err(request);
        };
        self.last_number += 1;
        peer.backlog_us += request.cost_us;
        peer.waiting_requests += 1;
        peer.long_requests += usize::from(request.length == RequestLength::Long);
        let timeout = Duration::from_micros(peer.backlog_us) + ANSWER_MARGIN;
        let frame = LeaderFrame::Advise {
            number: self.last_number,
            step: request.step.clone(),
            targets: request.targets.clone(),
            timeout_ms: timeout.as_millis() as u64,
        };
        let _ = peer.sender.send(frame);
        let peer = name.clone();
        let plan::AdviceRequest { step, targets, cost_us, length } = request;
        self.requests
            .insert(self.last_number, AssignedRequest { step, targets, cost_us, length, peer });
        Ok((self.last_number, timeout + ANSWER_MARGIN))
    }

    /// Removes and returns an answered or expired request; `None` if it was
    /// already removed.
    pub(crate) fn complete(&mut self, number: u64) -> Option<AssignedRequest> {
        let request = self.requests.remove(&number)?;
        if let Some(peer) = self.peers.get_mut(&request.peer) {
            peer.backlog_us = peer.backlog_us.saturating_sub(request.cost_us);
            peer.waiting_requests = peer.waiting_requests.saturating_sub(1);
            peer.long_requests -=
                usize::from(request.length == RequestLength::Long).min(peer.long_requests);
        }
        Some(request)
    }
}
