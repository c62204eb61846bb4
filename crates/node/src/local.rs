//! Watches the own target and node and reports their state to membership.
//!
//! The scope of a new version goes this way too. The actor of the spread must not wait for that of
//! membership, which waits for it: with both mailboxes full, neither would go on.

use std::sync::Arc;
use std::time::Duration;

use config::Snapshot;
use member::LocalState;
use tokio::sync::watch;

use crate::gossip::{SetLocal, SetScope};
use crate::shared::Shared;

/// The lease of an announcement lapses without an event, so the state is read this often too.
const CHECK: Duration = Duration::from_millis(250);

/// Reports each change until `stop`.
pub(crate) async fn watch(shared: Arc<Shared>, mut stop: watch::Receiver<bool>) {
    let mut reported = None;
    let mut scoped = None;
    while !*stop.borrow() {
        let snapshot = shared.snapshot();
        if scoped != Some(snapshot.version())
            && let Some(links) = shared.links.get()
        {
            let scope = shared.scope(&snapshot);
            if links.gossip.tell(SetScope(scope)).await.is_ok() {
                scoped = Some(snapshot.version());
            }
        }
        let state = local_state(&shared, &snapshot);
        if reported != Some(state)
            && let Some(links) = shared.links.get()
            && links.gossip.tell(SetLocal(state)).await.is_ok()
        {
            reported = Some(state);
        }
        tokio::select! {
            () = shared.local_changed.notified() => {}
            () = tokio::time::sleep(CHECK) => {}
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
