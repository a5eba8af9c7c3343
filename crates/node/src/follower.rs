//! Handling of the leader's frames on every node, including the leader itself.
//!
//! A node reports job states to its clients and sends advice requests on behalf
//! of the leader. Advice requests are spread over the nodes because the advice
//! service answers one request of each instance at a time.

use std::{sync::Arc, time::Duration};

use base::clock;
use tokio::sync::mpsc;

use crate::{
    context::Context,
    link::{LeaderFrame, PeerFrame},
};

/// Handles the leader's frames until the channel is closed.
pub(crate) async fn handle_frames(
    ctx: &Arc<Context>,
    mut leader_frames: mpsc::UnboundedReceiver<LeaderFrame>,
    to_leader: mpsc::UnboundedSender<PeerFrame>,
) {
    while let Some(frame) = leader_frames.recv().await {
        match frame {
            LeaderFrame::States(states) => ctx.states.merge(states, clock::now()),
            LeaderFrame::Queues(queues) => ctx.states.set_queues(queues, clock::now()),
            LeaderFrame::Heartbeat => {}
            LeaderFrame::FindSuccessor => ctx.successor_requested.notify_one(),
            LeaderFrame::Succeed(succession) => {
                ctx.succession.send_replace(Some(succession));
            }
            LeaderFrame::Written { number, outcome } => ctx.uplink.complete(number, outcome),
            LeaderFrame::Advise { number, step, targets, timeout_ms } => {
                let (ctx, to_leader) = (Arc::clone(ctx), to_leader.clone());
                tokio::spawn(async move {
                    let timeout = Duration::from_millis(timeout_ms);
                    let answer = ctx.services.advisor.advise(&step, &targets, timeout).await;
                    let valid_ms = answer
                        .as_ref()
                        .ok()
                        .and_then(|advised| advised.valid)
                        .map(|valid| valid.as_millis() as u64);
                    let allowed = answer.map(|advised| advised.allowed);
                    // If the link is closed, the leader no longer waits for the
                    // answer.
                    let _ = to_leader.send(PeerFrame::Advised { number, allowed, valid_ms });
                });
            }
        }
    }
}
