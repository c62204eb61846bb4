//! Names of the headers that a deployment uses, and the rules for passing headers on.

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Headers of a deployment. The adapter of the platform fills them in.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; the target repeats it in its answer.
    pub request_id: HeaderName,
    /// Milliseconds that the caller, or the target, has left for the request.
    pub time_left_ms: HeaderName,
    /// The only target that may run the request.
    pub expected_target: HeaderName,
    /// Proof of the target that it has made the answer.
    pub answer_proof: HeaderName,
    /// Present on a refusal of a target that has not run the request.
    pub not_run: HeaderName,
    /// Service on whose instance the request began.
    pub caller_service: HeaderName,
    /// Load of the target.
    pub load: HeaderName,
    /// Identifier of the target that answers.
    pub target_id: HeaderName,
}

/// Headers that concern one connection only (RFC 9110, section 7.6.1), and the length, which is
/// set anew.
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

/// A header as it travels between nodes.
pub(crate) type Field = (String, Bytes);

/// Returns the headers to pass on, without those of the connection and those in `own`.
pub(crate) fn end_to_end(headers: &HeaderMap, own: &[&HeaderName]) -> Vec<Field> {
    let listed = connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(name))
        .filter(|(name, _)| **name != KEEP_ALIVE && **name != PROXY_CONNECTION)
        .filter(|(name, _)| !own.contains(name))
        .filter(|(name, _)| !listed.iter().any(|l| l.eq_ignore_ascii_case(name.as_str())))
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        })
        .collect()
}

/// Reads the headers of another node. One that is not valid HTTP is left out; nodes send only
/// what they have parsed.
pub(crate) fn to_map(fields: &[Field]) -> HeaderMap {
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

/// Returns the text of a header, if it is there and is visible ASCII.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Reads a number of milliseconds, which may have a fraction.
pub(crate) fn millis(headers: &HeaderMap, name: &HeaderName) -> Option<f64> {
    let ms: f64 = text(headers, name)?.trim().parse().ok()?;
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
