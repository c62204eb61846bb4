//! The connections of callers and peers: the number of those of callers, and which connections are
//! closed when it or the memory runs short.

use std::sync::Arc;
use std::time::Duration;

use admit::{ConnectionState, Pace};
use memory::Tally;
use ops::Metric;
use parking_lot::Mutex;
use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;
use wire::Time;

use crate::shared::{Phase, Shared};

/// Shortest time between two closed connections for lack of memory: the first one frees its memory
/// meanwhile.
const RELIEF_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which a connection that is being closed no longer counts as one that frees memory soon.
const CLOSING_TIME: Duration = Duration::from_millis(200);
/// Shortest time between two log lines about closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

new_key_type! {
    /// Identifies a connection of a caller or a peer.
    struct ConnKey;
}

/// All connections of callers and peers.
#[derive(Debug)]
pub(crate) struct Connections {
    state: Mutex<State>,
    max_callers: usize,
    /// Wakes the accept loop when a connection has ended.
    pub(crate) closed: Notify,
}

/// Whether memory is about to be freed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Relief {
    /// A connection that holds memory is being closed.
    UnderWay,
    /// Each caller that holds memory goes on reading or sending, or waits for this node.
    None,
}

#[derive(Debug, Default)]
struct State {
    conns: SlotMap<ConnKey, Conn>,
    callers: usize,
    /// When a connection was last closed for lack of memory.
    relieved_at: Option<Time>,
    /// When closed connections were last logged, and how many were closed since.
    logged_at: Time,
    unlogged: u64,
}

#[derive(Debug)]
struct Conn {
    is_caller: bool,
    /// Bodies of its requests, received or promised to be.
    bodies: Tally,
    /// Bytes of responses and unprocessed input.
    held_bytes: usize,
    in_progress: usize,
    active_at: Time,
    /// Since when this node has been waiting for the caller to read or to send.
    waiting_since: Option<Time>,
    /// What the caller has read, or has sent while it had nothing to read.
    pace: Pace,
    evict: Arc<Notify>,
    /// Whether the connection has been told to close.
    is_evicted: bool,
}

impl Conn {
    fn state(&self, now: Time) -> ConnectionState {
        ConnectionState {
            held_bytes: self.bodies.bytes() + self.held_bytes,
            in_progress: self.in_progress,
            idle_for: now.since(self.active_at),
            waiting_for: self
                .waiting_since
                .map_or(Duration::ZERO, |at| now.since(at)),
            is_moving: self.pace.is_ordinary(now),
        }
    }
}

/// The place of one connection; on drop it is free for another.
#[derive(Debug)]
pub(crate) struct Registration {
    conns: Arc<Connections>,
    key: ConnKey,
    bodies: Tally,
    evict: Arc<Notify>,
}

impl Connections {
    pub(crate) fn new(max_callers: usize) -> Arc<Connections> {
        Arc::new(Connections {
            state: Mutex::default(),
            max_callers,
            closed: Notify::new(),
        })
    }

    /// Returns whether another connection of a caller may be accepted.
    pub(crate) fn has_room(&self) -> bool {
        self.state.lock().callers < self.max_callers
    }

    /// Adds an accepted connection of a caller.
    pub(crate) fn add_caller(self: &Arc<Connections>, now: Time) -> Registration {
        self.state.lock().callers += 1;
        self.add(now, true)
    }

    /// Adds a connection of a peer, or to one.
    pub(crate) fn add_peer(self: &Arc<Connections>, now: Time) -> Registration {
        self.add(now, false)
    }

    fn add(self: &Arc<Connections>, now: Time, is_caller: bool) -> Registration {
        let (bodies, evict) = (Tally::default(), Arc::new(Notify::new()));
        let key = self.state.lock().conns.insert(Conn {
            is_caller,
            bodies: bodies.clone(),
            held_bytes: 0,
            in_progress: 0,
            active_at: now,
            waiting_since: None,
            pace: Pace::default(),
            evict: evict.clone(),
            is_evicted: false,
        });
        Registration {
            conns: self.clone(),
            key,
            bodies,
            evict,
        }
    }

    /// Closes the connection that has been idle for longest, or else one that is stalled, to make room
    /// for a new one.
    pub(crate) fn evict_idle(&self, shared: &Shared, now: Time) {
        let is_caller = |c: &Conn| c.is_caller;
        self.evict(shared, now, "connections", is_caller, |conns| {
            admit::longest_idle(conns)
        });
    }

    /// Closes the stalled connection that has held most memory for longest, unless another one has just
    /// been closed and is freeing its memory.
    pub(crate) fn relieve(&self, shared: &Shared, now: Time) -> Relief {
        let relieved_at = self.state.lock().relieved_at;
        let since = relieved_at.map_or(Duration::MAX, |at| now.since(at));
        if since < RELIEF_INTERVAL {
            return Relief::UnderWay;
        }
        let is_evicted = self.evict(
            shared,
            now,
            "memory",
            |_| true,
            |conns| admit::worst_holder(conns),
        );
        if is_evicted {
            self.state.lock().relieved_at = Some(now);
            return Relief::UnderWay;
        }
        if since < CLOSING_TIME {
            Relief::UnderWay
        } else {
            Relief::None
        }
    }

    /// Closes the connection that `choose` returns of those that are `eligible`. Returns whether there
    /// is one.
    fn evict(
        &self,
        shared: &Shared,
        now: Time,
        lack: &str,
        eligible: impl Fn(&Conn) -> bool,
        choose: impl FnOnce(&mut dyn Iterator<Item = (ConnKey, ConnectionState)>) -> Option<ConnKey>,
    ) -> bool {
        let mut state = self.state.lock();
        let state = &mut *state;
        let conns = state.conns.iter();
        let open = conns.filter(|(_, c)| !c.is_evicted && eligible(c));
        let mut open = open.map(|(key, c)| (key, c.state(now)));
        let chosen = choose(&mut open);
        drop(open);
        let Some(conn) = chosen.and_then(|key| state.conns.get_mut(key)) else {
            return false;
        };
        let ConnectionState {
            held_bytes,
            in_progress,
            idle_for,
            ..
        } = conn.state(now);
        conn.evict.notify_one();
        conn.is_evicted = true;
        shared.metrics.count(Metric::CallersEvicted);
        state.unlogged += 1;
        if now.since(state.logged_at) < LOG_INTERVAL {
            return true;
        }
        let closed = std::mem::take(&mut state.unlogged);
        state.logged_at = now;
        let idle_ms = idle_for.as_millis() as u64;
        log::warn!(event = "caller_evicted", lack, closed, held_bytes, in_progress, idle_ms; "closed connections of callers or peers; the last one held and did this");
        true
    }
}

impl Registration {
    /// Returns the sum in which the bodies of the connection's requests count.
    pub(crate) fn bodies(&self) -> &Tally {
        &self.bodies
    }

    /// Records the state of the connection. `is_waiting` says whether this node waits for the caller
    /// to read or to send.
    pub(crate) fn update(
        &self,
        now: Time,
        held_bytes: usize,
        in_progress: usize,
        is_waiting: bool,
    ) {
        let mut state = self.conns.state.lock();
        let Some(conn) = state.conns.get_mut(self.key) else {
            return;
        };
        conn.held_bytes = held_bytes;
        conn.in_progress = in_progress;
        conn.waiting_since = match conn.waiting_since {
            since @ Some(_) if is_waiting => since,
            _ => is_waiting.then_some(now),
        };
    }

    /// Records that `bytes` were received or written. `is_progress` says whether this node waited for
    /// them.
    pub(crate) fn record_activity(&self, now: Time, bytes: usize, is_progress: bool) {
        if let Some(conn) = self.conns.state.lock().conns.get_mut(self.key) {
            conn.active_at = now;
            if is_progress {
                conn.pace.record(now, bytes);
            }
        }
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn evicted(&self) {
        self.evict.notified().await;
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut state = self.conns.state.lock();
        let removed = state.conns.remove(self.key);
        if removed.is_some_and(|c| c.is_caller) {
            state.callers -= 1;
            self.conns.closed.notify_one();
        }
    }
}

/// Closes connections while memory is short, until the node stops.
pub(crate) async fn relieve_memory(shared: Arc<Shared>) {
    loop {
        tokio::select! {
            () = shared.memory.shortage() => {}
            () = shared.wait_for_phase(Phase::Stopped) => return,
        }
        shared.connections.relieve(&shared, shared.now());
        tokio::time::sleep(RELIEF_INTERVAL).await;
    }
}
