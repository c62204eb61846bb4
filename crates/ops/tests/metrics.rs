//! Metrics: agreement with the table for operators, and the export to StatsD.

use std::net::UdpSocket;
use std::time::Duration;

use googletest::prelude::*;
use ops::{Metric, Metrics, Statsd};

const METRICS_PAGE: &str = include_str!("../../../docs/metrics.md");

/// Guards against a metric that is missing in the table, or has another position, kind or unit
/// there.
#[gtest]
fn every_metric_is_documented() {
    let rows = METRICS_PAGE.lines().filter(|l| l.starts_with("| "));
    let cells = rows.map(|l| {
        l.trim_matches('|')
            .split('|')
            .map(str::trim)
            .collect::<Vec<_>>()
    });
    let of_metrics = cells
        .skip_while(|c| c[0] != "request.entry")
        .take_while(|c| c.len() == 5);
    let listed: Vec<_> = of_metrics.collect();
    let names: Vec<_> = listed.iter().map(|c| c[0]).collect();
    let all: Vec<_> = Metric::ALL.iter().map(|m| m.name()).collect();
    assert_that!(names, eq(&all));
    for (m, row) in Metric::ALL.iter().zip(listed) {
        let kind = format!("{:?}", m.kind()).to_lowercase();
        expect_that!(row[1], eq(kind.as_str()), "{}", m.name());
        expect_that!(row[2], eq(m.unit()), "{}", m.name());
        expect_that!(
            row[3..].iter().all(|c| !c.is_empty()),
            eq(true),
            "{}",
            m.name()
        );
    }
}

/// Returns the sorted lines of all datagrams that arrive until the read timeout.
fn receive(server: &UdpSocket) -> Vec<String> {
    let mut lines = Vec::new();
    let mut buf = [0; 2048];
    while let Ok(n) = server.recv(&mut buf) {
        let text = std::str::from_utf8(&buf[..n]).unwrap();
        lines.extend(text.lines().map(str::to_owned));
    }
    lines.sort();
    lines
}

/// Guards against counter increases that are sent twice or never, and against gauges missing from a
/// flush.
#[gtest]
fn flush_sends_counter_increases_and_all_gauges() {
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    server
        .set_read_timeout(Some(Duration::from_millis(200)))
        .unwrap();
    let addr = server.local_addr().unwrap();
    let metrics = Metrics::new(Some(Statsd { addr })).unwrap();
    let gauges = Metric::ALL
        .iter()
        .filter(|m| m.kind() == ops::MetricKind::Gauge)
        .count();

    metrics.add(Metric::EntryRequests, 3);
    metrics.set(Metric::Version, 7);
    metrics.flush();
    let first = receive(&server);
    expect_that!(first, contains(eq("briarlug.request.entry:3|c")));
    expect_that!(first, contains(eq("briarlug.config.version:7|g")));
    expect_that!(first.len(), eq(gauges + 1));

    metrics.count(Metric::EntryRequests);
    metrics.flush();
    expect_that!(receive(&server), contains(eq("briarlug.request.entry:1|c")));
    metrics.flush();
    let third = receive(&server);
    expect_that!(third.len(), eq(gauges));
    expect_that!(metrics.get(Metric::EntryRequests), eq(4));
}
