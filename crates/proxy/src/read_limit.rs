//! A limit on the bytes that are read from a connection.

use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use memory::Charge;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of bytes that may still be read. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct ReadAllowance(Arc<State>);

#[derive(Debug)]
struct State {
    /// `usize::MAX` for no limit.
    left: AtomicUsize,
    /// Bytes that were read under the present limit.
    read: AtomicUsize,
}

impl ReadAllowance {
    pub(crate) fn new(bytes: usize) -> ReadAllowance {
        ReadAllowance(Arc::new(State {
            left: AtomicUsize::new(bytes),
            read: AtomicUsize::new(0),
        }))
    }

    /// Sets the number of bytes that may be read from now on.
    pub(crate) fn limit(&self, bytes: usize) {
        self.0.left.store(bytes, Ordering::Relaxed);
        self.0.read.store(0, Ordering::Relaxed);
    }

    /// Lets any number of bytes be read from now on.
    pub(crate) fn lift(&self) {
        self.0.left.store(usize::MAX, Ordering::Relaxed);
    }

    fn is_used_up(&self) -> bool {
        self.0.left.load(Ordering::Relaxed) == 0
    }

    /// Counts read bytes; returns those that were read under the present limit.
    fn spend(&self, bytes: usize) -> usize {
        let left = self.0.left.load(Ordering::Relaxed);
        if left == usize::MAX {
            return self.0.read.load(Ordering::Relaxed);
        }
        let left = left.saturating_sub(bytes);
        self.0.left.store(left, Ordering::Relaxed);
        self.0.read.fetch_add(bytes, Ordering::Relaxed) + bytes
    }
}

/// A connection whose reads fail once the allowance is used up. hyper has no limit of its own on
/// interim responses, and parses them in one go for as long as bytes arrive. What is read under a limit
/// counts in the node's memory until the next one is set.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    tcp: TcpStream,
    allowance: ReadAllowance,
    charge: Charge,
}

impl LimitedStream {
    /// Makes a connection whose bytes count in `charge`.
    pub(crate) fn new(tcp: TcpStream, allowance: ReadAllowance, charge: Charge) -> LimitedStream {
        LimitedStream {
            tcp,
            allowance,
            charge,
        }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<(), Error>> {
        if self.allowance.is_used_up() {
            return Poll::Ready(Err(ErrorKind::InvalidData.into()));
        }
        let filled_before = buf.filled().len();
        let result = Pin::new(&mut self.tcp).poll_read(cx, buf);
        let read = self.allowance.spend(buf.filled().len() - filled_before);
        self.charge.set(read);
        result
    }
}

impl AsyncWrite for LimitedStream {
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

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize, Error>> {
        Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs)
    }
}
