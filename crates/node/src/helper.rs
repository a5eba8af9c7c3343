//! What every node does for the leader: it tells its clients the states, and
//! asks for advice, of which each instance gets one answer at a time.

use std::{sync::Arc, time::Duration};

use base::clock;
use tokio::sync::mpsc;

use crate::{
    context::Context,
    link::{Down, Up},
};

/// Serves the leader's frames until there are no more.
pub(crate) async fn serve(
    ctx: &Arc<Context>,
    mut downs: mpsc::UnboundedReceiver<Down>,
    up: mpsc::UnboundedSender<Up>,
) {
    while let Some(down) = downs.recv().await {
        match down {
            Down::States(states) => ctx.states.merge(states, clock::now()),
            Down::Queues(queues) => ctx.states.set_queues(queues, clock::now()),
            Down::Pulse => {}
            Down::Doubt => ctx.doubted.notify_one(),
            Down::Succeed(succession) => {
                ctx.succeeded.send_replace(Some(succession));
            }
            Down::Written { number, outcome } => ctx.uplink.answered(number, outcome),
            Down::Advise { number, step, targets, timeout_ms } => {
                let (ctx, up) = (Arc::clone(ctx), up.clone());
                tokio::spawn(async move {
                    let timeout = Duration::from_millis(timeout_ms);
                    let answer = ctx.edges.advisor.advise(&step, &targets, timeout).await;
                    let valid_ms = answer
                        .as_ref()
                        .ok()
                        .and_then(|advised| advised.valid)
                        .map(|valid| valid.as_millis() as u64);
                    let allowed = answer.map(|advised| advised.allowed);
                    // Without a link nobody waits for the answer any more.
                    let _ = up.send(Up::Advised { number, allowed, valid_ms });
                });
            }
        }
    }
}
