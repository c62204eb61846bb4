//! Connections between nodes: the server and the client side.
//!
//! Each node connects to the link address of every peer and makes its calls on that connection; it
//! serves the peer's calls on the connection that the peer has opened. Status calls exchange the
//! states of the two nodes and probe the connection: a peer that does not reply to one is treated
//! as disconnected, and this node connects again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use memory::Use;
use parking_lot::Mutex;
use rollout::{KnownOrder, Report};
use route::TransitDelay;
use socket2::SockRef;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tarpc::{client, serde_transport};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use usage::{Grant, UsageReport};
use wire::{Code, Fingerprint, Refusal, ServiceName};

use crate::beside::{self, Origin};
use crate::deciding;
use crate::departures;
use crate::frames::FrameStream;
use crate::freshness;
use crate::listen::accept_until;
use crate::message::{
    BodyReply, Call, HelloReply, Link, LinkClient, Outcome, ReaderAnnouncement, Reply, Status,
    StrikeNotice, VersionUpdate,
};
use crate::peers::PeerKey;
use crate::retries;
use crate::rollouts::{self, ReportReply};
use crate::shared::{Phase, Shared, sleep_unless_stopped};
use crate::source;
use crate::transfer::{Inbox, Part};
use crate::usage_limits;

/// Largest frame: the whole routing table with the largest number of routes that it may have. Large
/// bodies are transferred in parts. The buffer of a connection may grow to this size.
const MAX_FRAME_BYTES: usize = 8 << 20;
/// Memory of a call of a peer in progress, without its body.
const CALL_BYTES: usize = 12 << 10;
/// Largest number of calls in flight on one connection; bounds the memory that a flood of calls
/// from a peer takes.
const MAX_IN_FLIGHT_CALLS: usize = 4_096;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without an acknowledgement of sent data after which the kernel closes a connection. Longer
/// than one or two retransmissions on a lossy link.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of a status call. A busy node on a fifth of a core replies within some hundred
/// milliseconds.
const STATUS_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time between status calls to a peer in a small mesh. A suspected peer gets a status call at
/// once.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// Largest rate of the periodic status calls of a node to all its peers; in larger meshes each peer
/// gets them less often.
const STATUS_CALLS_PER_S: f64 = 12.0;
/// Factor on the time between status calls to peers in other failure domains. They serve few requests
/// of this node, and requests show sooner than status calls that a peer does not reply.
const FAR_INTERVAL_FACTOR: u32 = 4;
/// Longest time between status calls to a peer; in very large meshes it takes precedence over
/// `STATUS_CALLS_PER_S`.
const MAX_STATUS_INTERVAL: Duration = Duration::from_secs(10);
/// Time for the outstanding calls to end on a connection that takes no new calls: the longest route
/// timeout in use. If the network is cut, `USER_TIMEOUT` ends the calls sooner.
const LINGER_TIMEOUT: Duration = Duration::from_secs(6);
/// A call is refused if its transit took longer than that of the fastest call on the connection by
/// more than this. The caller may have disconnected in the meantime, and work must not start more
/// than 500 ms after a disconnect.
const MAX_TRANSIT_DELAY: Duration = Duration::from_millis(400);
/// Shortest backoff between attempts to connect; doubled after each failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff between attempts to connect.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Shortest time between two announcements of a changed status. Changes in quick succession are
/// announced together.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(20);

/// Serves the calls of a peer on one connection.
#[derive(Clone, Debug)]
struct LinkServer {
    shared: Arc<Shared>,
    inbox: Arc<Inbox>,
    transit_delay: Arc<Mutex<TransitDelay>>,
}

impl Link for LinkServer {
    async fn hello(self, _: Context, from: Status) -> HelloReply {
        self.shared.add_peer(from.link);
        note_status(&self.shared, &from);
        let peers = self.shared.peers.lock();
        let (nodes, your_departed) = (peers.links(), peers.departed_at(from.link));
        drop(peers);
        HelloReply {
            status: self.shared.status(self.shared.now()),
            nodes,
            your_departed,
        }
    }

    async fn status(self, _: Context, from: Status) -> Status {
        note_status(&self.shared, &from);
        self.shared
            .peers
            .lock()
            .apply_announced_status(self.shared.now(), from);
        self.shared.status(self.shared.now())
    }

    async fn announce_body(self, _: Context, call: Call) -> BodyReply {
        let now = self.shared.now();
        let refusal = match call.staged_body {
            Some(staged) => match beside::check_upload(&self.shared, &call, staged.len, now) {
                Ok(()) if self.inbox.announce(now, staged) => None,
                Ok(()) => Some(Refusal::from(Code::QueueFull).into()),
                Err(refusal) => Some(refusal.into()),
            },
            None => Some(Refusal::from(Code::BadHeader).into()),
        };
        BodyReply {
            queue: self.shared.queue_for_peers(now).into(),
            refusal,
        }
    }

    async fn body_part(self, _: Context, part: Part) -> bool {
        self.inbox.accept_part(self.shared.now(), part)
    }

    async fn withdraw_body(self, _: Context, transfer: u64) {
        self.inbox.withdraw(transfer);
    }

    async fn call(self, _: Context, mut call: Call) -> Reply {
        let delay = self
            .transit_delay
            .lock()
            .record(self.shared.now(), call.sent_us);
        if delay > MAX_TRANSIT_DELAY {
            log::info!(event = "late_on_the_way", id = call.request_id.as_str(), ms = delay.as_millis() as u64; "call refused: its transit was so slow that the caller may have disconnected");
            return beside::refusal_reply(&self.shared, &call, Code::CannotStartInTime.into());
        }
        let mut state = self.shared.memory.charge(None);
        if state.try_add(Use::Small, CALL_BYTES).is_err() {
            return beside::refusal_reply(&self.shared, &call, Code::QueueFull.into());
        }
        let delay_ms = delay.as_millis() as u64;
        call.remaining_ms = call.remaining_ms.saturating_sub(delay_ms);
        call.due_ms = call.due_ms.saturating_sub(delay_ms);
        let received = match call.staged_body {
            Some(staged_body) => self.inbox.take_complete(staged_body),
            None => self.inbox.hold(std::mem::take(&mut call.body)),
        };
        let Some(body) = received else {
            return beside::refusal_reply(&self.shared, &call, Code::QueueFull.into());
        };
        call.body = body;
        let mut reply = beside::run(&self.shared, call, Origin::Peer).await;
        if let Outcome::Answer(answer) = &mut reply.outcome {
            self.shared.outbox.stage(self.shared.now(), answer);
        }
        reply
    }

    async fn response_part(self, _: Context, transfer: u64, index: u32) -> Option<Bytes> {
        let now = self.shared.now();
        self.shared.outbox.part(now, transfer, index)
    }

    async fn release_response(self, _: Context, transfer: u64) {
        self.shared.outbox.release(transfer);
    }

    async fn strike(self, _: Context, strike: StrikeNotice) {
        beside::record_strike(&self.shared, strike);
    }

    async fn run_completed(self, _: Context, fingerprint: Fingerprint) {
        beside::end_suspicion(&self.shared, fingerprint);
    }

    async fn announce_reader(self, _: Context, announcement: ReaderAnnouncement) {
        if announcement.can_read {
            self.shared
                .reader_liveness
                .lock()
                .record_announcement(self.shared.now());
        }
        let mut peers = self.shared.peers.lock();
        peers.record_version(announcement.link, announcement.version);
        drop(peers);
        if announcement.can_read {
            rollouts::learn_announced(&self.shared, &announcement.orders);
        }
        if let Some(delta) = &announcement.delta {
            source::apply_announced_delta(&self.shared, announcement.version, delta);
        }
        note_version(&self.shared, announcement.version);
    }

    async fn report_rollout(self, _: Context, known: KnownOrder, report: Report) -> ReportReply {
        deciding::receive(&self.shared, &known, report)
    }

    async fn newest_version(self, _: Context) -> Option<(u64, Duration)> {
        freshness::newest_version(&self.shared)
    }

    async fn report_usage(
        self,
        _: Context,
        link: SocketAddr,
        report: UsageReport,
    ) -> Option<Vec<Grant>> {
        usage_limits::receive(&self.shared, link, &report)
    }

    async fn update_from(self, _: Context, base_version: u64) -> Option<VersionUpdate> {
        self.shared.versions.update_from(base_version)
    }

    async fn lend_retry(self, _: Context, service: ServiceName) -> bool {
        retries::lend(&self.shared, &service)
    }
}

/// Accepts connections of other nodes until the node stops.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let max = shared.settings.bounds.max_links;
    let mut conns = accept_until(&shared, listener, max, serve_connection).await;
    conns.shutdown().await;
}

/// Serves the calls on a connection of a peer until the connection ends; then cancels those that
/// still run.
async fn serve_connection(shared: Arc<Shared>, tcp: TcpStream) {
    if let Err(e) = set_socket_options(&tcp) {
        log::warn!(event = "link_setup_failed", error:% = e; "cannot set the socket options of a peer's connection; closing it");
        return;
    }
    let registration = Arc::new(shared.connections.add_peer(shared.now()));
    let stream = FrameStream::accepted(shared.clone(), tcp, registration.clone());
    let transport = serde_transport::new(codec().new_framed(stream), Bincode::default());
    let config = tarpc::server::Config {
        pending_response_buffer: MAX_IN_FLIGHT_CALLS,
    };
    let channel = BaseChannel::new(config, transport);
    let mut calls = JoinSet::new();
    let inbox = Arc::new(Inbox::new(shared.uploads.clone(), shared.memory.clone()));
    shared.add_inbox(&inbox);
    let server = LinkServer {
        shared,
        inbox,
        transit_delay: Arc::default(),
    }
    .serve();
    let mut requests = Box::pin(channel.requests());
    loop {
        tokio::select! {
            request = requests.next() => match request {
                Some(Ok(request)) => {
                    calls.spawn(request.execute(server.clone()));
                }
                Some(Err(e)) => {
                    log::info!(event = "link_read_failed", error:% = e; "reading from a peer's connection failed; closing it and cancelling its calls");
                    break;
                }
                None => break,
            },
            Some(_) = calls.join_next() => {}
            () = registration.evicted() => break,
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
                dials.spawn(maintain_connection(shared.clone(), key));
            }
            () = shared.wait_for_phase(Phase::Stopped) => break,
        }
    }
    dials.shutdown().await;
}

/// Connects to a peer, makes status calls to it, and connects again when the connection is lost,
/// until the node stops.
async fn maintain_connection(shared: Arc<Shared>, key: PeerKey) {
    let Some(link) = shared.peers.lock().link(key) else {
        return;
    };
    let mut backoff = MIN_BACKOFF;
    let mut draining = JoinSet::new();
    loop {
        if let Some(mut driver) = connect(&shared, key, link).await {
            backoff = MIN_BACKOFF;
            let why = tokio::select! {
                why = probe_until_failure(&shared, key) => why,
                // Ends when the connection breaks, so that no new calls are made on it.
                _ = driver.join_next() => "the connection broke",
            };
            shared.peers.lock().mark_disconnected(key);
            // A peer that is only slow still replies to the outstanding calls.
            draining.spawn(async move {
                let _ = tokio::time::timeout(LINGER_TIMEOUT, driver.join_next()).await;
            });
            while draining.try_join_next().is_some() {}
            log::warn!(event = "peer_lost", link:% = link, why; "connection to the peer lost; no new calls until it is connected again");
        }
        if !sleep_unless_stopped(&shared, backoff).await {
            return;
        }
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Connects to a peer and makes the `hello` call. Returns a set with the one task that drives the
/// connection, or `None` if the connection or the call failed.
async fn connect(shared: &Arc<Shared>, key: PeerKey, link: SocketAddr) -> Option<JoinSet<()>> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(link)).await;
    let tcp = connected.ok()?.ok()?;
    set_socket_options(&tcp).ok()?;
    let registration = Arc::new(shared.connections.add_peer(shared.now()));
    let is_introduced = Arc::new(AtomicBool::new(false));
    let stream = FrameStream::dialled(
        shared.clone(),
        tcp,
        registration.clone(),
        is_introduced.clone(),
    );
    let transport = serde_transport::new(codec().new_framed(stream), Bincode::default());
    let mut config = client::Config::default();
    config.max_in_flight_requests = MAX_IN_FLIGHT_CALLS;
    config.pending_request_buffer = MAX_IN_FLIGHT_CALLS;
    let client::NewClient { client, dispatch } = LinkClient::new(config, transport);
    let mut driver = JoinSet::new();
    driver.spawn(async move {
        // If the connection fails, each call on it returns an error.
        tokio::select! {
            _ = dispatch => {}
            () = registration.evicted() => {}
        }
    });
    let hello = client.hello(context(STATUS_TIMEOUT), shared.status(shared.now()));
    let reply = tokio::time::timeout(STATUS_TIMEOUT, hello)
        .await
        .ok()?
        .ok()?;
    is_introduced.store(true, Ordering::Relaxed);
    departures::apply(shared, &reply.your_departed);
    let version = reply.status.version;
    note_status(shared, &reply.status);
    shared
        .peers
        .lock()
        .mark_connected(shared.now(), key, client, reply.status);
    for node in reply.nodes {
        shared.add_peer(node);
    }
    log::info!(event = "peer_connected", link:% = link, version; "connected to the peer");
    Some(driver)
}

/// Makes status calls to a peer, at intervals and at once when the peer is suspected, until one
/// fails, the connection is gone or the node stops. Returns the reason, for the log.
async fn probe_until_failure(shared: &Arc<Shared>, key: PeerKey) -> &'static str {
    let Some(suspicion) = shared.peers.lock().suspicion(key) else {
        return "unknown";
    };
    loop {
        let interval = status_interval(shared, key);
        tokio::select! {
            is_running = sleep_unless_stopped(shared, interval) => if !is_running {
                return "the node stops";
            },
            () = suspicion.notified() => {}
        }
        let Some(client) = shared.peers.lock().client(key) else {
            return "disconnected";
        };
        let now = shared.now();
        shared.peers.lock().record_probe(now, key);
        let reply = client.status(context(STATUS_TIMEOUT), shared.status(now));
        match tokio::time::timeout(STATUS_TIMEOUT, reply).await {
            Ok(Ok(status)) => {
                note_status(shared, &status);
                shared
                    .peers
                    .lock()
                    .apply_status_reply(shared.now(), key, status);
            }
            Ok(Err(_)) => return "the connection broke",
            Err(_) => return "no answer to a status call",
        }
    }
}

fn status_interval(shared: &Shared, key: PeerKey) -> Duration {
    let peers = shared.peers.lock();
    let interval = Duration::from_secs_f64(peers.len() as f64 / STATUS_CALLS_PER_S);
    let interval = interval.max(STATUS_INTERVAL);
    let is_far = peers
        .domain(key)
        .is_some_and(|d| *d != shared.settings.domain);
    let factor = if is_far { FAR_INTERVAL_FACTOR } else { 1 };
    (interval * factor).min(MAX_STATUS_INTERVAL)
}

/// Announces this node's status to all connected peers when it has changed.
pub(crate) async fn announce_status(shared: Arc<Shared>) {
    loop {
        tokio::select! {
            () = shared.status_changed.notified() => {}
            () = shared.wait_for_phase(Phase::Stopped) => return,
        }
        let status = shared.status(shared.now());
        for (key, client) in shared.peers.lock().clients() {
            let announcement = announce_status_to(shared.clone(), key, client, status.clone());
            shared.tasks.spawn(announcement);
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn announce_status_to(shared: Arc<Shared>, key: PeerKey, client: LinkClient, status: Status) {
    // A peer that misses the announcement learns the status from the next status call.
    if let Ok(status) = client.status(context(STATUS_TIMEOUT), status).await {
        note_status(&shared, &status);
        let now = shared.now();
        shared.peers.lock().apply_status_reply(now, key, status);
    }
}

/// Takes over what a peer's status tells of versions and of the log.
fn note_status(shared: &Shared, status: &Status) {
    let log = &shared.settings.source.log;
    log.restores().record(status.log_restores);
    note_version(shared, status.version);
}

/// Wakes the task that fetches versions from peers if `version`, which a peer has announced, is
/// newer than the one in force.
fn note_version(shared: &Shared, version: u64) {
    shared
        .newest_announced
        .fetch_max(version, Ordering::Relaxed);
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

fn set_socket_options(tcp: &TcpStream) -> std::io::Result<()> {
    tcp.set_nodelay(true)?;
    SockRef::from(tcp).set_tcp_user_timeout(Some(USER_TIMEOUT))
}
