//! Shutdown of the log stand-in.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use fakes::{FakeLog, LogServer};
use googletest::prelude::*;
use plat::{HttpLog, Log};
use wire::Offset;

// Guards against a stopped log that still takes appends on open connections or keeps long polls
// waiting.
#[gtest]
#[tokio::test]
async fn stopped_log_breaks_open_connections() {
    let log = FakeLog::new();
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = LogServer::start(addr, log.clone())
        .await
        .expect("bind a loopback port");
    let client = HttpLog::new(&server.url()).expect("build the log client");
    let append = || client.append("s", vec![b"a".to_vec()]);
    expect_that!(append().await, ok(eq(&Offset(0))));
    let started = Instant::now();
    let stop = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        server.stop().await;
    };
    let (poll, ()) = tokio::join!(client.read("s", Offset(1), Duration::from_secs(5)), stop);
    expect_that!(poll, err(anything()));
    expect_that!(started.elapsed(), lt(Duration::from_secs(2)));
    expect_that!(append().await, err(anything()));
    expect_that!(log.append_count(), eq(1));
}
