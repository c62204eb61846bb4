//! The receiving side of a connection to or from a peer: incomplete frames count in the node's memory.
//!
//! The codec allocates a frame as soon as its length has arrived. A peer, or a process that pretends to
//! be one, could otherwise announce large frames on many connections and never complete them.

use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use memory::{Charge, SMALL_BYTES, Use};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

use crate::connections::Registration;
use crate::shared::Shared;

/// Bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;
/// Memory of a connection without a frame: the buffers of both directions.
const CONNECTION_BYTES: usize = 16 << 10;
/// Largest frame of a peer that has not answered `hello`. The answer names all nodes, each in some 10
/// bytes.
const MAX_HELLO_BYTES: usize = 256 << 10;
/// Time between two attempts to get the memory for a frame.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for the memory of a frame. A peer whose calls wait for longer takes the connection as
/// lost.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// A connection whose frames count from their announcement until they are complete.
#[derive(Debug)]
pub(crate) struct FrameStream {
    shared: Arc<Shared>,
    tcp: TcpStream,
    registration: Arc<Registration>,
    /// Use of large frames.
    usage: Use,
    is_introduced: Arc<AtomicBool>,
    charge: Charge,
    length: Length,
    /// Bytes of the present frame that are to come.
    missing: usize,
    /// Set while the account has no room for the present frame.
    wait: Option<Wait>,
}

/// The part of a frame's length that has arrived.
#[derive(Debug, Default)]
struct Length {
    bytes: [u8; LENGTH_BYTES],
    received: usize,
}

#[derive(Debug)]
struct Wait {
    retry: Pin<Box<Sleep>>,
    give_up_at: Instant,
}

impl Wait {
    fn new() -> Wait {
        Wait {
            retry: Box::pin(tokio::time::sleep(RETRY_INTERVAL)),
            give_up_at: Instant::now() + MAX_WAIT,
        }
    }
}

impl FrameStream {
    /// Wraps a connection that a peer has opened, whose frames are calls.
    pub(crate) fn accepted(
        shared: Arc<Shared>,
        tcp: TcpStream,
        registration: Arc<Registration>,
    ) -> FrameStream {
        let is_introduced = Arc::new(AtomicBool::new(true));
        FrameStream::new(shared, tcp, registration, Use::Request, is_introduced)
    }

    /// Wraps a connection to a peer, whose frames are replies. Until `is_introduced` is set, they may have
    /// `MAX_HELLO_BYTES`; later ones may hold versions, which must not wait for the memory of callers.
    pub(crate) fn dialled(
        shared: Arc<Shared>,
        tcp: TcpStream,
        registration: Arc<Registration>,
        is_introduced: Arc<AtomicBool>,
    ) -> FrameStream {
        FrameStream::new(shared, tcp, registration, Use::Small, is_introduced)
    }

    fn new(
        shared: Arc<Shared>,
        tcp: TcpStream,
        registration: Arc<Registration>,
        usage: Use,
        is_introduced: Arc<AtomicBool>,
    ) -> FrameStream {
        let mut charge = shared.memory.charge(None);
        charge.set(CONNECTION_BYTES);
        FrameStream {
            shared,
            tcp,
            registration,
            usage,
            is_introduced,
            charge,
            length: Length::default(),
            missing: 0,
            wait: None,
        }
    }

    /// Follows the frames in `received`; the last of them may be incomplete.
    fn follow(&mut self, received: &[u8]) {
        let mut rest = received;
        while !rest.is_empty() {
            let len = rest.len().min(self.missing);
            self.missing -= len;
            rest = &rest[len..];
            if let Some((byte, behind)) = rest.split_first() {
                rest = behind;
                self.missing = self.length.push(*byte).unwrap_or(0);
            }
        }
    }

    /// Charges the present frame if it is incomplete. Returns `false` if there is no room for it.
    fn charge_frame(&mut self) -> bool {
        if self.missing == 0 {
            self.charge.set(CONNECTION_BYTES);
            return true;
        }
        let lacking = (CONNECTION_BYTES + self.missing).saturating_sub(self.charge.bytes());
        if lacking <= SMALL_BYTES {
            // Small frames are bounded by the number of connections.
            self.charge.set(self.charge.bytes() + lacking);
            return true;
        }
        self.charge.try_add(self.usage, lacking).is_ok()
    }

    /// Waits until there is room for the present frame; fails after `MAX_WAIT`.
    fn poll_room(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        if self.missing > MAX_HELLO_BYTES && !self.is_introduced.load(Ordering::Relaxed) {
            return Poll::Ready(Err(ErrorKind::InvalidData.into()));
        }
        while !self.charge_frame() {
            let now = self.shared.now();
            self.shared.connections.relieve(&self.shared, now);
            let wait = self.wait.get_or_insert_with(Wait::new);
            if Instant::now() >= wait.give_up_at {
                return Poll::Ready(Err(ErrorKind::OutOfMemory.into()));
            }
            ready!(wait.retry.as_mut().poll(cx));
            let next = Instant::now() + RETRY_INTERVAL;
            wait.retry.as_mut().reset(next);
        }
        self.wait = None;
        Poll::Ready(Ok(()))
    }

    fn record(&self, received: usize) {
        let now = self.shared.now();
        let is_incomplete = self.missing > 0;
        let held = if is_incomplete {
            self.charge.bytes()
        } else {
            0
        };
        self.registration.update(now, held, 0, is_incomplete);
        self.registration
            .record_activity(now, received, is_incomplete);
    }
}

impl Length {
    /// Adds a byte; returns the length once it is complete.
    fn push(&mut self, byte: u8) -> Option<usize> {
        self.bytes[self.received] = byte;
        self.received += 1;
        if self.received < LENGTH_BYTES {
            return None;
        }
        self.received = 0;
        Some(u32::from_be_bytes(self.bytes) as usize)
    }
}

impl AsyncRead for FrameStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<(), Error>> {
        let this = self.get_mut();
        ready!(this.poll_room(cx))?;
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut this.tcp).poll_read(cx, buf))?;
        let received = &buf.filled()[filled_before..];
        let was_incomplete = this.missing > 0;
        this.follow(received);
        if was_incomplete || this.missing > 0 {
            this.record(received.len());
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for FrameStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize, Error>> {
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}
