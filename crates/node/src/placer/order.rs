//! Orders to targets.

use std::{sync::Arc, time::Duration};

use base::{Name, clock, emit};
use plan::{Pace, PaceAnswer, Refusal, Start, StartAnswer, Stop};
use tokio::sync::mpsc;
use work::TaskKey;

use crate::{
    context::Context,
    external::{self, OrderError},
    leadership::Leadership,
    metrics::Metrics,
    placer::{event::Event, session::Session},
};

/// Timeout of the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends the order to start a run on a target in `data_centre`, and reports the
/// outcome as an event.
pub(crate) async fn start(
    ctx: Arc<Context>,
    leadership: Arc<Leadership>,
    session: Arc<Session>,
    start: Start,
    data_centre: Name,
    lease: Duration,
    events: mpsc::UnboundedSender<Event>,
) {
    let Start { target, task, run, payload, checkpoint, ticket } = start;
    let now = clock::now();
    let process = session.process();
    let lease_until_ms = process.lease_until_ms(lease, now).filter(|_| leadership.is_valid(now));
    let answer = match lease_until_ms {
        // The start may have been decided on before the evacuation was known.
        _ if !ctx.may_start_in(&data_centre, now) => StartAnswer::Refused(Refusal::Evacuated),
        // Without a valid leadership or a known target clock, the order is not
        // sent.
        None => StartAnswer::Refused(Refusal::Late),
        Some(lease_until_ms) => {
            let order = external::Start {
                task: task.clone(),
                run,
                payload,
                checkpoint,
                ticket,
                lease_until_ms,
                fence: process.fence,
            };
            // The placer may have decided on the start some time ago.
            let _ = events.send(Event::LeaseGranted { target: target.clone(), at: now });
            let (answer, clock_ms) =
                ctx.services.orders.start(&session.target, &order, ORDER_TIMEOUT).await;
            Metrics::observe(&ctx.metrics.start_time, clock::now().saturating_sub(now));
            if let Some(clock_ms) = clock_ms {
                session.report_excess_lease(
                    &ctx,
                    &events,
                    process,
                    lease,
                    lease_until_ms,
                    clock_ms,
                );
            }
            match answer {
                StartAnswer::Refused(Refusal::Fenced) if !session.is_current(process.fence) => {
                    StartAnswer::Refused(Refusal::Restarted)
                }
                answer => answer,
            }
        }
    };
    report_start(&ctx, leadership.term, (target, task, run), answer, &events);
}

/// Reports a start on a target without a session as refused. The order is not
/// sent.
pub(crate) fn refuse_start(
    ctx: &Context,
    term: u64,
    start: Start,
    events: &mpsc::UnboundedSender<Event>,
) {
    let Start { target, task, run, .. } = start;
    let answer = StartAnswer::Refused(Refusal::Unable);
    report_start(ctx, term, (target, task, run), answer, events);
}

/// Logs and counts the outcome of a start order, and reports it as an event.
fn report_start(
    ctx: &Context,
    term: u64,
    (target, task, run): (Name, TaskKey, u32),
    answer: StartAnswer,
    events: &mpsc::UnboundedSender<Event>,
) {
    let step = &task.step;
    let outcome = match &answer {
        StartAnswer::Started => "started",
        StartAnswer::Refused(_) => "refused",
        StartAnswer::Unknown => "unknown",
    };
    Metrics::count(&ctx.metrics.orders, "start", outcome);
    match &answer {
        StartAnswer::Started => {
            emit!(ctx.log, info, StartSent; "job" => %step.job, "occurrence" => step.occurrence,
                "step" => step.step, "task" => task.index, "run" => run, "target" => %target,
                "term" => term);
        }
        StartAnswer::Refused(_) | StartAnswer::Unknown => {
            emit!(ctx.log, warn, StartFailed; "job" => %step.job, "occurrence" => step.occurrence,
                "step" => step.step, "task" => task.index, "run" => run, "target" => %target,
                "answer" => ?answer);
        }
    }
    let event = if answer == StartAnswer::Refused(Refusal::Fenced) {
        Event::Fenced("a target knows a later term")
    } else {
        Event::StartAnswered { target, task, run, answer }
    };
    // A send error means that the placer has ended.
    let _ = events.send(event);
}

/// Sends the order to stop a run, and reports an acknowledgement as an event.
pub(crate) async fn stop(
    ctx: Arc<Context>,
    leadership: Arc<Leadership>,
    session: Arc<Session>,
    stop: Stop,
    events: mpsc::UnboundedSender<Event>,
) {
    let Stop { target, task, run, cause } = stop;
    if !leadership.is_valid(clock::now()) {
        return;
    }
    let fence = session.process().fence;
    let answer = ctx.services.orders.stop(&session.target, &task, run, fence, ORDER_TIMEOUT).await;
    let outcome = if answer.is_ok() { "answered" } else { "unknown" };
    Metrics::count(&ctx.metrics.orders, "stop", outcome);
    emit!(ctx.log, info, StopSent; "job" => %task.step.job, "step" => task.step.step,
        "task" => task.index, "run" => run, "target" => %target,
        "why" => ?cause, "answered" => answer.is_ok());
    let event = match answer {
        Ok(_) => Event::StopAnswered { target, task, run },
        Err(OrderError::Fenced) if session.is_current(fence) => {
            Event::Fenced("a target knows a later term")
        }
        // The stop is repeated as long as the run may exist.
        Err(OrderError::Fenced | OrderError::Replaced | OrderError::NoAnswer(_)) => return,
    };
    let _ = events.send(event);
}

/// Sends the order to change the pace of a run, and reports the outcome as an
/// event.
pub(crate) async fn pace(
    ctx: Arc<Context>,
    leadership: Arc<Leadership>,
    session: Arc<Session>,
    pace: Pace,
    events: mpsc::UnboundedSender<Event>,
) {
    if !leadership.is_valid(clock::now()) {
        return;
    }
    let fence = session.process().fence;
    let answer = ctx.services.orders.pace(&session.target, &pace, fence, ORDER_TIMEOUT).await;
    let (outcome, answer) = match answer {
        Ok(_) => ("answered", PaceAnswer::Taken),
        Err(OrderError::Fenced) if session.is_current(fence) => {
            let _ = events.send(Event::Fenced("a target knows a later term"));
            return;
        }
        Err(OrderError::Fenced | OrderError::Replaced) => ("refused", PaceAnswer::Refused),
        Err(OrderError::NoAnswer(_)) => ("unknown", PaceAnswer::Unknown),
    };
    Metrics::count(&ctx.metrics.orders, "pace", outcome);
    let step = &pace.task.step;
    let beside = pace.beside.as_ref().map(|task| task.step.job.to_string()).unwrap_or_default();
    emit!(ctx.log, info, PaceSent; "job" => %step.job, "step" => step.step,
        "task" => pace.task.index, "run" => pace.run, "target" => %pace.target,
        "percent" => pace.percent, "beside" => beside, "outcome" => outcome);
    // A send error means that the placer has ended.
    let _ = events.send(Event::PaceAnswered { pace, answer });
}
