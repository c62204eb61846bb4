//! Contract of [`plat::Log`], tested on `FakeLog` itself and on the HTTP client in front of it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fakes::{FakeLog, LogFaults, LogServer};
use googletest::prelude::*;
use plat::{Batch, BoxFuture, HttpLog, Log, LogError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use wire::Offset;

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const NO_WAIT: Duration = Duration::ZERO;
const SHORT_WAIT: Duration = Duration::from_millis(50);
const LONG_WAIT: Duration = Duration::from_secs(5);

/// Test of one property of the contract. Gets the log under test and the `FakeLog` behind it, on
/// which it sets faults.
type ContractCase = for<'a> fn(&'a dyn Log, &'a FakeLog) -> BoxFuture<'a, ()>;

const CONTRACT_CASES: &[(&str, ContractCase)] = &[
    ("order kept, no gaps", |l, _| Box::pin(order_is_kept(l))),
    ("batch contiguous", |l, _| Box::pin(batch_is_contiguous(l))),
    ("content kept", |l, _| Box::pin(content_is_kept(l))),
    ("append wakes poll", |l, _| Box::pin(append_wakes_poll(l))),
    ("poll times out", |l, _| Box::pin(poll_times_out(l))),
    ("long read in batches", |l, _| Box::pin(read_in_batches(l))),
    ("streams isolated", |l, _| Box::pin(streams_are_isolated(l))),
    ("expiry reported", |l, f| Box::pin(expiry_is_reported(l, f))),
    ("outage", |l, f| Box::pin(outage_refuses_calls(l, f))),
    ("outage during a long poll", |l, f| {
        Box::pin(outage_ends_poll(l, f))
    }),
    ("lost reply wrote", |l, f| Box::pin(lost_reply_wrote(l, f))),
];

// Guards against a `FakeLog` that breaks the contract: other tests use `FakeLog` as the log and
// would then pass with behaviour that `HttpLog` doesn't have.
#[gtest]
#[tokio::test]
async fn fake_log_meets_the_contract() {
    for (name, case) in CONTRACT_CASES {
        println!("case: {name}");
        let log = FakeLog::new();
        case(&log, &log).await;
    }
}

// Guards against an HTTP client that breaks the contract on which the rest of the system relies.
#[gtest]
#[tokio::test]
async fn http_client_meets_the_contract() {
    for (name, case) in CONTRACT_CASES {
        println!("case: {name}");
        let server = LogServer::start(LOOPBACK, FakeLog::new())
            .await
            .expect("a port");
        let client = HttpLog::new(&server.url()).expect("a client");
        case(&client, server.log()).await;
        server.stop().await;
    }
}

fn records(items: &[&str]) -> Vec<Vec<u8>> {
    items.iter().map(|s| s.as_bytes().to_vec()).collect()
}

async fn append(log: &dyn Log, stream: &str, items: &[&str]) -> u64 {
    log.append(stream, records(items))
        .await
        .expect("an append")
        .0
}

async fn read(log: &dyn Log, stream: &str, from: u64, wait: Duration) -> Batch {
    log.read(stream, Offset(from), wait).await.expect("a read")
}

/// Returns the offsets and contents of the records of a batch.
fn offsets_and_contents(batch: &Batch) -> Vec<(u64, String)> {
    let text = |data: &[u8]| String::from_utf8_lossy(data).into_owned();
    let records = batch.records.iter();
    records.map(|r| (r.offset.0, text(&r.data))).collect()
}

/// Returns `items` in the form of [`offsets_and_contents`].
fn expected_records(items: &[(u64, &str)]) -> Vec<(u64, String)> {
    items.iter().map(|(o, s)| (*o, (*s).to_owned())).collect()
}

async fn order_is_kept(log: &dyn Log) {
    for (i, item) in (0..).zip(["a", "b", "c"]) {
        expect_that!(append(log, "s", &[item]).await, eq(i));
    }
    let batch = read(log, "s", 1, NO_WAIT).await;
    expect_that!(
        offsets_and_contents(&batch),
        eq(&expected_records(&[(1, "b"), (2, "c")]))
    );
    expect_that!((batch.oldest, batch.end), eq((Offset(0), Offset(3))));
}

async fn batch_is_contiguous(log: &dyn Log) {
    let appends: Vec<_> = (0..20)
        .map(|i| log.append("s", records(&[&format!("{i}-0"), &format!("{i}-1")])))
        .collect();
    let mut first_offsets = Vec::new();
    for (i, first) in join_all(appends).await.into_iter().enumerate() {
        first_offsets.push((first.expect("an append").0, i));
    }
    let found = offsets_and_contents(&read(log, "s", 0, NO_WAIT).await);
    first_offsets.sort_unstable();
    let expected = first_offsets
        .iter()
        .flat_map(|(first, i)| [(*first, format!("{i}-0")), (first + 1, format!("{i}-1"))]);
    expect_that!(found, eq(&expected.collect::<Vec<_>>()));
}

/// Polls all futures concurrently and returns their results in order.
async fn join_all<T>(futures: Vec<BoxFuture<'_, T>>) -> Vec<T> {
    let mut futures: Vec<_> = futures.into_iter().map(|f| (f, None)).collect();
    std::future::poll_fn(|cx| {
        for (f, done) in futures.iter_mut().filter(|(_, done)| done.is_none()) {
            if let std::task::Poll::Ready(value) = f.as_mut().poll(cx) {
                *done = Some(value);
            }
        }
        if futures.iter().any(|(_, done)| done.is_none()) {
            return std::task::Poll::Pending;
        }
        std::task::Poll::Ready(())
    })
    .await;
    futures.into_iter().filter_map(|(_, done)| done).collect()
}

async fn content_is_kept(log: &dyn Log) {
    let all: Vec<u8> = (0..=255).collect();
    let large = vec![0xfb; 1024 * 1024];
    let sent = vec![Vec::new(), all, large];
    log.append("s", sent.clone()).await.expect("an append");
    let batch = read(log, "s", 0, NO_WAIT).await;
    let found: Vec<_> = batch.records.into_iter().map(|r| r.data).collect();
    expect_that!(found == sent, eq(true));
}

async fn append_wakes_poll(log: &dyn Log) {
    let started = Instant::now();
    let write = async {
        tokio::time::sleep(SHORT_WAIT).await;
        append(log, "other", &["x"]).await;
        tokio::time::sleep(SHORT_WAIT).await;
        append(log, "s", &["a"]).await;
    };
    let (batch, ()) = tokio::join!(read(log, "s", 0, LONG_WAIT), write);
    expect_that!(
        offsets_and_contents(&batch),
        eq(&expected_records(&[(0, "a")]))
    );
    expect_that!(batch.end, eq(Offset(1)));
    expect_that!(started.elapsed(), lt(LONG_WAIT / 2));
}

async fn poll_times_out(log: &dyn Log) {
    append(log, "s", &["a"]).await;
    for (stream, from, end) in [("s", 1, 1), ("never written", 0, 0)] {
        let started = Instant::now();
        let batch = read(log, stream, from, SHORT_WAIT).await;
        expect_that!(batch.records, is_empty(), "{stream}");
        expect_that!(
            (batch.oldest, batch.end),
            eq((Offset(0), Offset(end))),
            "{stream}"
        );
        expect_that!(
            started.elapsed(),
            all!(ge(SHORT_WAIT), lt(LONG_WAIT / 2)),
            "{stream}"
        );
    }
}

async fn read_in_batches(log: &dyn Log) {
    // More records than fit into one batch: `FakeLog` returns at most 1,000 per read.
    const COUNT: u64 = 2_500;
    let items: Vec<String> = (0..COUNT).map(|i| i.to_string()).collect();
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    append(log, "s", &items).await;
    let mut next = 0;
    while next < COUNT {
        let batch = read(log, "s", next, NO_WAIT).await;
        expect_that!(batch.end, eq(Offset(COUNT)));
        for (offset, text) in offsets_and_contents(&batch) {
            assert_eq!((offset, text), (next, next.to_string()));
            next += 1;
        }
    }
}

async fn streams_are_isolated(log: &dyn Log) {
    let names = [
        "s", "s.0", "s/0", "s?from=0", "s#0", "s%2F0", "s 0", "S", "ü",
    ];
    for name in names {
        let first = log.append(name, records(&[name])).await;
        expect_that!(first, ok(eq(&Offset(0))), "{name}");
    }
    for name in names {
        let batch = log.read(name, Offset(0), NO_WAIT).await;
        let found = batch.map(|b| offsets_and_contents(&b));
        expect_that!(found, ok(eq(&expected_records(&[(0, name)]))), "{name}");
    }
}

/// A read from an expired offset fails and reports the oldest retained offset.
async fn expiry_is_reported(log: &dyn Log, fake: &FakeLog) {
    append(log, "s", &["a", "b", "c"]).await;
    fake.set_faults(LogFaults {
        retain: 2,
        ..LogFaults::default()
    });
    expect_that!(append(log, "s", &["d"]).await, eq(3));
    let expired = log.read("s", Offset(1), LONG_WAIT).await;
    let (from, oldest) = (Offset(1), Offset(2));
    expect_that!(
        expired,
        err(matches_pattern!(LogError::Expired {
            from: eq(&from),
            oldest: eq(&oldest)
        }))
    );
    let batch = read(log, "s", 2, NO_WAIT).await;
    expect_that!(
        offsets_and_contents(&batch),
        eq(&expected_records(&[(2, "c"), (3, "d")]))
    );
    expect_that!((batch.oldest, batch.end), eq((oldest, Offset(4))));
}

async fn outage_refuses_calls(log: &dyn Log, fake: &FakeLog) {
    append(log, "s", &["a"]).await;
    fake.set_faults(LogFaults {
        down: true,
        ..LogFaults::default()
    });
    let refused = log
        .append("s", records(&["b"]))
        .await
        .expect_err("an outage");
    expect_that!(refused.may_have_written(), eq(false));
    expect_that!(log.read("s", Offset(0), LONG_WAIT).await, err(anything()));
    fake.set_faults(LogFaults::default());
    let batch = read(log, "s", 0, NO_WAIT).await;
    expect_that!(
        offsets_and_contents(&batch),
        eq(&expected_records(&[(0, "a")]))
    );
}

async fn outage_ends_poll(log: &dyn Log, fake: &FakeLog) {
    let started = Instant::now();
    let fail = async {
        tokio::time::sleep(SHORT_WAIT).await;
        fake.set_faults(LogFaults {
            down: true,
            ..LogFaults::default()
        });
    };
    let (batch, ()) = tokio::join!(log.read("s", Offset(0), LONG_WAIT), fail);
    expect_that!(batch, err(anything()));
    expect_that!(started.elapsed(), lt(LONG_WAIT / 2));
}

/// An append whose reply was lost is reported as possibly written, and its record is in the stream.
async fn lost_reply_wrote(log: &dyn Log, fake: &FakeLog) {
    fake.set_faults(LogFaults {
        lose_answers: 1,
        ..LogFaults::default()
    });
    let lost = log
        .append("s", records(&["a"]))
        .await
        .expect_err("a lost response");
    expect_that!(lost.may_have_written(), eq(true));
    expect_that!(append(log, "s", &["b"]).await, eq(1));
    let batch = read(log, "s", 0, NO_WAIT).await;
    expect_that!(
        offsets_and_contents(&batch),
        eq(&expected_records(&[(0, "a"), (1, "b")]))
    );
}

/// Serves one connection: reads once, writes `response`, which may be empty, and closes the
/// connection. Returns the URL and the task.
async fn serve_once(response: &'static str) -> (String, tokio::task::JoinHandle<()>) {
    let listener = tokio::net::TcpListener::bind(LOOPBACK)
        .await
        .expect("a port");
    let url = format!("http://{}", listener.local_addr().expect("an address"));
    let task = tokio::spawn(async move {
        let (mut tcp, _) = listener.accept().await.expect("a connection");
        let mut buf = [0; 4_096];
        let _ = tcp.read(&mut buf).await;
        let _ = tcp.write_all(response.as_bytes()).await;
    });
    (url, task)
}

// Guards against a failed append that is reported as not written although the record may have been
// written before the log or a gateway failed. The node would drop a claim that the log still has,
// and the claim's key would stay taken.
#[gtest]
#[tokio::test]
async fn only_definite_refusals_report_nothing_written() {
    let cases = [
        ("HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n", false),
        ("HTTP/1.1 429 x\r\ncontent-length: 0\r\n\r\n", false),
        ("HTTP/1.1 413 x\r\ncontent-length: 0\r\n\r\n", false),
        ("HTTP/1.1 408 x\r\ncontent-length: 0\r\n\r\n", true),
        ("HTTP/1.1 500 x\r\ncontent-length: 0\r\n\r\n", true),
        ("HTTP/1.1 502 x\r\ncontent-length: 0\r\n\r\n", true),
        ("HTTP/1.1 504 x\r\ncontent-length: 0\r\n\r\n", true),
        ("HTTP/1.1 200 x\r\ncontent-length: 0\r\n\r\n", true),
        (
            "HTTP/1.1 200 x\r\ncontent-length: 50\r\n\r\n{\"first\"",
            true,
        ),
        ("", true),
    ];
    for (response, may_have_written) in cases {
        let (url, task) = serve_once(response).await;
        let log = HttpLog::new(&url).expect("a client");
        let failed = log
            .append("s", records(&["a"]))
            .await
            .expect_err("a failure");
        expect_that!(
            failed.may_have_written(),
            eq(may_have_written),
            "{response:?}: {failed}"
        );
        task.await.expect("the server task ends");
    }
    let unused = tokio::net::TcpListener::bind(LOOPBACK)
        .await
        .expect("a port");
    let url = format!("http://{}", unused.local_addr().expect("an address"));
    drop(unused);
    let log = HttpLog::new(&url).expect("a client");
    let failed = log
        .append("s", records(&["a"]))
        .await
        .expect_err("a failure");
    expect_that!(failed.may_have_written(), eq(false), "failed connect");
}
