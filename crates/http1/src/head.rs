//! Request heads.

use bytes::{Buf, Bytes, BytesMut};
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Uri, Version};
use snafu::Snafu;

use crate::body::Framing;

/// Largest number of header lines; common servers accept about as many.
const MAX_HEADERS: usize = 100;

/// Reason why a request can't be read. The connection is closed after the response to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ParseError {
    /// The head is not valid HTTP/1.1, or its framing is ambiguous.
    #[snafu(display("malformed request head"))]
    Head,
    /// The head exceeds the limit.
    #[snafu(display("request head too large"))]
    HeadTooLarge,
    /// The head did not arrive in time.
    #[snafu(display("request head not received in time"))]
    HeadTimeout,
    /// The body is not in valid chunked encoding.
    #[snafu(display("malformed request body"))]
    Body,
    /// The body exceeds the limit.
    #[snafu(display("request body too large"))]
    BodyTooLarge,
}

/// Head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Request method.
    pub method: Method,
    /// Request target.
    pub uri: Uri,
    /// Header fields.
    pub headers: HeaderMap,
}

/// A parsed head, with what the connection needs to know about it.
#[derive(Debug)]
pub(crate) struct ParsedHead {
    pub(crate) head: RequestHead,
    pub(crate) framing: Framing,
    pub(crate) keeps_alive: bool,
    pub(crate) expects_continue: bool,
}

/// Finds the end of a head, over any number of reads.
#[derive(Debug, Default)]
pub(crate) struct HeadScanner {
    scanned: usize,
}

impl HeadScanner {
    /// Removes a complete head from the start of `buf`. Returns `None` if it is not complete.
    pub(crate) fn take(
        &mut self,
        buf: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<Option<Bytes>, ParseError> {
        self.skip_empty_lines(buf);
        while self.scanned < buf.len() {
            let at = self.scanned;
            if at >= max_bytes {
                return Err(ParseError::HeadTooLarge);
            }
            if buf[at] == b'\n' {
                // Some parsers take a bare line feed as the end of a line and others don't, which
                // allows request smuggling.
                if at == 0 || buf[at - 1] != b'\r' {
                    return Err(ParseError::Head);
                }
                if buf[..=at].ends_with(b"\r\n\r\n") {
                    self.scanned = 0;
                    return Ok(Some(buf.split_to(at + 1).freeze()));
                }
            }
            self.scanned += 1;
        }
        Ok(None)
    }

    /// Skips empty lines before a request line (RFC 9112, section 2.2).
    fn skip_empty_lines(&mut self, buf: &mut BytesMut) {
        while buf.starts_with(b"\r\n") {
            buf.advance(2);
            self.scanned = 0;
        }
    }
}

/// Parses a complete head.
pub(crate) fn parse(raw: &Bytes) -> Result<ParsedHead, ParseError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut fields);
    match req.parse(raw) {
        Ok(httparse::Status::Complete(len)) if len == raw.len() => {}
        Ok(_) => return Err(ParseError::Head),
        Err(httparse::Error::TooManyHeaders) => return Err(ParseError::HeadTooLarge),
        Err(_) => return Err(ParseError::Head),
    }
    let version = match req.version {
        Some(0) => Version::HTTP_10,
        _ => Version::HTTP_11,
    };
    let method = req.method.unwrap_or_default();
    let method = Method::from_bytes(method.as_bytes()).map_err(|_| ParseError::Head)?;
    let uri = Uri::try_from(req.path.unwrap_or_default()).map_err(|_| ParseError::Head)?;
    let mut headers = HeaderMap::with_capacity(req.headers.len());
    for field in req.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).map_err(|_| ParseError::Head)?;
        let value = HeaderValue::from_maybe_shared(raw.slice_ref(field.value))
            .map_err(|_| ParseError::Head)?;
        headers.append(name, value);
    }
    check_host(&headers, version)?;
    Ok(ParsedHead {
        framing: Framing::try_from((&headers, version))?,
        keeps_alive: keeps_alive(&headers, version),
        expects_continue: version == Version::HTTP_11
            && has_token(&headers, &header::EXPECT, "100-continue"),
        head: RequestHead {
            method,
            uri,
            headers,
        },
    })
}

/// Requires one `Host` header, as RFC 9112, section 3.2 does; HTTP/1.0 requests may have none.
fn check_host(headers: &HeaderMap, version: Version) -> Result<(), ParseError> {
    match headers.get_all(header::HOST).iter().count() {
        1 => Ok(()),
        0 if version == Version::HTTP_10 => Ok(()),
        _ => Err(ParseError::Head),
    }
}

/// Responses are HTTP/1.1, so connections of HTTP/1.0 callers are not kept alive.
fn keeps_alive(headers: &HeaderMap, version: Version) -> bool {
    version == Version::HTTP_11 && !has_token(headers, &header::CONNECTION, "close")
}

/// Returns whether the comma-separated list in the headers `name` contains `token`.
fn has_token(headers: &HeaderMap, name: &HeaderName, token: &str) -> bool {
    headers
        .get_all(name)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .any(|t| t.trim().eq_ignore_ascii_case(token))
}
