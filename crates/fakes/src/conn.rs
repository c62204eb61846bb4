//! Connections that fail when their server stops.
//!
//! `axum::serve` runs each connection in a task of its own, which outlives the server's future.
//! Without this module, a stopped stand-in would still respond on connections that are open.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use axum::serve::Listener;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// A listener whose connections fail once `stop` is cancelled.
#[derive(Debug)]
pub(crate) struct StoppingListener {
    pub(crate) listener: TcpListener,
    pub(crate) stop: CancellationToken,
}

impl Listener for StoppingListener {
    type Io = StoppingStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (StoppingStream, SocketAddr) {
        let (tcp, addr) = Listener::accept(&mut self.listener).await;
        // With Nagle's algorithm, delayed acknowledgements would add to measured latencies.
        let _ = tcp.set_nodelay(true);
        let stopped = Box::pin(self.stop.clone().cancelled_owned());
        (StoppingStream { tcp, stopped }, addr)
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

/// A connection of a [`StoppingListener`]; reads and writes fail after the stop.
#[derive(Debug)]
pub(crate) struct StoppingStream {
    tcp: TcpStream,
    stopped: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl StoppingStream {
    /// Returns the socket, or `ConnectionReset` once the server has stopped. Before that,
    /// registers the polling task to be woken by the stop.
    fn open_socket(&mut self, cx: &mut Context<'_>) -> io::Result<&mut TcpStream> {
        match self.stopped.as_mut().poll(cx) {
            Poll::Ready(()) => Err(io::ErrorKind::ConnectionReset.into()),
            Poll::Pending => Ok(&mut self.tcp),
        }
    }
}

impl AsyncRead for StoppingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let tcp = self.open_socket(cx)?;
        Pin::new(tcp).poll_read(cx, buf)
    }
}

impl AsyncWrite for StoppingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let tcp = self.open_socket(cx)?;
        Pin::new(tcp).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let tcp = self.open_socket(cx)?;
        Pin::new(tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}
