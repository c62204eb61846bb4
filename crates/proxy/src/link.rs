//! Connections between nodes: the server and the client side.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use parking_lot::Mutex;
use route::WayAge;
use socket2::SockRef;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tarpc::{client, serde_transport};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use wire::{Code, Refusal, UnixMillis};

use crate::beside;
use crate::listen::accept_until;
use crate::message::{
    BodyAnswer, Call, HelloAnswer, LeftLife, Link, LinkClient, ReaderWord, Reply, Status,
    StrikeNote, VersionUpdate,
};
use crate::peers::PeerKey;
use crate::shared::{Phase, Shared, pause};
use crate::source;
use crate::transfer::{Inbox, Part};

/// Largest frame: the largest body that a configuration text may allow, and the headers around it.
const MAX_FRAME_BYTES: usize = 72 << 20;
/// Calls in flight on one connection; bounds memory when a peer floods this node.
const MAX_CALLS: usize = 4_096;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which unacknowledged data closes the connection. Longer than one or two
/// retransmissions on a lossy link.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of a status call. A busy node on a fifth of a core replies within some hundred
/// milliseconds.
const STATUS_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time between status calls to a peer in a small mesh. Suspected peers are probed at once.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// Largest rate of status calls of a node; in larger meshes each peer is probed less often.
const STATUS_CALLS_PER_S: f64 = 12.0;
/// Longest time between status calls to a peer, for large meshes.
const MAX_STATUS_INTERVAL: Duration = Duration::from_secs(10);
/// Drain time of the outstanding calls on a connection that takes no new ones: the longest route
/// timeouts in use. On a cut link `USER_TIMEOUT` ends them sooner.
const LINGER: Duration = Duration::from_secs(6);
/// A call whose transit took this much longer than the fastest one's is not run. Its caller may
/// have disconnected, and work must not start more than 500 ms after that.
const MAX_WAY_AGE: Duration = Duration::from_millis(400);
/// Backoff between attempts to connect.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Time between two announcements of a changed status, so that changes in quick succession are sent
/// as one.
const ANNOUNCE_GAP: Duration = Duration::from_millis(20);

/// Serves the calls on one connection.
#[derive(Clone, Debug)]
struct Served {
    shared: Arc<Shared>,
    inbox: Arc<Inbox>,
    way_age: Arc<Mutex<WayAge>>,
}

impl Link for Served {
    async fn hello(self, _: Context, from: Status) -> HelloAnswer {
        self.shared.add_peer(from.link);
        let peers = self.shared.peers.lock();
        let (nodes, your_left) = (peers.links(), peers.left_at(from.link));
        drop(peers);
        HelloAnswer {
            status: self.shared.status(self.shared.now()),
            nodes,
            your_left,
        }
    }

    async fn status(self, _: Context, from: Status) -> Status {
        note_version(&self.shared, from.version);
        self.shared.peers.lock().told(self.shared.now(), from);
        self.shared.status(self.shared.now())
    }

    async fn announce_body(self, _: Context, call: Call) -> BodyAnswer {
        let now = self.shared.now();
        let refusal = match call.ahead {
            Some(ahead) => match beside::may_send_body(&self.shared, &call, ahead.len, now) {
                Ok(()) => {
                    self.inbox.announce(now, ahead);
                    None
                }
                Err(refusal) => Some(refusal.into()),
            },
            None => Some(Refusal::from(Code::BadHeader).into()),
        };
        BodyAnswer {
            queue: self.shared.queue_for_peers(now).into(),
            refusal,
        }
    }

    async fn body_part(self, _: Context, part: Part) -> bool {
        self.inbox.take(self.shared.now(), part)
    }

    async fn withdraw_body(self, _: Context, transfer: u64) {
        self.inbox.withdraw(transfer);
    }

    async fn call(self, _: Context, mut call: Call) -> Reply {
        let age = self.way_age.lock().measure(self.shared.now(), call.sent_us);
        if age > MAX_WAY_AGE {
            log::info!(event = "late_on_the_way", id = call.request_id.as_str(), ms = age.as_millis() as u64; "call refused: its transit was so slow that the caller may have disconnected");
            return beside::refuse(&self.shared, &call, Code::CannotStartInTime.into());
        }
        let age_ms = age.as_millis() as u64;
        call.left_ms = call.left_ms.saturating_sub(age_ms);
        call.due_ms = call.due_ms.saturating_sub(age_ms);
        if let Some(ahead) = call.ahead {
            match self.inbox.whole(ahead) {
                Some(body) => call.body = body,
                None => return beside::refuse(&self.shared, &call, Code::QueueFull.into()),
            }
        }
        beside::run(&self.shared, call).await
    }

    async fn strike(self, _: Context, strike: StrikeNote) {
        beside::take_strike(&self.shared, strike);
    }

    async fn reader_word(self, _: Context, word: ReaderWord) {
        if word.working {
            self.shared.heard.lock().working_reader(self.shared.now());
        }
        let mut peers = self.shared.peers.lock();
        peers.heard_version(word.link, word.version);
        drop(peers);
        if let Some(difference) = &word.difference {
            source::take_difference(&self.shared, word.version, difference);
        }
        note_version(&self.shared, word.version);
    }

    async fn update_from(self, _: Context, than: u64) -> Option<VersionUpdate> {
        self.shared.versions.update_from(than)
    }
}

/// Accepts connections of other nodes until the node stops.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let mut conns = accept_until(&shared, listener, Phase::Stopped, serve_one).await;
    conns.shutdown().await;
}

async fn serve_one(shared: Arc<Shared>, tcp: TcpStream) {
    if let Err(e) = prepare(&tcp) {
        log::warn!(event = "link_setup_failed", error:% = e; "cannot set the socket options of a peer's connection; closing it");
        return;
    }
    let transport = serde_transport::new(codec().new_framed(tcp), Bincode::default());
    let config = tarpc::server::Config {
        pending_response_buffer: MAX_CALLS,
    };
    let channel = BaseChannel::new(config, transport);
    let mut calls = JoinSet::new();
    let inbox = Inbox::new(
        shared.expected.clone(),
        shared.body_bytes.clone(),
        shared.body_memory(),
    );
    let served = Served {
        shared,
        inbox: Arc::new(inbox),
        way_age: Arc::default(),
    }
    .serve();
    let mut requests = Box::pin(channel.requests());
    loop {
        tokio::select! {
            request = requests.next() => match request {
                Some(Ok(request)) => {
                    calls.spawn(request.execute(served.clone()));
                }
                Some(Err(e)) => {
                    log::info!(event = "link_read_failed", error:% = e; "reading from a peer's connection failed; closing it and cancelling its calls");
                    break;
                }
                None => break,
            },
            Some(_) = calls.join_next() => {}
        }
    }
    // The node that made these calls has disconnected, so no caller waits for the replies.
    calls.shutdown().await;
}

/// Connects to each peer that becomes known, and reconnects when a connection is lost.
pub(crate) async fn dial_all(shared: Arc<Shared>, mut new_peers: mpsc::UnboundedReceiver<PeerKey>) {
    let mut dials = JoinSet::new();
    loop {
        tokio::select! {
            Some(key) = new_peers.recv() => {
                dials.spawn(keep_connected(shared.clone(), key));
            }
            () = shared.reached(Phase::Stopped) => break,
        }
    }
    dials.shutdown().await;
}

async fn keep_connected(shared: Arc<Shared>, key: PeerKey) {
    let Some(link) = shared.peers.lock().link(key) else {
        return;
    };
    let mut backoff = MIN_BACKOFF;
    let mut lingering = JoinSet::new();
    loop {
        if let Some(mut driver) = connect(&shared, key, link).await {
            backoff = MIN_BACKOFF;
            let why = tokio::select! {
                why = keep_asking(&shared, key) => why,
                // No new calls may be placed on a broken connection.
                _ = driver.join_next() => "the connection broke",
            };
            shared.peers.lock().disconnected(key);
            // A peer that is only slow still replies to its outstanding calls.
            lingering.spawn(async move {
                let _ = tokio::time::timeout(LINGER, driver.join_next()).await;
            });
            while lingering.try_join_next().is_some() {}
            log::warn!(event = "peer_lost", link:% = link, why; "connection to the peer lost; no new calls until it is connected again");
        }
        if !pause(&shared, backoff).await {
            return;
        }
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Connects and exchanges the `hello` call. The returned set holds the task that drives the
/// connection.
async fn connect(shared: &Arc<Shared>, key: PeerKey, link: SocketAddr) -> Option<JoinSet<()>> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(link)).await;
    let tcp = connected.ok()?.ok()?;
    prepare(&tcp).ok()?;
    let transport = serde_transport::new(codec().new_framed(tcp), Bincode::default());
    let mut config = client::Config::default();
    config.max_in_flight_requests = MAX_CALLS;
    config.pending_request_buffer = MAX_CALLS;
    let client::NewClient { client, dispatch } = LinkClient::new(config, transport);
    let mut driver = JoinSet::new();
    driver.spawn(async move {
        // Each call on the connection receives the failure.
        let _ = dispatch.await;
    });
    let hello = client.hello(context(STATUS_TIMEOUT), shared.status(shared.now()));
    let answer = tokio::time::timeout(STATUS_TIMEOUT, hello)
        .await
        .ok()?
        .ok()?;
    take_left(shared, &answer.your_left);
    let version = answer.status.version;
    shared
        .peers
        .lock()
        .connected(shared.now(), key, client, answer.status);
    for node in answer.nodes {
        shared.add_peer(node);
    }
    log::info!(event = "peer_connected", link:% = link, version; "connected to the peer");
    note_version(shared, version);
    Some(driver)
}

/// Applies the departed incarnations of this node's target that a peer remembers.
fn take_left(shared: &Shared, left: &[LeftLife]) {
    let now = shared.now();
    let mut changed = false;
    for LeftLife { name, started } in left {
        // Without its start time, an incarnation cannot be told from a later one of the same name.
        if let Some(UnixMillis(_)) = started {
            changed |= shared.target.lock().own.leave(now, name, *started);
        }
    }
    if changed {
        log::info!(event = "target_left"; "a peer reports that the target has departed");
        shared.target_changed(now);
    }
}

/// Probes a peer with status calls until one fails; returns why it ended.
async fn keep_asking(shared: &Arc<Shared>, key: PeerKey) -> &'static str {
    let Some(doubts) = shared.peers.lock().doubts(key) else {
        return "unknown";
    };
    loop {
        tokio::select! {
            goes_on = pause(shared, status_interval(shared)) => if !goes_on {
                return "the node stops";
            },
            () = doubts.notified() => {}
        }
        let Some(client) = shared.peers.lock().client(key) else {
            return "disconnected";
        };
        let now = shared.now();
        shared.peers.lock().asked(now, key);
        let asked = client.status(context(STATUS_TIMEOUT), shared.status(now));
        match tokio::time::timeout(STATUS_TIMEOUT, asked).await {
            Ok(Ok(status)) => {
                note_version(shared, status.version);
                shared.peers.lock().answered(shared.now(), key, status);
            }
            Ok(Err(_)) => return "the connection broke",
            Err(_) => return "no answer to a status call",
        }
    }
}

fn status_interval(shared: &Shared) -> Duration {
    let nodes = shared.peers.lock().len() as f64;
    Duration::from_secs_f64(nodes / STATUS_CALLS_PER_S).clamp(STATUS_INTERVAL, MAX_STATUS_INTERVAL)
}

/// Announces this node's status to all connected peers when it has changed.
pub(crate) async fn announce(shared: Arc<Shared>) {
    loop {
        tokio::select! {
            () = shared.status_changed.notified() => {}
            () = shared.reached(Phase::Stopped) => return,
        }
        let status = shared.status(shared.now());
        for (_, client) in shared.peers.lock().clients() {
            let status = status.clone();
            shared.tasks.spawn(async move {
                // A peer that misses it learns the status from the next status call.
                let _ = client.status(context(STATUS_TIMEOUT), status).await;
            });
        }
        tokio::time::sleep(ANNOUNCE_GAP).await;
    }
}

/// Wakes the task that fetches versions if a peer has a newer one.
fn note_version(shared: &Shared, version: u64) {
    if version > shared.versions.number() {
        shared.version_behind.notify_one();
    }
}

pub(crate) fn context(timeout: Duration) -> Context {
    let mut cx = Context::current();
    cx.deadline = std::time::Instant::now() + timeout;
    cx
}

fn codec() -> tarpc::tokio_util::codec::length_delimited::Builder {
    let mut codec = LengthDelimitedCodec::builder();
    codec.max_frame_length(MAX_FRAME_BYTES);
    codec
}

fn prepare(tcp: &TcpStream) -> std::io::Result<()> {
    tcp.set_nodelay(true)?;
    SockRef::from(tcp).set_tcp_user_timeout(Some(USER_TIMEOUT))
}
