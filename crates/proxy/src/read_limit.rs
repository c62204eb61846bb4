//! A limit on the bytes that are read from a connection.

use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of bytes that may still be read. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct ReadAllowance(Arc<AtomicUsize>);

impl ReadAllowance {
    pub(crate) fn new(bytes: usize) -> ReadAllowance {
        ReadAllowance(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Sets the number of bytes that may be read from now on.
    pub(crate) fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    fn is_used_up(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    fn spend(&self, bytes: usize) {
        let left = self.0.load(Ordering::Relaxed).saturating_sub(bytes);
        self.set(left);
    }
}

/// A connection whose reads fail once the allowance is used up. hyper has no limit of its own on
/// interim responses, and parses them in one go for as long as bytes arrive.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    tcp: TcpStream,
    allowance: ReadAllowance,
}

impl LimitedStream {
    pub(crate) fn new(tcp: TcpStream, allowance: ReadAllowance) -> LimitedStream {
        LimitedStream { tcp, allowance }
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
        self.allowance.spend(buf.filled().len() - filled_before);
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
