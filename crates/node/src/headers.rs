//! Headers that a proxy must not pass on, and the header of a hop between nodes.

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
const OWN_PREFIX: &str = "briarlug-";

/// Header that carries a [`HopMeta`].
pub(crate) const HOP: &str = "briarlug-hop";

/// Removes the headers that hold for one connection only, and those named by `Connection`.
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

/// Removes all headers of this system, so that neither callers nor targets can forge them.
pub(crate) fn strip_own(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|k| k.as_str().starts_with(OWN_PREFIX))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}

/// Returns the headers of a request that go on to the next hop.
pub(crate) fn for_next_hop(mut headers: HeaderMap) -> HeaderMap {
    strip_hop_by_hop(&mut headers);
    strip_own(&mut headers);
    headers.remove(header::HOST);
    headers
}

/// What the entry node tells the node beside the target about a request.
///
/// The entry decides by the snapshot that it pinned, so the other node needs no route of its own
/// and works alike under an older or newer version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HopMeta {
    pub(crate) version: Version,
    pub(crate) service: ServiceName,
    pub(crate) route: u64,
    pub(crate) repeat: Repeat,
    pub(crate) class: Class,
    pub(crate) remaining: Duration,
    pub(crate) caller: u64,
    pub(crate) fingerprint: Fingerprint,
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

    /// Decodes what [`HopMeta::encode`] wrote.
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

/// Returns the keyed hash that authenticates a hop.
pub(crate) fn sign_hop(keys: &KeyRing, method: &Method, path: &str, meta: &str) -> String {
    keys.sign(&[
        b"hop",
        method.as_str().as_bytes(),
        path.as_bytes(),
        meta.as_bytes(),
    ])
}

/// Checks a hash made by [`sign_hop`].
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

/// Sets a header; a value that no header can hold is left out.
pub(crate) fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Returns the text of a header.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
