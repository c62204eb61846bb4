//! Header names of a deployment, and the rules for forwarding headers.

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Names of the headers that this node reads and sets. The platform adapter supplies them.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a caller; the target echoes it in its response.
    pub request_id: HeaderName,
    /// Milliseconds that remain until the deadline of the request, sent by the caller and to the
    /// target.
    pub time_left_ms: HeaderName,
    /// The only target that may run the request.
    pub expected_target: HeaderName,
    /// Proof that the response was made by the target.
    pub answer_proof: HeaderName,
    /// Present on a refusal if the target has not run the request.
    pub not_run: HeaderName,
    /// Service of the instance on which the request originated.
    pub caller_service: HeaderName,
    /// Load that the target reports in its response.
    pub load: HeaderName,
    /// Id of the target that responds.
    pub target_id: HeaderName,
}

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and the length, which is set again for each hop.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Name and value of a header, as sent between nodes.
pub(crate) type HeaderField = (String, Bytes);

/// Returns the headers to forward: all but the hop-by-hop headers and those in `excluded`.
pub(crate) fn end_to_end(headers: &HeaderMap, excluded: &[&HeaderName]) -> Vec<HeaderField> {
    let connection_headers = connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(name))
        .filter(|(name, _)| **name != KEEP_ALIVE && **name != PROXY_CONNECTION)
        .filter(|(name, _)| !excluded.contains(name))
        .filter(|(name, _)| {
            !connection_headers
                .iter()
                .any(|l| l.eq_ignore_ascii_case(name.as_str()))
        })
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        })
        .collect()
}

/// Converts headers that a peer sent. A header that is not valid HTTP is dropped; peers send only
/// headers that they have parsed.
pub(crate) fn to_header_map(fields: &[HeaderField]) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(fields.len() + 4);
    for (name, value) in fields {
        let parsed = (
            HeaderName::try_from(name.as_str()),
            HeaderValue::from_maybe_shared(value.clone()),
        );
        if let (Ok(name), Ok(value)) = parsed {
            map.append(name, value);
        }
    }
    map
}

/// Returns the value of a header; `None` if the header is missing or is not visible ASCII.
pub(crate) fn visible_ascii<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the value of a header in milliseconds, which may have a fraction; `None` if the header
/// is missing or its value is not a finite number of at least 0.
pub(crate) fn parse_millis(headers: &HeaderMap, name: &HeaderName) -> Option<f64> {
    let ms: f64 = visible_ascii(headers, name)?.trim().parse().ok()?;
    (ms.is_finite() && ms >= 0.0).then_some(ms)
}

fn connection_options(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|option| option.trim().to_owned())
        .filter(|option| !option.is_empty())
        .collect()
}
