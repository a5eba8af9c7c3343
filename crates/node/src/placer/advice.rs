//! Who asks for advice.
//!
//! The service answers one call of each instance at a time, so the requests are
//! spread over all instances that have a link, by the time that is still to be
//! waited for at each of them.

use std::{collections::HashMap, time::Duration};

use base::Name;
use plan::{AdviceRequest, RequestLength};
use tokio::sync::mpsc;

use crate::{link::Down, placer::event::Asked};

/// Requests of one instance at a time; the service refuses more than 32 calls
/// that wait.
const MOST_WAITING: usize = 16;

/// Time for an answer beyond what it takes by itself.
const SLACK: Duration = Duration::from_millis(1500);

/// A `Helper` is an instance that can ask.
#[derive(Debug)]
struct Helper {
    down: mpsc::UnboundedSender<Down>,
    strength_milli: u32,
    backlog_us: u64,
    waiting: usize,
    /// Long requests under way.
    long: usize,
}

/// A `Helpers` is the instances that have a link.
#[derive(Debug, Default)]
pub(crate) struct Helpers {
    helpers: HashMap<Name, Helper>,
    asked: HashMap<u64, Asked>,
    last: u64,
}

impl Helpers {
    /// Gets the number of instances.
    pub(crate) fn len(&self) -> usize {
        self.helpers.len()
    }

    /// Adds an instance.
    pub(crate) fn join(
        &mut self,
        instance: Name,
        strength_milli: u32,
        down: mpsc::UnboundedSender<Down>,
    ) {
        let helper = Helper { down, strength_milli, backlog_us: 0, waiting: 0, long: 0 };
        self.helpers.insert(instance, helper);
    }

    /// Gets the strongest instance if it is much stronger than one with
    /// `strength_milli`.
    pub(crate) fn much_stronger(&self, strength_milli: u32) -> Option<&Name> {
        /// What the strength has to be against the other, in thousandths;
        /// handing over has its price.
        const MUCH_MILLI: u32 = 1400;
        let strongest = self.helpers.iter().max_by_key(|(_, helper)| helper.strength_milli)?;
        let (name, helper) = strongest;
        (helper.strength_milli * 1000 > strength_milli * MUCH_MILLI).then_some(name)
    }

    /// Removes an instance; gets what it was asked for and won't answer.
    pub(crate) fn leave(&mut self, instance: &Name) -> Vec<Asked> {
        if self.helpers.get(instance).is_some_and(|helper| !helper.down.is_closed()) {
            // It has a newer link.
            return Vec::new();
        }
        self.helpers.remove(instance);
        let numbers: Vec<u64> = self
            .asked
            .iter()
            .filter(|(_, asked)| asked.helper == *instance)
            .map(|(number, _)| *number)
            .collect();
        numbers.iter().filter_map(|number| self.asked.remove(number)).collect()
    }

    /// Gets where the frames for an instance go.
    pub(crate) fn down(&self, instance: &Name) -> Option<mpsc::UnboundedSender<Down>> {
        self.helpers.get(instance).map(|helper| helper.down.clone())
    }

    /// Gets the other instances that are about as strong as the strongest.
    pub(crate) fn strong(&self, own: &str) -> Vec<Name> {
        /// What the strength has to be against the strongest, in thousandths.
        const ABOUT_MILLI: u32 = 700;
        let others = || self.helpers.iter().filter(|(name, _)| &***name != own);
        let most = others().map(|(_, helper)| helper.strength_milli).max().unwrap_or(0);
        others()
            .filter(|(_, helper)| helper.strength_milli * 1000 >= most * ABOUT_MILLI)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Sends a frame to all instances.
    pub(crate) fn tell(&self, down: &Down) {
        for helper in self.helpers.values() {
            // A closed link is noticed where its frames are received.
            let _ = helper.down.send(down.clone());
        }
    }

    /// Has the instance that will be free first ask. Gets the number of the
    /// request and the time to wait for its answer, or gives the request back
    /// if all have enough to do.
    pub(crate) fn ask(&mut self, ask: AdviceRequest) -> Result<(u64, Duration), AdviceRequest> {
        let free = self.helpers.iter_mut().filter(|(_, helper)| helper.waiting < MOST_WAITING);
        // A long request also keeps away from others of its kind.
        let best = match ask.length {
            RequestLength::Short => free.min_by_key(|(_, helper)| helper.backlog_us),
            RequestLength::Long => free.min_by_key(|(_, helper)| (helper.long, helper.backlog_us)),
        };
        let Some((name, helper)) = best else {
            return Err(ask);
        };
        self.last += 1;
        helper.backlog_us += ask.cost_us;
        helper.waiting += 1;
        helper.long += usize::from(ask.length == RequestLength::Long);
        let timeout = Duration::from_micros(helper.backlog_us) + SLACK;
        let down = Down::Advise {
            number: self.last,
            step: ask.step.clone(),
            targets: ask.targets.clone(),
            timeout_ms: timeout.as_millis() as u64,
        };
        let _ = helper.down.send(down);
        let helper = name.clone();
        let AdviceRequest { step, targets, cost_us, length } = ask;
        self.asked.insert(self.last, Asked { step, targets, cost_us, length, helper });
        Ok((self.last, timeout + SLACK))
    }

    /// Gets the request that an answer is for; `None` if it was given up.
    pub(crate) fn answered(&mut self, number: u64) -> Option<Asked> {
        let asked = self.asked.remove(&number)?;
        if let Some(helper) = self.helpers.get_mut(&asked.helper) {
            helper.backlog_us = helper.backlog_us.saturating_sub(asked.cost_us);
            helper.waiting = helper.waiting.saturating_sub(1);
            helper.long -= usize::from(asked.length == RequestLength::Long).min(helper.long);
        }
        Some(asked)
    }
}
