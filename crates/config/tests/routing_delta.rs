//! Deltas between routing tables.

use config::{
    CallerLimits, RawRoute, RawRouting, RawService, Repeat, Routing, RoutingDelta,
    RoutingDeltaError,
};
use proptest::prelude::*;

fn route(name: usize, service: &str, timeout_ms: u64) -> RawRoute {
    RawRoute {
        name: format!("r{name}"),
        host: format!("h{}.example", name % 3),
        prefix: format!("/p{name}/"),
        weighted_services: vec![(service.into(), 1)],
        repeat: Repeat::Safe,
        timeout_ms: Some(timeout_ms),
        objective_ms: None,
        priority: 1,
        max_attempts: 2,
        is_public: false,
    }
}

/// Returns a table that is not yet validated.
fn raw(version: u64, routes: Vec<RawRoute>, services: &[&str]) -> RawRouting {
    let services = services.iter().map(|name| RawService {
        name: (*name).into(),
        health_path: "/health".into(),
        max_connections: 10,
    });
    RawRouting {
        version,
        routes,
        services: services.collect(),
        limits: CallerLimits::default(),
        organisations: None,
    }
}

/// Returns a table with the services `view` and `desk`.
fn table(version: u64, routes: Vec<RawRoute>) -> Routing {
    raw(version, routes, &["view", "desk"]).try_into().unwrap()
}

/// Encodes and decodes a delta, as in a transfer to another node.
fn round_trip(delta: &RoutingDelta) -> RoutingDelta {
    RoutingDelta::decode(&delta.encode().unwrap()).unwrap()
}

/// Guards against a delta that carries the whole table because the rows of the new version are in
/// another order.
#[test]
fn routing_delta_carries_changed_rules_only() {
    let routes: Vec<_> = (0..500).map(|i| route(i, "view", 1_000)).collect();
    let mut other: Vec<_> = routes.iter().rev().cloned().collect();
    other[0].timeout_ms = Some(900);
    other[1].weighted_services = vec![("view".into(), 9), ("desk".into(), 1)];
    other.pop();
    other.push(route(900, "desk", 700));
    let (old, new) = (table(1, routes), table(2, other));
    let delta = RoutingDelta::between(Some(&old), &new);
    assert_eq!(delta.len(), 4);
    assert!(delta.encode().unwrap().len() < 1_000);
    assert_eq!(round_trip(&delta).apply(Some(&old)), Ok(new));
}

/// Guards against a delta that is applied to a table other than its base, including another table
/// with the same version number.
#[test]
fn routing_delta_applies_to_its_base_only() {
    let old = table(1, vec![route(1, "view", 1_000)]);
    let new = table(2, vec![route(1, "view", 900), route(2, "desk", 900)]);
    let delta = RoutingDelta::between(Some(&old), &new);
    let others = [
        table(3, vec![route(1, "view", 1_000)]),
        table(1, vec![route(1, "desk", 1_000)]),
    ];
    for other in &others {
        let result = delta.clone().apply(Some(other));
        assert_eq!(result, Err(RoutingDeltaError::BaseMismatch));
    }
    assert_eq!(
        delta.clone().apply(None),
        Err(RoutingDeltaError::BaseMismatch)
    );
    let whole = RoutingDelta::between(None, &new);
    for base in [None, Some(&old), Some(&others[0])] {
        assert_eq!(round_trip(&whole).apply(base).as_ref(), Ok(&new));
    }
}

/// Guards against a service that remains after its last route is removed, or whose removal is
/// rejected.
#[test]
fn service_is_removed_with_its_last_rule() {
    let old = table(1, vec![route(1, "view", 1_000), route(2, "desk", 1_000)]);
    let new = raw(2, vec![route(1, "view", 1_000)], &["view"]);
    let new = Routing::try_from(new).unwrap();
    let delta = RoutingDelta::between(Some(&old), &new);
    assert_eq!(round_trip(&delta).apply(Some(&old)), Ok(new));
}

/// Guards against bytes in another format that are decoded and applied as a delta.
#[test]
fn malformed_routing_delta_is_rejected() {
    for bytes in [&b""[..], b"\xff\xff\xff\xff", b"{\"version\":1}"] {
        let refused = RoutingDelta::decode(bytes).and_then(|d| d.apply(None));
        assert!(refused.is_err(), "{bytes:?}");
    }
}

fn arbitrary_routes() -> impl Strategy<Value = Vec<RawRoute>> {
    let one = (0_usize..12, prop::bool::ANY, 1_u64..4);
    prop::collection::btree_map(0_usize..12, one, 0..10).prop_map(|m| {
        let routes = m.into_iter().map(|(name, (_, desk, ms))| {
            let service = if desk { "desk" } else { "view" };
            route(name, service, ms * 100)
        });
        routes.collect()
    })
}

proptest! {
    /// Guards against a delta that loses, retains or changes a route by mistake, and against
    /// sharing routes with an older table that changes the newer one or its delta.
    #[test]
    fn routing_delta_reproduces_the_new_table(a in arbitrary_routes(), b in arbitrary_routes()) {
        let (old, mut new) = (table(1, a), table(2, b));
        let delta = RoutingDelta::between(Some(&old), &new);
        let plain = new.clone();
        new.share_with(&old);
        prop_assert_eq!(&plain, &new);
        prop_assert_eq!(&RoutingDelta::between(Some(&old), &new), &delta);
        prop_assert_eq!(round_trip(&delta).apply(Some(&old)), Ok(new));
    }
}
