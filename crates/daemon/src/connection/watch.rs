//! Watch on the shared keys.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use base::{Name, emit};
use bytes::Bytes;
use futures::StreamExt;
use platform::{Entry, Event, Store};

use crate::{
    process::{Context, MEMBER_PREFIX, Member, Members},
    version::{CONFIG_KEY, DIVISION_PREFIX, Division, Update, update_division},
};

/// Prefix of the keys that every instance watches.
const SHARED_PREFIX: &str = "s/";

/// Delay before a broken watch is opened again.
const RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// Watches the shared keys until the process stops.
pub(crate) async fn watch_shared_keys(ctx: Arc<Context>) {
    loop {
        tokio::select! {
            () = watch_until_broken(&ctx) => {}
            () = ctx.timer.stopped() => return,
        }
        if !ctx.timer.sleep(RETRY_BACKOFF).await {
            return;
        }
    }
}

/// Watches the shared keys until the watch breaks.
async fn watch_until_broken(ctx: &Context) {
    let mut events = match ctx.store.watch(SHARED_PREFIX).await {
        Ok(events) => events,
        Err(error) => {
            emit!(ctx.log, warn, StoreRequestFailed; "what" => "watch", "reason" => %error);
            return;
        }
    };
    // A watch first delivers all existing keys, then a heartbeat. Members that
    // have gone meanwhile are detected by their absence from the complete list.
    let mut initial: Option<BTreeMap<Name, Member>> = Some(BTreeMap::new());
    while let Some(event) = events.next().await {
        match event {
            Event::Heartbeat => {
                if let Some(by_name) = initial.take() {
                    let synced_at = ctx.timer.now();
                    ctx.members.send_replace(Arc::new(Members { by_name, synced_at }));
                }
            }
            Event::Put(entry) => apply_entry(ctx, entry, initial.as_mut()),
            Event::Deleted { key, .. } => {
                if let Some(name) = key.strip_prefix(MEMBER_PREFIX) {
                    remove_member(ctx, name);
                }
            }
        }
    }
}

fn apply_entry(ctx: &Context, entry: Entry, initial: Option<&mut BTreeMap<Name, Member>>) {
    if entry.key == CONFIG_KEY {
        apply_config(ctx, entry.value);
    } else if let Some(region) = entry.key.strip_prefix(DIVISION_PREFIX) {
        if let Some(division) = Division::decode(&entry.value) {
            update_division(ctx, region.into(), division, entry.revision);
        }
    } else if let Some(member) = Member::decode(&entry.value) {
        match initial {
            Some(initial) => {
                initial.insert(member.name.clone(), member);
            }
            None => add_member(ctx, member),
        }
    }
}

/// Puts a configuration in force and sends it to the peers, which may not reach
/// the store.
pub(crate) fn apply_config(ctx: &Context, body: Bytes) {
    match ctx.configs.apply(body) {
        Ok(Update::Applied) => {
            let version = ctx.configs.version();
            ctx.counters.config_version.set(version);
            emit!(ctx.log, info, ConfigApplied; "version" => version);
            ctx.peers.send_config(ctx);
        }
        Ok(Update::Stale) => {}
        Err(failure) => emit!(ctx.log, error, ConfigRejected; "reason" => %failure),
    }
}

fn add_member(ctx: &Context, member: Member) {
    ctx.members.send_if_modified(|members| {
        if members.by_name.get(&member.name) == Some(&member) {
            return false;
        }
        let mut next = Members::clone(members);
        next.by_name.insert(member.name.clone(), member);
        *members = Arc::new(next);
        true
    });
}

fn remove_member(ctx: &Context, name: &str) {
    ctx.members.send_if_modified(|members| {
        let mut next = Members::clone(members);
        let is_known = next.by_name.remove(name).is_some();
        if is_known {
            *members = Arc::new(next);
        }
        is_known
    });
}
