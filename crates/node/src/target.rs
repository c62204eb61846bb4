//! The target of this node: its announcements and its phase.
//!
//! Announcements, drain, leave and a failed liveness check set the phase.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::post;
use axum::{Json, Router};
use parking_lot::Mutex;
use serde::Deserialize;
use wire::{Code, ServiceName, Time};

use crate::shared::Shared;

/// Lease of an announcement: a target that doesn't repeat it within this time counts as down.
pub(crate) const ANNOUNCEMENT_LEASE: Duration = Duration::from_secs(3);

/// Whether the target takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// No target has announced itself, or the target's lease has expired, it has left, or a
    /// liveness check found it dead.
    Down,
    /// The target takes requests.
    Up,
    /// The target finishes its requests in progress and takes no new ones.
    Draining,
}

/// State of a target that has announced itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownTarget {
    addr: SocketAddr,
    phase: Phase,
    /// Time of the last announcement.
    announced_at: Time,
    /// Number of the target's incarnation, from 1. Several crashes reported for one incarnation
    /// count as one strike.
    incarnation: u64,
}

/// Shared state of this node's target.
#[derive(Debug, Default)]
pub(crate) struct Target {
    /// `None` until the first announcement.
    known: Mutex<Option<KnownTarget>>,
}

impl Target {
    pub(crate) fn phase(&self, now: Time) -> Phase {
        match *self.known.lock() {
            Some(k) if now - k.announced_at < ANNOUNCEMENT_LEASE => k.phase,
            _ => Phase::Down,
        }
    }

    /// Returns the target's incarnation, 0 before its first announcement.
    pub(crate) fn incarnation(&self) -> u64 {
        self.known.lock().map_or(0, |k| k.incarnation)
    }

    /// Returns the target's address for a new request, or the code of the refusal.
    pub(crate) fn address(&self, now: Time) -> Result<SocketAddr, Code> {
        match *self.known.lock() {
            Some(k) if now - k.announced_at >= ANNOUNCEMENT_LEASE => Err(Code::TargetDown),
            Some(KnownTarget {
                phase: Phase::Up,
                addr,
                ..
            }) => Ok(addr),
            Some(KnownTarget {
                phase: Phase::Draining,
                ..
            }) => Err(Code::Draining),
            _ => Err(Code::TargetDown),
        }
    }

    /// Records an announcement and returns whether it begins a new incarnation. A draining target
    /// keeps that phase until it leaves, is found dead or announces another address.
    pub(crate) fn record_announcement(&self, now: Time, addr: SocketAddr) -> bool {
        let mut known = self.known.lock();
        let next = match *known {
            Some(k) if k.addr == addr && k.phase != Phase::Down => KnownTarget {
                announced_at: now,
                ..k
            },
            old => KnownTarget {
                addr,
                phase: Phase::Up,
                announced_at: now,
                incarnation: old.map_or(1, |k| k.incarnation + 1),
            },
        };
        let is_new_incarnation = known.is_none_or(|k| k.incarnation != next.incarnation);
        *known = Some(next);
        is_new_incarnation
    }

    pub(crate) fn set_phase(&self, phase: Phase) {
        if let Some(k) = &mut *self.known.lock() {
            k.phase = phase;
        }
    }
}

/// Body of `POST /announce`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Announce {
    service: String,
    addr: SocketAddr,
}

/// Returns the routes of the target's listener.
pub(crate) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/announce", post(announce))
        .route("/drain", post(drain))
        .route("/leave", post(leave))
        .with_state(shared)
}

async fn announce(
    State(shared): State<Arc<Shared>>,
    Json(body): Json<Announce>,
) -> (StatusCode, String) {
    let own_service = &shared.settings.service;
    if ServiceName::from(body.service.as_str()) != *own_service {
        return (
            StatusCode::CONFLICT,
            format!("this node serves {own_service}"),
        );
    }
    let own_address = shared.settings.address;
    if body.addr.ip() != own_address && !body.addr.ip().is_loopback() {
        return (
            StatusCode::CONFLICT,
            format!("{} is not on this instance", body.addr),
        );
    }
    let old_phase = shared.target.phase(shared.clock.now());
    if shared
        .target
        .record_announcement(shared.clock.now(), body.addr)
    {
        log::info!("target up: new incarnation announced addr={}", body.addr);
        // The drain of the previous incarnation may have closed admission.
        shared.gate.resume();
    }
    if old_phase != shared.target.phase(shared.clock.now()) {
        shared.publish_own_state();
    }
    (StatusCode::OK, String::new())
}

async fn drain(State(shared): State<Arc<Shared>>) -> StatusCode {
    log::info!("target draining: it gets no new requests");
    shared.target.set_phase(Phase::Draining);
    shared.gate.drain();
    shared.publish_own_state();
    StatusCode::OK
}

async fn leave(State(shared): State<Arc<Shared>>) -> StatusCode {
    log::info!("target left: it is down until it announces itself again");
    shared.target.set_phase(Phase::Down);
    shared.publish_own_state();
    StatusCode::OK
}
