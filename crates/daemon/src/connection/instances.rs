//! Polling of the platform's list of instances.

use std::{sync::Arc, time::Duration};

use base::emit;

use crate::process::Context;

/// Reads the platform's list of instances every `platform.list_ms` until the
/// process stops.
pub(crate) async fn poll_instances(ctx: Arc<Context>) {
    let mut ticks = ctx.timer.every(Duration::from_millis(ctx.settings.platform.list_ms));
    while ticks.next().await.is_some() {
        match ctx.fleet.list().await {
            Ok(mut list) => {
                list.sort_by(|a, b| a.name.cmp(&b.name));
                ctx.instances.send_if_modified(|known| {
                    let is_changed = **known != list;
                    if is_changed {
                        *known = Arc::new(list);
                    }
                    is_changed
                });
            }
            // The list of the last successful read stays in use.
            Err(error) => {
                emit!(ctx.log, warn, StoreRequestFailed; "what" => "list", "reason" => %error);
            }
        }
    }
}
