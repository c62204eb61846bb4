//! Strikes told to the nodes of the same service before the failure is answered.
//!
//! Gossip takes longer than a caller needs to send its request again, and each copy that arrives
//! before the strike may kill one more target.

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

use crate::headers::{HOP, sign_hop, verify_hop};
use crate::problem;
use crate::shared::Shared;

/// Path of a strike on the peers' listener.
pub(crate) const PATH: &str = "/.briarlug/strike";
/// Nodes told directly; gossip reaches the others. Bounds the traffic of one death.
const MAX_TOLD: usize = 32;
/// Longest wait for a node that doesn't answer; it is a part of the callers' latency.
const TELL_TIMEOUT: Duration = Duration::from_millis(100);

/// Tells the nodes of the own service that the target beside this node died, in its life `boot`,
/// while it ran the request.
pub(crate) async fn tell(shared: &Arc<Shared>, fp: Fingerprint, boot: u64) {
    let members = shared.members.load_full();
    let own = &shared.settings.service;
    let told = members
        .values()
        .filter(|r| r.service == *own && r.id != shared.id);
    let strike = format!("{:x};{:x};{boot}", fp.0, shared.id.0);
    let sent = told
        .take(MAX_TOLD)
        .map(|r: &Record| tell_one(shared, r.data, &strike));
    let _ = tokio::time::timeout(TELL_TIMEOUT, join_all(sent)).await;
}

async fn tell_one(shared: &Shared, to: SocketAddr, strike: &str) {
    let mac = sign_hop(&shared.settings.keys, &Method::POST, PATH, strike);
    let req = shared
        .peer_client
        .post(format!("http://{to}{PATH}"))
        .header(HOP, strike)
        .header(wire::HOP_MAC, mac);
    // A node that can't be reached hears of it by gossip.
    let _ = req.send().await;
}

/// Takes a strike of another node.
pub(crate) async fn receive(State(shared): State<Arc<Shared>>, headers: HeaderMap) -> Response {
    let text = |name: &str| headers.get(name)?.to_str().ok();
    let (Some(raw), Some(mac)) = (text(HOP), text(wire::HOP_MAC)) else {
        return problem::response(Code::BadHeader.into());
    };
    if !verify_hop(&shared.settings.keys, &Method::POST, PATH, raw, mac) {
        shared.metrics.count(Metric::DroppedBadMac);
        return problem::response(Code::BadHeader.into());
    }
    let Some((fp, instance, boot)) = decode(raw) else {
        return problem::response(Code::BadHeader.into());
    };
    shared.count_strike(fp, instance, boot);
    StatusCode::NO_CONTENT.into_response()
}

fn decode(raw: &str) -> Option<(Fingerprint, InstanceId, u64)> {
    let parts: Vec<&str> = raw.split(';').collect();
    let [fp, instance, boot] = parts[..] else {
        return None;
    };
    let hex = |s| u64::from_str_radix(s, 16).ok();
    Some((
        Fingerprint(hex(fp)?),
        InstanceId(hex(instance)?),
        boot.parse().ok()?,
    ))
}
