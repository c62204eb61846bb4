//! Direct notification of strikes to the nodes of the same service.
//!
//! A strike counts against a request, identified by its fingerprint, when a target crashed while it
//! ran the request. After several strikes, requests with the fingerprint are refused (quarantine).
//!
//! Peers are notified before the caller gets the failure: gossip is slower than a caller that sends
//! its request again, and each copy that arrives before the strike may kill one more target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::extract::State;
use axum::http::{HeaderMap, Method, StatusCode};
use axum::response::{IntoResponse, Response};
use futures_util::future::join_all;
use member::Record;
use ops::Metric;
use wire::{Code, Fingerprint, InstanceId};

use crate::headers::{HOP_HEADER, sign_hop, verify_hop};
use crate::problem;
use crate::shared::Shared;

/// Path on the peers' listener to which strikes are posted.
pub(crate) const PATH: &str = "/.briarlug/strike";
/// Most nodes notified directly, which bounds the traffic caused by one dead target. The others
/// receive the strike by gossip.
const MAX_NOTIFIED_PEERS: usize = 32;
/// Longest wait for all responses together; the wait adds to the caller's latency.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(100);

/// Notifies up to [`MAX_NOTIFIED_PEERS`] nodes of this node's service that `incarnation` of the
/// local target died while it ran the request with fingerprint `fp`.
pub(crate) async fn notify_peers(shared: &Arc<Shared>, fp: Fingerprint, incarnation: u64) {
    let members = shared.members.load_full();
    let service = &shared.settings.service;
    let recipients = members
        .values()
        .filter(|r| r.service == *service && r.id != shared.id);
    let strike = format!("{:x};{:x};{incarnation}", fp.0, shared.id.0);
    let notifications = recipients
        .take(MAX_NOTIFIED_PEERS)
        .map(|r: &Record| notify_peer(shared, r.data, &strike));
    let _ = tokio::time::timeout(NOTIFY_TIMEOUT, join_all(notifications)).await;
}

async fn notify_peer(shared: &Shared, to: SocketAddr, strike: &str) {
    let mac = sign_hop(&shared.settings.keys, &Method::POST, PATH, strike);
    let req = shared
        .peer_client
        .post(format!("http://{to}{PATH}"))
        .header(HOP_HEADER, strike)
        .header(wire::HOP_MAC, mac);
    // A node that can't be reached receives the strike by gossip.
    let _ = req.send().await;
}

/// Handles a strike sent by another node.
pub(crate) async fn receive(State(shared): State<Arc<Shared>>, headers: HeaderMap) -> Response {
    let header_str = |name: &str| headers.get(name)?.to_str().ok();
    let (Some(raw), Some(mac)) = (header_str(HOP_HEADER), header_str(wire::HOP_MAC)) else {
        return problem::response(Code::BadHeader.into());
    };
    if !verify_hop(&shared.settings.keys, &Method::POST, PATH, raw, mac) {
        shared.metrics.count(Metric::DroppedBadMac);
        return problem::response(Code::BadHeader.into());
    }
    let Some((fp, instance, incarnation)) = decode(raw) else {
        return problem::response(Code::BadHeader.into());
    };
    shared.record_strike(fp, instance, incarnation);
    StatusCode::NO_CONTENT.into_response()
}

/// Decodes the format of [`notify_peers`]: fingerprint, instance and incarnation; `None` if
/// invalid.
fn decode(raw: &str) -> Option<(Fingerprint, InstanceId, u64)> {
    let parts: Vec<&str> = raw.split(';').collect();
    let [fp, instance, incarnation] = parts[..] else {
        return None;
    };
    let hex = |s| u64::from_str_radix(s, 16).ok();
    Some((
        Fingerprint(hex(fp)?),
        InstanceId(hex(instance)?),
        incarnation.parse().ok()?,
    ))
}
