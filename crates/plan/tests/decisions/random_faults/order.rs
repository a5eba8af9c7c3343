//! Orders of a leader to its targets, as `node::placer::{order, session}`.

use std::time::Duration;

use base::Name;
use plan::{Listing, Refusal, Start, StartAnswer, Stop};

use super::{
    leader::{Effect, Event, LEASE, Leader, Pending, Purpose},
    message::{Call, Order, Reply},
    session::Origin,
};

/// Time until the placer learns that a start was not sent.
const LOCAL_ANSWER_TIME: Duration = Duration::from_millis(1);
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
const POLL_TIMEOUT: Duration = Duration::from_millis(400);
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(1000);
const ANSWER_MARGIN: Duration = Duration::from_millis(1000);
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(90);
const UNRECORDED_BACKOFF: Duration = Duration::from_millis(100);
const MAX_CLOCK_ERROR: Duration = Duration::from_millis(200);

/// What follows from the answer to a renewal or a poll.
enum Answer {
    Listed(Listing),
    Unreachable,
    /// Another process has answered.
    Restarted,
    /// The answer says nothing, since the target has started again.
    Nothing,
    Fenced,
}

impl Leader {
    /// Returns the tokens of the present and the next process of a session.
    pub(super) fn fence(&self, session: u64) -> u64 {
        self.all_sessions[&session].process.fence
    }

    fn is_current(&self, session: u64, fence: u64) -> bool {
        self.all_sessions[&session].is_current(fence)
    }

    fn send(&mut self, session: u64, order: Order, purpose: Purpose, timeout: Duration) {
        let number = self.number();
        let fence = self.fence(session);
        let target = &self.all_sessions[&session].target;
        let target = target.strip_prefix("target-").and_then(|number| number.parse().ok());
        let target = target.expect("the names of targets are numbered");
        let born = self.all_sessions[&session].process.born_unix_ms;
        let call = Call { number, term: self.term, target, fence, born, order };
        self.pending.insert(number, Pending { session, fence, purpose });
        self.effects.push(Effect::Send { call, timeout });
        self.expect(timeout, Event::TimedOut(number));
    }

    pub(super) fn start(&mut self, start: Start, now: Duration) {
        let Start { target, task, run, .. } = start.clone();
        let session = self.sessions.get(&target).copied();
        let until_ms = session.map(|session| {
            let process = &self.all_sessions[&session].process;
            process.lease_until_ms(LEASE, now).filter(|_| self.is_valid)
        });
        let refusal = match (session, until_ms.flatten()) {
            (Some(session), Some(until_ms)) => {
                self.planner.lease_granted(&target, now);
                let purpose = Purpose::Start { task, run, until_ms };
                let order = Order::Start { start, until_ms };
                return self.send(session, order, purpose, ORDER_TIMEOUT);
            }
            (Some(_), None) => Refusal::Late,
            (None, _) => Refusal::Unable,
        };
        let answer = StartAnswer::Refused(refusal);
        self.expect(LOCAL_ANSWER_TIME, Event::StartAnswered { target, task, run, answer });
    }

    pub(super) fn stop(&mut self, stop: Stop) {
        let Stop { target, task, run, .. } = stop;
        let session = self.sessions.get(&target).copied().filter(|_| self.is_valid);
        if let Some(session) = session {
            let order = Order::Stop { task: task.clone(), run };
            self.send(session, order, Purpose::Stop { task, run }, ORDER_TIMEOUT);
        }
    }

    pub(super) fn renew(&mut self, number: u64, now: Duration) {
        let session = &self.all_sessions[&number];
        if session.has_ended {
            return;
        }
        if !self.is_valid {
            return self.expect(UNRECORDED_BACKOFF, Event::Renew(number));
        }
        let (process, was_unreachable) = (session.process, session.was_unreachable);
        let until_ms = process.lease_until_ms(LEASE, now).filter(|_| !was_unreachable);
        let has_grant = until_ms.is_some();
        if has_grant {
            let target = session.target.clone();
            self.planner.lease_granted(&target, now);
        }
        let recorded_end = if was_unreachable { 0 } else { process.end_to_forget() };
        let is_brief = !has_grant || process.has_unrecorded_ends();
        let wait = if is_brief { Duration::ZERO } else { LONG_POLL_TIMEOUT };
        let order = Order::Hold { until_ms, last_seen: recorded_end, wait };
        let purpose = Purpose::Renewal { requested_at: now, recorded_end, has_grant };
        self.send(number, order, purpose, wait + ANSWER_MARGIN);
    }

    pub(super) fn poll(&mut self, session: u64, is_first: bool, now: Duration) {
        if self.is_valid {
            let order = Order::Hold { until_ms: None, last_seen: 0, wait: Duration::ZERO };
            let purpose = Purpose::Poll { requested_at: now, is_first };
            self.send(session, order, purpose, POLL_TIMEOUT);
        }
    }

    /// Processes the answer to a call; `None` if there is none in time.
    pub(super) fn replied(&mut self, call: u64, reply: Option<Reply>, now: Duration) {
        let Some(Pending { session, fence, purpose }) = self.pending.remove(&call) else {
            return;
        };
        let target = self.all_sessions[&session].target.clone();
        match purpose {
            Purpose::Start { task, run, until_ms } => {
                let clock_ms = match &reply {
                    Some(Reply::Done { clock_ms } | Reply::Refused { clock_ms, .. }) => {
                        Some(*clock_ms)
                    }
                    _ => None,
                };
                let taken = clock_ms.map(|clock_ms| until_ms.saturating_sub(clock_ms));
                if let Some(taken) = taken.map(Duration::from_millis)
                    && taken > LEASE
                {
                    self.planner.lease_taken(&target, taken, now);
                    if taken > LEASE + MAX_CLOCK_ERROR && self.forget_process(session, fence) {
                        self.suspect_restart(&target, now);
                    }
                }
                let answer = match reply {
                    None | Some(Reply::Listed { .. }) => StartAnswer::Unknown,
                    Some(Reply::Done { .. }) => StartAnswer::Started,
                    Some(Reply::Refused { refusal: Refusal::Fenced, .. }) => {
                        if self.is_current(session, fence) {
                            return self.effects.push(Effect::End(None));
                        }
                        StartAnswer::Refused(Refusal::Restarted)
                    }
                    Some(Reply::Refused { refusal, .. }) => StartAnswer::Refused(refusal),
                    Some(Reply::Unavailable | Reply::NotSent) => {
                        StartAnswer::Refused(Refusal::Unable)
                    }
                };
                self.planner.start_answered(&target, &task, run, &answer, now);
            }
            Purpose::Stop { task, run } => match reply {
                Some(Reply::Done { .. }) => self.planner.stop_answered(&target, &task, run, now),
                Some(Reply::Refused { .. }) if self.is_current(session, fence) => {
                    self.effects.push(Effect::End(None));
                }
                _ => {}
            },
            Purpose::Renewal { requested_at, recorded_end, has_grant } => {
                let answer = self.interpret(session, fence, reply, now);
                let is_current = self.is_current(session, fence);
                let is_unreachable = is_current && matches!(answer, Answer::Unreachable);
                let known = self.all_sessions.get_mut(&session).expect("sessions are kept");
                known.was_unreachable = is_unreachable;
                if let Answer::Listed(listing) = &answer {
                    known.note_ends(fence, listing, recorded_end);
                }
                self.apply(session, requested_at, answer, now);
                let process = &self.all_sessions[&session].process;
                let pause = if is_current && !has_grant && !is_unreachable {
                    Duration::ZERO
                } else if is_unreachable || process.has_unrecorded_ends() {
                    MIN_POLL_INTERVAL + UNRECORDED_BACKOFF
                } else {
                    MIN_POLL_INTERVAL
                };
                self.expect(pause, Event::Renew(session));
            }
            Purpose::Poll { requested_at, is_first } => {
                if !matches!(reply, Some(Reply::Listed { .. })) {
                    return;
                }
                let answer = self.interpret(session, fence, reply, now);
                self.apply(session, requested_at, answer, now);
                if is_first && !self.is_current(session, fence) {
                    self.poll(session, false, now);
                }
            }
        }
    }

    fn interpret(
        &mut self,
        session: u64,
        fence: u64,
        reply: Option<Reply>,
        now: Duration,
    ) -> Answer {
        let known = self.all_sessions.get_mut(&session).expect("sessions are kept");
        let Some(Reply::Listed { listing, clock_ms }) = reply else {
            let is_fenced = matches!(reply, Some(Reply::Refused { .. }));
            return match (known.is_current(fence), is_fenced) {
                (false, _) => Answer::Nothing,
                (true, true) => Answer::Fenced,
                (true, false) => Answer::Unreachable,
            };
        };
        match known.identify(fence, listing.born_unix_ms, clock_ms, now, &mut self.next_fence) {
            Origin::Expected => Answer::Listed(listing),
            Origin::Unknown => Answer::Restarted,
            Origin::Outdated => Answer::Nothing,
        }
    }

    fn suspect_restart(&mut self, target: &Name, now: Duration) {
        self.planner.restart_suspected(target, now);
        self.record_restarts(now);
    }

    pub(super) fn forget_process(&mut self, session: u64, fence: u64) -> bool {
        let is_current = self.is_current(session, fence);
        if is_current {
            let next = self.next_fence();
            let known = self.all_sessions.get_mut(&session).expect("sessions are kept");
            known.forget_process(next);
        }
        is_current
    }

    fn apply(&mut self, session: u64, requested_at: Duration, answer: Answer, now: Duration) {
        let target = self.all_sessions[&session].target.clone();
        match answer {
            Answer::Nothing => {}
            Answer::Fenced => self.effects.push(Effect::End(None)),
            Answer::Unreachable => drop(self.planner.mark_unreachable(&target)),
            Answer::Restarted => self.suspect_restart(&target, now),
            Answer::Listed(listing) => {
                self.planner.apply_listing(&target, requested_at, &listing, now);
                self.record_restarts(now);
                match self.sessions.get(&target) {
                    Some(number) => {
                        let end = self.planner.recorded_end(&target);
                        if let Some(session) = self.all_sessions.get_mut(number) {
                            session.set_recorded_end(end);
                        }
                    }
                    None => drop(self.planner.mark_unreachable(&target)),
                }
            }
        }
    }
}
