//! Bodies that are passed on piece by piece.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use axum::body::Body;
use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use http_body_util::BodyExt;
use parking_lot::Mutex;

/// A body up to this size is kept until the response begins, so that it can be sent again.
pub(crate) const REPLAY_BYTES: usize = 64 * 1024;
/// Part of the body that takes part in the fingerprint of a request.
pub(crate) const FINGERPRINT_BYTES: usize = 4 * 1024;

/// Most of an unread body that is thrown away.
const LINGER_BYTES: usize = 4 * 1024 * 1024;
/// Longest time for which an unread body is thrown away.
const LINGER: Duration = Duration::from_secs(1);

/// How the passing on of a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// The whole body was read.
    Whole,
    /// The source broke off.
    Broken,
    /// The reader went away.
    Dropped,
}

/// A request body of which the first part is held.
#[derive(Debug)]
pub(crate) struct Inbound {
    /// First part.
    pub(crate) prefix: Bytes,
    /// What follows; absent when the prefix is the whole body.
    pub(crate) rest: Option<Rest>,
}

/// The part of a body that has not been read.
///
/// When a request is answered without it, the sender may still be writing, and a connection that
/// is closed then would lose the answer. So what is dropped unread is read and thrown away, within
/// limits.
#[derive(Debug)]
pub(crate) struct Rest {
    // A body isn't `Sync`, the futures that borrow a request have to be `Send`.
    body: Mutex<Option<Body>>,
}

impl Rest {
    fn new(body: Body) -> Rest {
        Rest {
            body: Mutex::new(Some(body)),
        }
    }

    fn take(&mut self) -> Option<Body> {
        self.body.get_mut().take()
    }
}

impl Drop for Rest {
    fn drop(&mut self) {
        let Some(body) = self.take() else { return };
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(tokio::time::timeout(LINGER, discard(body)));
        }
    }
}

async fn discard(mut body: Body) {
    let mut left = LINGER_BYTES;
    while left > 0
        && let Some(Ok(frame)) = body.frame().await
    {
        left = left.saturating_sub(frame.data_ref().map_or(0, Bytes::len));
    }
}

impl Inbound {
    /// Reads up to [`REPLAY_BYTES`] of `body`, or all of it if it is shorter.
    pub(crate) async fn read(mut body: Body) -> Result<Inbound, axum::Error> {
        let mut prefix = BytesMut::new();
        while prefix.len() < REPLAY_BYTES {
            let Some(frame) = body.frame().await else {
                return Ok(Inbound {
                    prefix: prefix.freeze(),
                    rest: None,
                });
            };
            if let Ok(data) = frame?.into_data() {
                prefix.extend_from_slice(&data);
            }
        }
        Ok(Inbound {
            prefix: prefix.freeze(),
            rest: Some(Rest::new(body)),
        })
    }

    /// Returns the bytes for the fingerprint.
    pub(crate) fn head(&self) -> &[u8] {
        &self.prefix[..self.prefix.len().min(FINGERPRINT_BYTES)]
    }

    /// Returns the body for one attempt, or nothing if an earlier attempt has used it up.
    pub(crate) fn take(&mut self, whole: bool) -> Option<reqwest::Body> {
        if whole {
            return Some(self.prefix.clone().into());
        }
        let rest = self.rest.take()?.take()?;
        let head = futures_util::stream::iter([Ok(self.prefix.clone())]);
        let tail = rest.into_data_stream();
        Some(reqwest::Body::wrap_stream(futures_util::StreamExt::chain(
            head, tail,
        )))
    }
}

/// A stream of body pieces that reports once how it ended.
pub(crate) struct Reporting<S, F: FnOnce(End)> {
    inner: S,
    /// Bytes still to come, if the source declared a length.
    left: Option<u64>,
    report: Option<F>,
}

impl<S, F: FnOnce(End)> Reporting<S, F> {
    pub(crate) fn new(inner: S, length: Option<u64>, report: F) -> Self {
        Reporting {
            inner,
            left: length,
            report: Some(report),
        }
    }

    fn end(&mut self, end: End) {
        if let Some(report) = self.report.take() {
            report(end);
        }
    }
}

impl<S, F, E> Stream for Reporting<S, F>
where
    S: Stream<Item = Result<Bytes, E>> + Unpin,
    F: FnOnce(End) + Unpin,
{
    type Item = Result<Bytes, E>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let next = Pin::new(&mut self.inner).poll_next(cx);
        match &next {
            Poll::Ready(None) => self.end(End::Whole),
            Poll::Ready(Some(Err(_))) => self.end(End::Broken),
            Poll::Ready(Some(Ok(piece))) => {
                self.left = self.left.map(|n| n.saturating_sub(piece.len() as u64));
            }
            Poll::Pending => {}
        }
        next
    }
}

impl<S, F: FnOnce(End)> Drop for Reporting<S, F> {
    fn drop(&mut self) {
        // A server that knows the length stops polling after the last byte.
        let end = if self.left == Some(0) {
            End::Whole
        } else {
            End::Dropped
        };
        self.end(end);
    }
}
