//! Encoding of responses.

use bytes::{BufMut, BytesMut};
use http::header::{self, HeaderName};
use http::{Method, Response, StatusCode};
use memory::Body;

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

/// Encodes the response to a request with `method`. With `closes`, it announces that the connection
/// is closed after it. Returns the head, and the body if that is not copied behind it.
pub(crate) fn encode(method: &Method, response: Response<Body>, closes: bool) -> (BytesMut, Body) {
    let (parts, body) = response.into_parts();
    let status = parts.status;
    let has_body = !is_bodiless(status) && method != Method::HEAD;
    let is_copied = has_body && body.len() <= MAX_COPIED_BYTES;
    let copied = if is_copied { body.len() } else { 0 };
    let mut out = BytesMut::with_capacity(HEAD_BYTES + copied);
    out.put_slice(b"HTTP/1.1 ");
    out.put_slice(status.as_str().as_bytes());
    out.put_u8(b' ');
    out.put_slice(status.canonical_reason().unwrap_or_default().as_bytes());
    out.put_slice(b"\r\n");
    for (name, value) in &parts.headers {
        if !HOP_BY_HOP.contains(name) {
            put_field(&mut out, name.as_str(), value.as_bytes());
        }
    }
    if closes {
        put_field(&mut out, "connection", b"close");
    }
    if has_body {
        put_field(
            &mut out,
            "content-length",
            body.len().to_string().as_bytes(),
        );
    }
    out.put_slice(b"\r\n");
    if is_copied {
        for part in body.parts() {
            out.put_slice(part);
        }
    }
    let separate = if has_body && !is_copied {
        body
    } else {
        Body::default()
    };
    (out, separate)
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
