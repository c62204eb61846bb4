//! Streaming of request and response bodies.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use axum::body::Body;
use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use http_body_util::BodyExt;
use parking_lot::Mutex;

/// A request body shorter than this is kept entirely until the response begins, so that retries and
/// hedges can send it again.
pub(crate) const MAX_REPLAY_BYTES: usize = 64 * 1024;
/// Number of leading body bytes that are included in a request's fingerprint.
pub(crate) const FINGERPRINT_BYTES: usize = 4 * 1024;

/// Most bytes of an unread body that are read and discarded.
const MAX_DISCARD_BYTES: usize = 4 * 1024 * 1024;
/// Longest time for which an unread body is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// How the streaming of a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// The body was read to its end.
    Complete,
    /// The source failed before the end of the body.
    SourceFailed,
    /// The reader dropped the body before its end.
    ReaderGone,
}

/// A request body whose first part is buffered.
#[derive(Debug)]
pub(crate) struct RequestBody {
    /// The buffered first part.
    pub(crate) prefix: Bytes,
    /// The rest of the body; `None` if `prefix` is all of it or an attempt has taken the rest.
    pub(crate) rest: Option<UnreadBody>,
}

/// The part of a request body that has not been read.
///
/// Dropping it reads and discards the remaining bytes, up to [`MAX_DISCARD_BYTES`] and
/// [`DISCARD_TIMEOUT`]. Otherwise a response sent before the end of the request could be lost:
/// closing the connection while the client is still writing resets it.
#[derive(Debug)]
pub(crate) struct UnreadBody {
    // The mutex makes the type `Sync`, which `Body` is not: futures that borrow a request have to
    // be `Send`.
    body: Mutex<Option<Body>>,
}

impl UnreadBody {
    fn new(body: Body) -> UnreadBody {
        UnreadBody {
            body: Mutex::new(Some(body)),
        }
    }

    fn take(&mut self) -> Option<Body> {
        self.body.get_mut().take()
    }
}

impl Drop for UnreadBody {
    fn drop(&mut self) {
        let Some(body) = self.take() else { return };
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(tokio::time::timeout(DISCARD_TIMEOUT, discard(body)));
        }
    }
}

async fn discard(mut body: Body) {
    let mut remaining = MAX_DISCARD_BYTES;
    while remaining > 0
        && let Some(Ok(frame)) = body.frame().await
    {
        remaining = remaining.saturating_sub(frame.data_ref().map_or(0, Bytes::len));
    }
}

impl RequestBody {
    /// Reads `body` until [`MAX_REPLAY_BYTES`] are reached, which may be exceeded by a part of one
    /// frame, or to its end if it is shorter.
    pub(crate) async fn read(mut body: Body) -> Result<RequestBody, axum::Error> {
        let mut prefix = BytesMut::new();
        while prefix.len() < MAX_REPLAY_BYTES {
            let Some(frame) = body.frame().await else {
                return Ok(RequestBody {
                    prefix: prefix.freeze(),
                    rest: None,
                });
            };
            if let Ok(data) = frame?.into_data() {
                prefix.extend_from_slice(&data);
            }
        }
        Ok(RequestBody {
            prefix: prefix.freeze(),
            rest: Some(UnreadBody::new(body)),
        })
    }

    /// Returns the leading bytes that are included in the request's fingerprint.
    pub(crate) fn fingerprint_prefix(&self) -> &[u8] {
        &self.prefix[..self.prefix.len().min(FINGERPRINT_BYTES)]
    }

    /// Returns the body for one attempt. `is_buffered`: `prefix` is the entire body, so it can be
    /// sent any number of times. Otherwise the body can be taken once, and later calls return
    /// `None`.
    pub(crate) fn take_for_attempt(&mut self, is_buffered: bool) -> Option<reqwest::Body> {
        if is_buffered {
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

/// A body stream that calls `on_end` once, with how the stream ended.
pub(crate) struct TrackedBody<S, F: FnOnce(BodyEnd)> {
    inner: S,
    /// Bytes still to come; `None` if the source declared no length.
    remaining: Option<u64>,
    on_end: Option<F>,
}

impl<S, F: FnOnce(BodyEnd)> TrackedBody<S, F> {
    pub(crate) fn new(inner: S, length: Option<u64>, on_end: F) -> Self {
        TrackedBody {
            inner,
            remaining: length,
            on_end: Some(on_end),
        }
    }

    fn finish(&mut self, end: BodyEnd) {
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }
}

impl<S, F, E> Stream for TrackedBody<S, F>
where
    S: Stream<Item = Result<Bytes, E>> + Unpin,
    F: FnOnce(BodyEnd) + Unpin,
{
    type Item = Result<Bytes, E>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let next = Pin::new(&mut self.inner).poll_next(cx);
        match &next {
            Poll::Ready(None) => self.finish(BodyEnd::Complete),
            Poll::Ready(Some(Err(_))) => self.finish(BodyEnd::SourceFailed),
            Poll::Ready(Some(Ok(chunk))) => {
                self.remaining = self.remaining.map(|n| n.saturating_sub(chunk.len() as u64));
            }
            Poll::Pending => {}
        }
        next
    }
}

impl<S, F: FnOnce(BodyEnd)> Drop for TrackedBody<S, F> {
    fn drop(&mut self) {
        // An HTTP server that knows the length stops polling after the last byte, so the end of
        // the stream is not seen.
        let end = if self.remaining == Some(0) {
            BodyEnd::Complete
        } else {
            BodyEnd::ReaderGone
        };
        self.finish(end);
    }
}
