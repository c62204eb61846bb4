//! Headers that a proxy must not forward, and the header that describes a hop between nodes. A hop
//! is the way of a request from the entry node to the target-side node.

use std::time::Duration;

use axum::http::{HeaderMap, HeaderName, HeaderValue, Method, header};
use config::{Class, Repeat};
use wire::{Fingerprint, KeyRing, ServiceName, Version};

const HOP_BY_HOP: &[HeaderName] = &[
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
const KEEP_ALIVE: &str = "keep-alive";
const MESH_HEADER_PREFIX: &str = "briarlug-";

/// Header that carries a [`HopMeta`].
pub(crate) const HOP_HEADER: &str = "briarlug-hop";

/// Removes the hop-by-hop headers and those named by `Connection`.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
}

/// Removes all headers of the mesh itself, so that neither callers nor targets can forge them.
pub(crate) fn strip_mesh_headers(headers: &mut HeaderMap) {
    let mesh_headers: Vec<HeaderName> = headers
        .keys()
        .filter(|k| k.as_str().starts_with(MESH_HEADER_PREFIX))
        .cloned()
        .collect();
    for name in mesh_headers {
        headers.remove(name);
    }
}

/// Returns the headers of a request that are forwarded to the next node or the target: all except
/// the hop-by-hop headers, those of the mesh and `Host`.
pub(crate) fn for_next_hop(mut headers: HeaderMap) -> HeaderMap {
    strip_hop_by_hop(&mut headers);
    strip_mesh_headers(&mut headers);
    headers.remove(header::HOST);
    headers
}

/// Metadata of a request that the entry node sends to the target-side node.
///
/// The entry node resolves the route in the snapshot that it has pinned, so the target-side node
/// needs no route of its own and behaves the same under an older or newer configuration version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HopMeta {
    pub(crate) version: Version,
    pub(crate) service: ServiceName,
    pub(crate) route: u64,
    pub(crate) repeat: Repeat,
    pub(crate) class: Class,
    /// Time from the sending of the attempt to the deadline; zero until then.
    pub(crate) remaining: Duration,
    /// Hash that identifies the caller for fair sharing.
    pub(crate) caller: u64,
    pub(crate) fingerprint: Fingerprint,
    /// Number of the attempt, counted from 1; 0 until the attempt is sent.
    pub(crate) attempt: u32,
}

impl HopMeta {
    /// Encodes the fields in a fixed order, separated by semicolons.
    pub(crate) fn encode(&self) -> String {
        let repeat = match self.repeat {
            Repeat::Safe => "safe",
            Repeat::Never => "never",
        };
        let class = match self.class {
            Class::Short => "short",
            Class::Long => "long",
            Class::Auto => "auto",
        };
        format!(
            "{};{};{:x};{repeat};{class};{};{:x};{:x};{}",
            self.version,
            self.service,
            self.route,
            self.remaining.as_millis(),
            self.caller,
            self.fingerprint.0,
            self.attempt,
        )
    }

    /// Decodes the format of [`HopMeta::encode`]; `None` if a field is missing or invalid.
    pub(crate) fn decode(s: &str) -> Option<HopMeta> {
        let parts: Vec<&str> = s.split(';').collect();
        let [
            version,
            service,
            route,
            repeat,
            class,
            remaining,
            caller,
            fingerprint,
            attempt,
        ] = parts[..]
        else {
            return None;
        };
        let hex = |s| u64::from_str_radix(s, 16).ok();
        Some(HopMeta {
            version: Version(version.parse().ok()?),
            service: service.into(),
            route: hex(route)?,
            repeat: match repeat {
                "safe" => Repeat::Safe,
                "never" => Repeat::Never,
                _ => return None,
            },
            class: match class {
                "short" => Class::Short,
                "long" => Class::Long,
                "auto" => Class::Auto,
                _ => return None,
            },
            remaining: Duration::from_millis(remaining.parse().ok()?),
            caller: hex(caller)?,
            fingerprint: Fingerprint(hex(fingerprint)?),
            attempt: attempt.parse().ok()?,
        })
    }
}

/// Returns the keyed hash that authenticates the method, path and metadata of a hop.
pub(crate) fn sign_hop(keys: &KeyRing, method: &Method, path: &str, meta: &str) -> String {
    keys.sign(&[
        b"hop",
        method.as_str().as_bytes(),
        path.as_bytes(),
        meta.as_bytes(),
    ])
}

/// Returns whether `mac` is the keyed hash that [`sign_hop`] computes for the other arguments.
pub(crate) fn verify_hop(
    keys: &KeyRing,
    method: &Method,
    path: &str,
    meta: &str,
    mac: &str,
) -> bool {
    keys.verify(
        &[
            b"hop",
            method.as_str().as_bytes(),
            path.as_bytes(),
            meta.as_bytes(),
        ],
        mac,
    )
}

/// Sets a header unless `value` contains bytes that a header value can't hold.
pub(crate) fn insert_if_valid(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Returns the value of a header; `None` if it is absent or not visible ASCII.
pub(crate) fn header_str<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
