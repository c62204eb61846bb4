//! Routing tables: route lookup, and rejection of an invalid version as a whole.

use config::{CallerLimits, RawRoute, RawRouting, RawService, Repeat, Routing, RoutingError};

fn route(name: &str, host: &str, prefix: &str, service: &str) -> RawRoute {
    RawRoute {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        weighted_services: vec![(service.into(), 1)],
        repeat: Repeat::Safe,
        timeout_ms: Some(1_000),
        objective_ms: Some(300),
        priority: 1,
        max_attempts: 2,
        is_public: false,
    }
}

/// Validates a table with the services `view` and `desk`.
fn table(routes: Vec<RawRoute>) -> Result<Routing, RoutingError> {
    let services = ["view", "desk"].map(|name| RawService {
        name: name.into(),
        health_path: "/health".into(),
        max_connections: 10,
    });
    RawRouting {
        version: 3,
        routes,
        services: services.into(),
        limits: CallerLimits::default(),
        organisations: None,
    }
    .try_into()
}

/// Returns the name of the route that matches.
fn find_name<'a>(t: &'a Routing, host: &str, path: &str) -> Option<&'a str> {
    t.find(host, path).map(|r| &*r.name)
}

/// Guards against a shorter prefix that hides a longer one, and against prefixes that match
/// within a path segment.
#[test]
fn longest_prefix_of_whole_segments_wins() {
    let t = table(vec![
        route("a", "x.example", "/one/", "view"),
        route("b", "x.example", "/one/two/", "desk"),
        route("c", "y.example", "/", "desk"),
    ])
    .unwrap();
    let cases = [
        ("x.example", "/one/2f", Some("a")),
        ("x.example", "/one/two/2f", Some("b")),
        ("x.example", "/one/two", Some("a")),
        ("x.example", "/one", None),
        ("x.example", "/onetwo/2f", None),
        ("X.Example:80", "/one/two/three/4", Some("b")),
        ("y.example", "/anything", Some("c")),
        ("z.example", "/one/2f", None),
        ("x.example", "", None),
        ("x.example", "*", None),
    ];
    for (host, path, expected) in cases {
        assert_eq!(find_name(&t, host, path), expected, "{host}{path}");
    }
}

/// Guards against a version that is accepted although one of its routes is invalid.
#[test]
fn invalid_route_rejects_the_whole_table() {
    type MakeInvalid = fn(&mut RawRoute);
    let cases: [(&str, MakeInvalid); 7] = [
        ("empty host", |r| r.host.clear()),
        ("prefix without slash", |r| r.prefix = "/one".into()),
        ("unknown service", |r| {
            r.weighted_services[0].0 = "gone".into();
        }),
        ("no weight", |r| r.weighted_services[0].1 = 0),
        ("empty split", |r| r.weighted_services.clear()),
        ("zero timeout", |r| r.timeout_ms = Some(0)),
        ("same host and prefix", |r| r.prefix = "/one/".into()),
    ];
    for (what, make_invalid) in cases {
        let mut bad = route("bad", "x.example", "/two/", "desk");
        make_invalid(&mut bad);
        let good = route("good", "x.example", "/one/", "view");
        assert!(table(vec![good, bad]).is_err(), "{what}");
    }
}
