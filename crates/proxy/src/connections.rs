//! The connections of callers: their number, and which of them are closed when it or the memory runs
//! short.

use std::sync::Arc;
use std::time::Duration;

use admit::ConnectionState;
use ops::Metric;
use parking_lot::Mutex;
use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;
use wire::Time;

use crate::shared::{Phase, Shared};

/// Shortest time between two closed connections for lack of memory: the first one frees its memory
/// meanwhile.
const RELIEF_INTERVAL: Duration = Duration::from_millis(5);
/// Shortest time between two log lines about closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

new_key_type! {
    /// Identifies a connection of a caller.
    struct ConnKey;
}

/// All connections of callers.
#[derive(Debug)]
pub(crate) struct Connections {
    state: Mutex<State>,
    max: usize,
    /// Wakes the accept loop when a connection has ended.
    pub(crate) closed: Notify,
}

#[derive(Debug, Default)]
struct State {
    conns: SlotMap<ConnKey, Conn>,
    /// When closed connections were last logged, and how many were closed since.
    logged_at: Time,
    unlogged: u64,
}

#[derive(Debug)]
struct Conn {
    held_bytes: usize,
    in_progress: usize,
    active_at: Time,
    /// Since when output has been waiting for the caller to read.
    unread_since: Option<Time>,
    evict: Arc<Notify>,
}

impl Conn {
    fn state(&self, now: Time) -> ConnectionState {
        ConnectionState {
            held_bytes: self.held_bytes,
            in_progress: self.in_progress,
            idle_for: now.since(self.active_at),
            unread_for: self.unread_since.map_or(Duration::ZERO, |at| now.since(at)),
        }
    }
}

/// The place of one connection; on drop it is free for another.
#[derive(Debug)]
pub(crate) struct Registration {
    conns: Arc<Connections>,
    key: ConnKey,
    evict: Arc<Notify>,
}

impl Connections {
    pub(crate) fn new(max: usize) -> Arc<Connections> {
        Arc::new(Connections {
            state: Mutex::default(),
            max,
            closed: Notify::new(),
        })
    }

    /// Returns whether another connection may be accepted.
    pub(crate) fn has_room(&self) -> bool {
        self.state.lock().conns.len() < self.max
    }

    /// Adds an accepted connection.
    pub(crate) fn add(self: &Arc<Connections>, now: Time) -> Registration {
        let evict = Arc::new(Notify::new());
        let key = self.state.lock().conns.insert(Conn {
            held_bytes: 0,
            in_progress: 0,
            active_at: now,
            unread_since: None,
            evict: evict.clone(),
        });
        Registration {
            conns: self.clone(),
            key,
            evict,
        }
    }

    /// Closes the connection that has been idle for longest, to make room for a new one.
    pub(crate) fn evict_idle(&self, shared: &Shared, now: Time) {
        self.evict(shared, now, "connections", |conns| {
            admit::longest_idle(conns)
        });
    }

    /// Closes the connection that holds most for the least progress.
    fn evict_holder(&self, shared: &Shared, now: Time) {
        self.evict(shared, now, "memory", |conns| admit::worst_holder(conns));
    }

    fn evict(
        &self,
        shared: &Shared,
        now: Time,
        lack: &str,
        choose: impl FnOnce(&mut dyn Iterator<Item = (ConnKey, ConnectionState)>) -> Option<ConnKey>,
    ) {
        let mut state = self.state.lock();
        let state = &mut *state;
        let mut all = state.conns.iter().map(|(key, c)| (key, c.state(now)));
        let Some(key) = choose(&mut all) else {
            return;
        };
        drop(all);
        let Some(conn) = state.conns.get_mut(key) else {
            return;
        };
        let ConnectionState {
            held_bytes,
            in_progress,
            idle_for,
            ..
        } = conn.state(now);
        conn.evict.notify_one();
        // Until its task has ended, it is no longer the worst one.
        conn.held_bytes = 0;
        conn.active_at = now;
        shared.metrics.count(Metric::CallersEvicted);
        state.unlogged += 1;
        if now.since(state.logged_at) < LOG_INTERVAL {
            return;
        }
        let closed = std::mem::take(&mut state.unlogged);
        state.logged_at = now;
        let idle_ms = idle_for.as_millis() as u64;
        log::warn!(event = "caller_evicted", lack, closed, held_bytes, in_progress, idle_ms; "closed connections of callers; the last one held and did this");
    }
}

impl Registration {
    /// Records the state of the connection. `is_unread` says whether output waits for the caller.
    pub(crate) fn update(&self, now: Time, held_bytes: usize, in_progress: usize, is_unread: bool) {
        let mut state = self.conns.state.lock();
        let Some(conn) = state.conns.get_mut(self.key) else {
            return;
        };
        conn.held_bytes = held_bytes;
        conn.in_progress = in_progress;
        conn.unread_since = match conn.unread_since {
            since @ Some(_) if is_unread => since,
            _ => is_unread.then_some(now),
        };
    }

    /// Records that bytes were received or written.
    pub(crate) fn record_activity(&self, now: Time) {
        if let Some(conn) = self.conns.state.lock().conns.get_mut(self.key) {
            conn.active_at = now;
        }
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn evicted(&self) {
        self.evict.notified().await;
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.conns.state.lock().conns.remove(self.key);
        self.conns.closed.notify_one();
    }
}

/// Closes connections while memory is short, until the node stops.
pub(crate) async fn relieve_memory(shared: Arc<Shared>) {
    loop {
        tokio::select! {
            () = shared.memory_shortage.notified() => {}
            () = shared.wait_for_phase(Phase::Stopped) => return,
        }
        shared.connections.evict_holder(&shared, shared.now());
        tokio::time::sleep(RELIEF_INTERVAL).await;
    }
}
