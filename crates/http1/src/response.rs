//! Encoding of responses.

use bytes::{BufMut, Bytes, BytesMut};
use http::header::{self, HeaderName};
use http::{Method, Response, StatusCode};

/// Interim response to a request that waits for it before it sends its body.
pub(crate) const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Size of the buffer for most heads.
const HEAD_BYTES: usize = 256;
/// Largest body that is copied behind its head, so that both are written with one call.
pub(crate) const MAX_COPIED_BYTES: usize = 64 << 10;

/// Headers that describe the connection or the framing; `encode` sets them itself.
const HOP_BY_HOP: [HeaderName; 3] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
];

/// An encoded response.
#[derive(Debug)]
pub(crate) struct Encoded {
    pub(crate) head: BytesMut,
    /// Empty if the response has none.
    pub(crate) body: Bytes,
}

/// Encodes the response to a request with `method`. With `closes`, it announces that the connection
/// is closed after it.
pub(crate) fn encode(method: &Method, response: &Response<Bytes>, closes: bool) -> Encoded {
    let (status, body) = (response.status(), response.body());
    let copied = if body.len() <= MAX_COPIED_BYTES {
        body.len()
    } else {
        0
    };
    let mut out = BytesMut::with_capacity(HEAD_BYTES + copied);
    out.put_slice(b"HTTP/1.1 ");
    out.put_slice(status.as_str().as_bytes());
    out.put_u8(b' ');
    out.put_slice(status.canonical_reason().unwrap_or_default().as_bytes());
    out.put_slice(b"\r\n");
    for (name, value) in response.headers() {
        if !HOP_BY_HOP.contains(name) {
            put_field(&mut out, name.as_str(), value.as_bytes());
        }
    }
    if closes {
        put_field(&mut out, "connection", b"close");
    }
    let has_body = !is_bodiless(status) && method != Method::HEAD;
    if has_body {
        put_field(
            &mut out,
            "content-length",
            body.len().to_string().as_bytes(),
        );
    }
    out.put_slice(b"\r\n");
    let body = if has_body { body.clone() } else { Bytes::new() };
    Encoded { head: out, body }
}

fn put_field(out: &mut BytesMut, name: &str, value: &[u8]) {
    out.put_slice(name.as_bytes());
    out.put_slice(b": ");
    out.put_slice(value);
    out.put_slice(b"\r\n");
}

/// Returns whether responses with `status` have no body (RFC 9110, section 6.4.1).
fn is_bodiless(status: StatusCode) -> bool {
    status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
}
