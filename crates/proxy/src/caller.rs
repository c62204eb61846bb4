//! The connection of a caller. Requests that the caller pipelines are served concurrently; the
//! `http1` crate decides what is read and in which order responses are written.

use std::io::{Error, ErrorKind};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, StreamExt};
use http1::{Conn, Event, Limits, ParseError, RequestKey};
use memory::{Charge, Use};
use slotmap::SecondaryMap;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, Sleep};
use wire::{Code, Time};

use crate::connections::Registration;
use crate::entry::{self, Arrival};
use crate::shared::{Phase, Shared};

/// Largest number of bytes that one read takes from the socket.
const READ_BYTES: usize = 16 << 10;
/// Initial size of the read buffer: most requests are smaller.
const INITIAL_READ_BYTES: usize = 2 << 10;
/// Memory of an idle connection, and of a request in progress, without what was received and what is
/// to be written. Most of a request is the state of its future, see `serve_requests`.
const CONNECTION_BYTES: usize = 3 << 10;
const REQUEST_BYTES: usize = 28 << 10;
/// Largest number of parts of a body that are read and not yet stored.
const BODY_PARTS_AHEAD: usize = 8;
/// Interval between checks whether the caller has disconnected while nothing is read from it.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time between two checks of the connection's timeouts.
const MAX_SLEEP: Duration = Duration::from_secs(60);
/// Time in which a caller may read the last response. If the connection were closed at once, bytes
/// that the caller is still sending would reset it.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves the requests on a connection until it ends.
pub(crate) async fn serve(shared: Arc<Shared>, tcp: TcpStream, registration: Registration) {
    if let Err(e) = tcp.set_nodelay(true) {
        log::debug!(event = "nodelay_failed", error:% = e; "could not set TCP_NODELAY on a caller's connection; closing it");
        return;
    }
    let mut conn = CallerConn::new(&shared, tcp, registration);
    if let Err(e) = conn.serve_requests().await {
        log::debug!(event = "caller_connection", error:% = e; "a caller's connection ended with an error");
        return;
    }
    let mut tcp = conn.into_tcp();
    // The caller may have closed the connection already.
    let _ = tokio::time::timeout(LINGER_TIMEOUT, close_gracefully(&mut tcp)).await;
}

/// Closes the sending direction and discards what the caller still sends until it closes its own.
async fn close_gracefully(tcp: &mut TcpStream) -> Result<(), Error> {
    tcp.shutdown().await?;
    let mut discarded = [0; 1_024];
    while tcp.read(&mut discarded).await? > 0 {}
    Ok(())
}

/// A connection, with what its requests wait for.
struct CallerConn<'a> {
    shared: &'a Arc<Shared>,
    tcp: TcpStream,
    conn: Conn,
    /// The request whose body is being received.
    body: Option<(RequestKey, mpsc::Sender<Result<Bytes, Code>>)>,
    turns: SecondaryMap<RequestKey, oneshot::Sender<()>>,
    account: Account<'a>,
}

impl<'a> CallerConn<'a> {
    fn new(shared: &'a Arc<Shared>, tcp: TcpStream, registration: Registration) -> CallerConn<'a> {
        CallerConn {
            shared,
            tcp,
            conn: Conn::new(limits(shared), shared.now()),
            body: None,
            turns: SecondaryMap::new(),
            account: Account {
                shared,
                requests: 0,
                memory: shared.memory.charge(None),
                registration,
            },
        }
    }

    fn into_tcp(self) -> TcpStream {
        self.tcp
    }

    /// Reads requests and writes responses until the connection should be closed. Dropping the
    /// future cancels the requests, as does a disconnect of the caller, which is an error.
    async fn serve_requests(&mut self) -> Result<(), Error> {
        let shared = self.shared;
        let mut responses = FuturesUnordered::new();
        let closing = shared.wait_for_phase(Phase::Closing);
        let timer = tokio::time::sleep(Duration::ZERO);
        tokio::pin!(closing, timer);
        let mut is_closing = false;
        loop {
            let now = shared.now();
            self.conn.set_limits(limits(shared));
            while self.has_room_for_body_part()
                && let Some(event) = self.conn.poll(now, shared.may_read_ahead())
            {
                if let Some((key, arrival)) = self.apply(event, now) {
                    let response = entry::serve(shared.clone(), arrival);
                    debug_assert!(size_of_val(&response) <= REQUEST_BYTES);
                    responses.push(async move { (key, response.await) });
                }
            }
            self.write_output(now)?;
            let wants_input = self.wants_input();
            self.account.update(now, &self.conn, wants_input);
            if self.conn.is_finished() {
                return Ok(());
            }
            let wake_at = self.conn.timeout_at().map(|at| at.since(now));
            set_timer(timer.as_mut(), wake_at, wants_input);
            let body = self.body.as_ref().map(|(_, parts)| parts);
            tokio::select! {
                Some((key, response)) = responses.next(), if !responses.is_empty() => {
                    self.conn.respond(key, response);
                }
                ready = self.tcp.readable(), if wants_input => {
                    ready?;
                    self.read_input()?;
                }
                ready = self.tcp.writable(), if self.conn.output().is_some() => ready?,
                () = wait_for_room(body), if !self.has_room_for_body_part() => {}
                () = self.account.registration.evicted() => {
                    return Err(Error::other("closed, as connections or memory ran short"));
                }
                () = &mut closing, if !is_closing => {
                    is_closing = true;
                    self.conn.close();
                }
                () = &mut timer => {
                    self.conn.handle_timeout(shared.now());
                    self.check_connected()?;
                }
            }
        }
    }

    /// Applies an event; returns the request that it begins.
    fn apply(&mut self, event: Event, now: Time) -> Option<(RequestKey, Arrival)> {
        match event {
            Event::Head {
                key,
                head,
                has_body,
                is_next,
            } => {
                let body = has_body.then(|| {
                    let (tx, rx) = mpsc::channel(BODY_PARTS_AHEAD + 1);
                    self.body = Some((key, tx));
                    rx
                });
                let turn = (!is_next).then(|| {
                    let (tx, rx) = oneshot::channel();
                    self.turns.insert(key, tx);
                    rx
                });
                let arrival = Arrival {
                    bodies: self.account.registration.bodies().clone(),
                    head,
                    arrived_at: now,
                    body,
                    turn,
                };
                return Some((key, arrival));
            }
            Event::Body { data, .. } => {
                if let Some((_, parts)) = &self.body {
                    // A request that has its response already needs no body. Otherwise there is room.
                    let _ = parts.try_send(Ok(data));
                }
            }
            Event::BodyEnd { .. } => self.body = None,
            Event::Next { key } => {
                if let Some(turn) = self.turns.remove(key) {
                    // A repeatable request does not wait for its turn.
                    let _ = turn.send(());
                }
            }
            Event::Invalid { key, error } => self.refuse_invalid(key, error, now),
        }
        None
    }

    /// Refuses a request that can't be read.
    fn refuse_invalid(&mut self, key: RequestKey, error: ParseError, now: Time) {
        let code = code_of(error);
        match self.body.take() {
            // Its task responds.
            Some((reading, parts)) if reading == key => {
                // The last place is kept for this.
                let _ = parts.try_send(Err(code));
            }
            _ => {
                let response = entry::refusal_response(self.shared, code.into(), now, "");
                self.conn.respond(key, response);
            }
        }
    }

    /// Appends the bytes that the socket has received to the input. Fails if the caller has
    /// disconnected.
    fn read_input(&mut self) -> Result<(), Error> {
        let now = self.shared.now();
        let input = self.conn.input();
        let size = if self.body.is_some() || !input.is_empty() {
            READ_BYTES
        } else {
            INITIAL_READ_BYTES
        };
        match read_available(&mut self.tcp, input, size)? {
            0 => {}
            bytes => {
                self.conn.record_activity(now);
                // A caller that has something to read makes progress only by reading it.
                let is_progress = self.conn.output().is_none();
                let registration = &self.account.registration;
                registration.record_activity(now, bytes, is_progress);
            }
        }
        Ok(())
    }

    /// Returns whether more bytes should be received now. While memory is used up, bytes stay in the
    /// kernel, but for those of a body whose memory is reserved.
    fn wants_input(&self) -> bool {
        let memory = &self.shared.memory;
        let has_memory = self.body.is_some() || memory.has_room(Use::Small, READ_BYTES);
        has_memory && self.has_room_for_body_part() && self.conn.wants_input()
    }

    /// Returns whether the request whose body is being received can take another part of it, and the
    /// reason of a failure after that.
    fn has_room_for_body_part(&self) -> bool {
        let parts = self.body.as_ref().map(|(_, parts)| parts);
        parts.is_none_or(|p| p.is_closed() || p.capacity() > 1)
    }

    /// Writes output until the socket takes no more.
    fn write_output(&mut self, now: Time) -> Result<(), Error> {
        while let Some(bytes) = self.conn.output() {
            match self.tcp.try_write(bytes) {
                Ok(len) => {
                    self.conn.record_written(now, len);
                    let registration = &self.account.registration;
                    registration.record_activity(now, len, true);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Fails if the caller has disconnected, also while nothing is read from it.
    fn check_connected(&self) -> Result<(), Error> {
        if self.wants_input() {
            return Ok(());
        }
        let interest = Interest::READABLE | Interest::WRITABLE;
        let ready = self.tcp.ready(interest).now_or_never().transpose()?;
        if ready.is_some_and(|r| r.is_read_closed()) {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        Ok(())
    }
}

/// Waits until the request whose body is received can take another part of it, or has ended.
async fn wait_for_room(body: Option<&mpsc::Sender<Result<Bytes, Code>>>) {
    if let Some(parts) = body {
        // Two places, as the last one is kept for the reason of a failure.
        let _ = parts.reserve_many(2).await;
    }
}

/// Reads up to `size` bytes into `input` if the socket has any. Returns how many were read.
fn read_available(tcp: &mut TcpStream, input: &mut BytesMut, size: usize) -> Result<usize, Error> {
    input.reserve(size);
    // Unlike `try_read_buf`, this needs no second call to find that a short read took all bytes.
    match tcp.read_buf(input).now_or_never() {
        None => Ok(0),
        Some(Ok(0)) => Err(ErrorKind::UnexpectedEof.into()),
        Some(result) => result,
    }
}

/// Sets the timer to `wake_at`, or the next check for a disconnect, if that is earlier. A timer that
/// ends too early is left as it is, since most deadlines are moved long before they are due.
fn set_timer(timer: std::pin::Pin<&mut Sleep>, wake_at: Option<Duration>, wants_input: bool) {
    let poll = (!wants_input).then_some(DISCONNECT_POLL_INTERVAL);
    let wait = wake_at.into_iter().chain(poll).min().unwrap_or(MAX_SLEEP);
    let deadline = Instant::now() + wait;
    if timer.is_elapsed() || deadline < timer.deadline() {
        timer.reset(deadline);
    }
}

/// Returns the limits in force.
fn limits(shared: &Shared) -> Limits {
    let limits = shared
        .versions
        .table()
        .map(|t| t.limits())
        .unwrap_or_default();
    Limits {
        header_bytes: limits.header_bytes,
        body_bytes: limits.body_bytes,
        header_timeout: limits.header_timeout,
        idle_timeout: limits.idle_timeout,
        read_ahead: shared.settings.bounds.read_ahead,
    }
}

fn code_of(error: ParseError) -> Code {
    match error {
        ParseError::Head | ParseError::Body => Code::BadHeader,
        ParseError::HeadTooLarge => Code::HeadTooLarge,
        ParseError::HeadTimeout => Code::HeadTimeout,
        ParseError::BodyTooLarge => Code::BodyTooLarge,
    }
}

/// The part of a connection in the node's counters; on drop it no longer counts.
struct Account<'a> {
    shared: &'a Shared,
    requests: usize,
    /// Received bytes that are not processed, encoded output, and the state of the connection and its
    /// requests. Bodies have charges of their own.
    memory: Charge,
    registration: Registration,
}

impl Account<'_> {
    /// Sets the number of requests without a completely written response, and the bytes that the
    /// connection holds.
    fn update(&mut self, now: Time, conn: &Conn, wants_input: bool) {
        let requests = conn.unanswered();
        self.set_requests(requests);
        let buffers = conn.input_bytes() + conn.encoded_bytes();
        self.memory
            .set(CONNECTION_BYTES + requests * REQUEST_BYTES + buffers);
        let held = conn.held_bytes() + conn.input_bytes();
        let is_unread = conn.output().is_some();
        let is_waiting = is_unread || (wants_input && conn.is_within_request());
        self.registration.update(now, held, requests, is_waiting);
    }

    fn set_requests(&mut self, requests: usize) {
        let in_progress = &self.shared.requests_in_progress;
        // Wrapping subtraction makes one addition of a difference of either sign.
        in_progress.fetch_add(requests.wrapping_sub(self.requests), Ordering::Relaxed);
        self.requests = requests;
    }
}

impl Drop for Account<'_> {
    fn drop(&mut self) {
        self.set_requests(0);
    }
}
