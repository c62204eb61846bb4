//! Reports the state of this node and its target, and the scope of the active version, to the
//! membership actor.
//!
//! [`Control`](crate::control::Control) can't report the scope itself: the membership actor waits
//! for `Control`, so `Control` must not wait for the membership actor. With both mailboxes full,
//! the two would deadlock.

use std::sync::Arc;
use std::time::Duration;

use config::Snapshot;
use member::LocalState;
use tokio::sync::watch;

use crate::gossip::{SetLocal, SetScope};
use crate::shared::Shared;

/// Poll interval for the expiry of the target's announcement lease, which raises no event.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Reports each change of state or scope until `stop`.
pub(crate) async fn report_changes(shared: Arc<Shared>, mut stop: watch::Receiver<bool>) {
    let mut reported_state = None;
    let mut reported_scope_version = None;
    while !*stop.borrow() {
        let snapshot = shared.snapshot();
        if reported_scope_version != Some(snapshot.version())
            && let Some(actors) = shared.actors.get()
        {
            let scope = shared.scope(&snapshot);
            if actors.gossip.tell(SetScope(scope)).await.is_ok() {
                reported_scope_version = Some(snapshot.version());
            }
        }
        let state = local_state(&shared, &snapshot);
        if reported_state != Some(state)
            && let Some(actors) = shared.actors.get()
            && actors.gossip.tell(SetLocal(state)).await.is_ok()
        {
            reported_state = Some(state);
        }
        tokio::select! {
            () = shared.local_changed.notified() => {}
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            _ = stop.changed() => {}
        }
    }
}

fn local_state(shared: &Shared, snapshot: &Snapshot) -> LocalState {
    let slots = snapshot
        .service(&shared.settings.service)
        .map_or(1, |s| s.slots);
    LocalState {
        state: shared.own_state(),
        version: snapshot.version(),
        digest_prefix: digest_prefix(snapshot),
        slots,
    }
}

fn digest_prefix(snapshot: &Snapshot) -> u32 {
    let d = snapshot.digest().0;
    u32::from_be_bytes([d[0], d[1], d[2], d[3]])
}
