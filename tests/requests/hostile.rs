//! Malformed and hostile HTTP requests.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::common::Mesh;
use crate::support::{get, send, start_mesh};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
const CALLERS_PORT: u16 = 7100;
const PEERS_PORT: u16 = 7101;
/// Well-formed value of the header `briarlug-hop`, without a MAC.
const HOP_HEADER: &str = "1;title-desk;1;safe;short;1000;1;1;1";

/// What the client does once it has sent the request.
#[derive(Clone, Copy, PartialEq)]
enum AfterSend {
    /// Keeps its side of the connection open.
    Wait,
    /// Shuts down the write side.
    Close,
}

/// Sends raw bytes to a port of the first node and returns everything up to the end of the
/// connection.
async fn exchange_raw(mesh: &Mesh, port: u16, request: &str, after_send: AfterSend) -> String {
    let mut tcp = TcpStream::connect((mesh.nodes[0].addr, port))
        .await
        .unwrap();
    let exchange = async {
        // The node may respond and close before it has read the whole request.
        let _ = tcp.write_all(request.as_bytes()).await;
        if after_send == AfterSend::Close {
            let _ = tcp.shutdown().await;
        }
        let mut response = Vec::new();
        let mut buf = [0; 4096];
        while let Ok(n) = tcp.read(&mut buf).await
            && n > 0
        {
            response.extend_from_slice(&buf[..n]);
        }
        String::from_utf8_lossy(&response).into_owned()
    };
    tokio::time::timeout(RESPONSE_TIMEOUT, exchange)
        .await
        .unwrap()
}

/// Requests that the target of the first node has started or cancelled.
async fn target_request_count(mesh: &Mesh) -> u64 {
    let stats = mesh.target_stats(0).await;
    stats.started + stats.cancelled
}

/// Returns a request head with extra header lines.
fn request_head(first: &str, lines: &str) -> String {
    format!("{first} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{lines}\r\n")
}

/// Guards against malformed or forged requests that reach the target, stop the node, or are refused
/// without the right status and code.
#[tokio::test(flavor = "multi_thread")]
async fn hostile_requests_are_refused_before_the_target() {
    let mesh = start_mesh("hostile", &[("title-desk", 1), ("ledger-view", 1)], "").await;
    let post =
        |lines: &str| request_head("POST /titles/1", &format!("content-length: 0\r\n{lines}"));
    let key = "idempotency-key: k\r\n";
    let keyed = |lines: &str| post(&format!("{key}{lines}"));
    let hop = |lines: &str| post(&format!("{key}briarlug-hop: {lines}"));
    let many: String = (0..80).map(|n| format!("x-{n}: y\r\n")).collect();
    let far_too_many = many.replace("x-", "y-") + &many;
    let long = "z".repeat(40_000);
    let huge = "z".repeat(2_000_000);
    let mac = "01".repeat(33);
    // (port, request, status, refusal code)
    let cases: Vec<(u16, String, &str, Option<u16>)> = vec![
        (
            CALLERS_PORT,
            keyed("briarlug-timeout-ms: x\r\n"),
            "400",
            Some(106),
        ),
        (
            CALLERS_PORT,
            keyed("briarlug-timeout-ms: -1\r\n"),
            "400",
            Some(106),
        ),
        (
            CALLERS_PORT,
            keyed("briarlug-timeout-ms: 1.5\r\n"),
            "400",
            Some(106),
        ),
        (
            CALLERS_PORT,
            keyed("briarlug-timeout-ms: 99999999999999999999999\r\n"),
            "400",
            Some(106),
        ),
        (
            CALLERS_PORT,
            keyed("briarlug-timeout-ms: \r\n"),
            "400",
            Some(106),
        ),
        (
            CALLERS_PORT,
            keyed("briarlug-timeout-ms: 0\r\n"),
            "504",
            Some(105),
        ),
        (
            CALLERS_PORT,
            keyed("briarlug-timeout-ms: 9\r\nbriarlug-timeout-ms: 900\r\n"),
            "400",
            Some(106),
        ),
        (
            CALLERS_PORT,
            keyed("idempotency-key: other\r\n"),
            "400",
            Some(106),
        ),
        (
            CALLERS_PORT,
            post("idempotency-key: \r\n"),
            "400",
            Some(106),
        ),
        (
            CALLERS_PORT,
            post("idempotency-key: a b\r\n"),
            "400",
            Some(106),
        ),
        (CALLERS_PORT, post(""), "428", Some(406)),
        (
            CALLERS_PORT,
            post("idempotency-key: bk1.1.2.3.4\r\n"),
            "400",
            Some(106),
        ),
        (CALLERS_PORT, keyed(&many), "400", Some(106)),
        (
            CALLERS_PORT,
            keyed(&format!("x: {long}\r\n")),
            "400",
            Some(106),
        ),
        (
            CALLERS_PORT,
            request_head(&format!("GET /casks/{long}"), ""),
            "400",
            Some(106),
        ),
        (
            CALLERS_PORT,
            request_head("POST /.briarlug/strike", ""),
            "404",
            Some(102),
        ),
        (
            CALLERS_PORT,
            request_head("GET /.briarlug/keys", ""),
            "404",
            Some(102),
        ),
        // The parser of the HTTP library rejects these, so there is no refusal code.
        (CALLERS_PORT, keyed(&far_too_many), "431", None),
        (CALLERS_PORT, keyed(&format!("x: {huge}\r\n")), "431", None),
        (
            CALLERS_PORT,
            "\u{0}\u{1}garbage\r\n\r\n".to_owned(),
            "400",
            None,
        ),
        (CALLERS_PORT, keyed("content-length: 9\r\n"), "400", None),
        (
            PEERS_PORT,
            request_head("POST /.briarlug/strike", ""),
            "400",
            Some(106),
        ),
        (
            PEERS_PORT,
            request_head(
                "POST /.briarlug/strike",
                &format!("briarlug-hop: 1;1;1\r\nbriarlug-hop-mac: {mac}\r\n"),
            ),
            "400",
            Some(106),
        ),
        (PEERS_PORT, post(key), "400", Some(106)),
        (
            PEERS_PORT,
            hop(&format!("{HOP_HEADER}\r\n")),
            "400",
            Some(106),
        ),
        (
            PEERS_PORT,
            hop(&format!("{HOP_HEADER}\r\nbriarlug-hop-mac: \r\n")),
            "400",
            Some(106),
        ),
        (
            PEERS_PORT,
            hop(&format!("{HOP_HEADER}\r\nbriarlug-hop-mac: xyz\r\n")),
            "400",
            Some(106),
        ),
        (
            PEERS_PORT,
            hop(&format!("{HOP_HEADER}\r\nbriarlug-hop-mac: {mac}\r\n")),
            "400",
            Some(106),
        ),
        (
            PEERS_PORT,
            hop("\r\nbriarlug-hop-mac: 01\r\n"),
            "400",
            Some(106),
        ),
    ];
    for (port, request, status, code) in cases {
        let shown = &request[..request.len().min(200)];
        let response = exchange_raw(&mesh, port, &request, AfterSend::Wait)
            .await
            .to_ascii_lowercase();
        assert!(
            response.starts_with(&format!("http/1.1 {status} ")),
            "{shown}\n{response}"
        );
        if let Some(code) = code {
            assert!(
                response.contains(&format!("\r\nbriarlug-code: {code}\r\n")),
                "{shown}\n{response}"
            );
            assert!(
                response.contains("\r\nbriarlug-executed: no\r\n"),
                "{shown}\n{response}"
            );
        }
    }
    assert_eq!(target_request_count(&mesh).await, 0);
    let reply = send(&mesh, 0, &get("/casks/1")).await.unwrap();
    assert!(reply.is_ok(), "{reply:?}");
}

/// Guards against a target that runs a request with an incomplete body, and against internal
/// headers that a caller forges and a node trusts.
#[tokio::test(flavor = "multi_thread")]
async fn broken_bodies_and_forged_headers_do_not_reach_the_target() {
    let mesh = start_mesh("hostile-body", &[("title-desk", 1), ("ledger-view", 1)], "").await;
    let post = |lines: &str, body: &str| {
        let lines = format!("idempotency-key: k\r\n{lines}");
        request_head("POST /titles/1", &lines) + body
    };
    let big = "b".repeat(200_000);
    let broken = [
        post("content-length: 100\r\n", "short"),
        post("transfer-encoding: chunked\r\n", "5\r\nhello\r\n"),
        post("transfer-encoding: chunked\r\n", "zz\r\nhello\r\n0\r\n\r\n"),
        // The first part of a long body is enough for the node to begin the hand-over.
        post("content-length: 900000\r\n", &big),
        post(
            "transfer-encoding: chunked\r\n",
            &format!("30d40\r\n{big}\r\n"),
        ),
    ];
    for (n, request) in broken.into_iter().enumerate() {
        let response = exchange_raw(
            &mesh,
            CALLERS_PORT,
            &request.replace(": k\r", &format!(": k{n}\r")),
            AfterSend::Close,
        )
        .await;
        assert!(
            !response.starts_with("HTTP/1.1 200"),
            "case {n}: {response}"
        );
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(target_request_count(&mesh).await, 0);

    // A past deadline, a hop header and a refusal code: the node ignores internal headers that a
    // caller sends.
    let forged = "idempotency-key: forged\r\ncontent-length: 0\r\n\
        briarlug-deadline-unix-ms: 1\r\nbriarlug-hop: 1;x;1;safe;short;1;1;1;1\r\n\
        briarlug-hop-mac: 01ff\r\nbriarlug-code: 101\r\nbriarlug-executed: no\r\n";
    let response = exchange_raw(
        &mesh,
        CALLERS_PORT,
        &request_head("POST /titles/1", forged),
        AfterSend::Wait,
    )
    .await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(!response.contains("briarlug-code"), "{response}");
    assert_eq!(mesh.total_runs("forged").await, 1);
}
