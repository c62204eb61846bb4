//! Malformed and hostile HTTP.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::common::Mesh;
use crate::support::{get, mesh, send};

const ANSWER_WITHIN: Duration = Duration::from_secs(5);
const CALLERS: u16 = 7100;
const PEERS: u16 = 7101;
const HOP: &str = "1;title-desk;1;safe;short;1000;1;1;1";

/// What the caller does after it has sent its bytes.
#[derive(Clone, Copy, PartialEq)]
enum Then {
    Wait,
    Close,
}

/// Writes raw bytes and returns all that comes back.
async fn raw(mesh: &Mesh, port: u16, request: &str, then: Then) -> String {
    let mut tcp = TcpStream::connect((mesh.nodes[0].addr, port))
        .await
        .unwrap();
    let exchange = async {
        // The other side may answer and close before it has read everything.
        let _ = tcp.write_all(request.as_bytes()).await;
        if then == Then::Close {
            let _ = tcp.shutdown().await;
        }
        let mut answer = Vec::new();
        let mut buf = [0; 4096];
        while let Ok(n) = tcp.read(&mut buf).await
            && n > 0
        {
            answer.extend_from_slice(&buf[..n]);
        }
        String::from_utf8_lossy(&answer).into_owned()
    };
    tokio::time::timeout(ANSWER_WITHIN, exchange).await.unwrap()
}

async fn runs(mesh: &Mesh) -> u64 {
    let stats = mesh.target_stats(0).await;
    stats.started + stats.cancelled
}

/// A request head with extra header lines.
fn head(first: &str, lines: &str) -> String {
    format!("{first} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{lines}\r\n")
}

/// Guards against hostile requests that reach the target, stop the node, or get no clear refusal.
#[tokio::test(flavor = "multi_thread")]
async fn hostile_requests_are_refused_before_the_target() {
    let mesh = mesh("hostile", &[("title-desk", 1), ("ledger-view", 1)], "").await;
    let post = |lines: &str| head("POST /titles/1", &format!("content-length: 0\r\n{lines}"));
    let key = "idempotency-key: k\r\n";
    let keyed = |lines: &str| post(&format!("{key}{lines}"));
    let hop = |lines: &str| post(&format!("{key}briarlug-hop: {lines}"));
    let many: String = (0..80).map(|n| format!("x-{n}: y\r\n")).collect();
    let far_too_many = many.replace("x-", "y-") + &many;
    let long = "z".repeat(40_000);
    let huge = "z".repeat(2_000_000);
    let mac = "01".repeat(33);
    // (listener, request, start of the status line, code)
    let cases: Vec<(u16, String, &str, Option<u16>)> = vec![
        (
            CALLERS,
            keyed("briarlug-timeout-ms: x\r\n"),
            "400",
            Some(106),
        ),
        (
            CALLERS,
            keyed("briarlug-timeout-ms: -1\r\n"),
            "400",
            Some(106),
        ),
        (
            CALLERS,
            keyed("briarlug-timeout-ms: 1.5\r\n"),
            "400",
            Some(106),
        ),
        (
            CALLERS,
            keyed("briarlug-timeout-ms: 99999999999999999999999\r\n"),
            "400",
            Some(106),
        ),
        (
            CALLERS,
            keyed("briarlug-timeout-ms: \r\n"),
            "400",
            Some(106),
        ),
        (
            CALLERS,
            keyed("briarlug-timeout-ms: 0\r\n"),
            "504",
            Some(105),
        ),
        (
            CALLERS,
            keyed("briarlug-timeout-ms: 9\r\nbriarlug-timeout-ms: 900\r\n"),
            "400",
            Some(106),
        ),
        (
            CALLERS,
            keyed("idempotency-key: other\r\n"),
            "400",
            Some(106),
        ),
        (CALLERS, post("idempotency-key: \r\n"), "400", Some(106)),
        (CALLERS, post("idempotency-key: a b\r\n"), "400", Some(106)),
        (CALLERS, post(""), "428", Some(406)),
        (
            CALLERS,
            post("idempotency-key: bk1.1.2.3.4\r\n"),
            "400",
            Some(106),
        ),
        (CALLERS, keyed(&many), "400", Some(106)),
        (CALLERS, keyed(&format!("x: {long}\r\n")), "400", Some(106)),
        (
            CALLERS,
            head(&format!("GET /casks/{long}"), ""),
            "400",
            Some(106),
        ),
        (
            CALLERS,
            head("POST /.briarlug/strike", ""),
            "404",
            Some(102),
        ),
        (CALLERS, head("GET /.briarlug/keys", ""), "404", Some(102)),
        // The parser of the HTTP library refuses these itself.
        (CALLERS, keyed(&far_too_many), "431", None),
        (CALLERS, keyed(&format!("x: {huge}\r\n")), "431", None),
        (CALLERS, "\u{0}\u{1}garbage\r\n\r\n".to_owned(), "400", None),
        (CALLERS, keyed("content-length: 9\r\n"), "400", None),
        (PEERS, head("POST /.briarlug/strike", ""), "400", Some(106)),
        (
            PEERS,
            head(
                "POST /.briarlug/strike",
                &format!("briarlug-hop: 1;1;1\r\nbriarlug-hop-mac: {mac}\r\n"),
            ),
            "400",
            Some(106),
        ),
        (PEERS, post(key), "400", Some(106)),
        (PEERS, hop(&format!("{HOP}\r\n")), "400", Some(106)),
        (
            PEERS,
            hop(&format!("{HOP}\r\nbriarlug-hop-mac: \r\n")),
            "400",
            Some(106),
        ),
        (
            PEERS,
            hop(&format!("{HOP}\r\nbriarlug-hop-mac: xyz\r\n")),
            "400",
            Some(106),
        ),
        (
            PEERS,
            hop(&format!("{HOP}\r\nbriarlug-hop-mac: {mac}\r\n")),
            "400",
            Some(106),
        ),
        (PEERS, hop("\r\nbriarlug-hop-mac: 01\r\n"), "400", Some(106)),
    ];
    for (port, request, status, code) in cases {
        let shown = &request[..request.len().min(200)];
        let answer = raw(&mesh, port, &request, Then::Wait)
            .await
            .to_ascii_lowercase();
        assert!(
            answer.starts_with(&format!("http/1.1 {status} ")),
            "{shown}\n{answer}"
        );
        if let Some(code) = code {
            assert!(
                answer.contains(&format!("\r\nbriarlug-code: {code}\r\n")),
                "{shown}\n{answer}"
            );
            assert!(
                answer.contains("\r\nbriarlug-executed: no\r\n"),
                "{shown}\n{answer}"
            );
        }
    }
    assert_eq!(runs(&mesh).await, 0);
    let reply = send(&mesh, 0, &get("/casks/1")).await.unwrap();
    assert!(reply.is_ok(), "{reply:?}");
}

/// Guards against a target that runs a request whose body never came, and against one that takes
/// forged headers for those of its node.
#[tokio::test(flavor = "multi_thread")]
async fn broken_bodies_and_forged_headers_do_not_reach_the_target() {
    let mesh = mesh("hostile-body", &[("title-desk", 1), ("ledger-view", 1)], "").await;
    let post = |lines: &str, body: &str| {
        let lines = format!("idempotency-key: k\r\n{lines}");
        head("POST /titles/1", &lines) + body
    };
    let big = "b".repeat(200_000);
    let broken = [
        post("content-length: 100\r\n", "short"),
        post("transfer-encoding: chunked\r\n", "5\r\nhello\r\n"),
        post("transfer-encoding: chunked\r\n", "zz\r\nhello\r\n0\r\n\r\n"),
        // The first part of a long body is enough for the hand-over to begin.
        post("content-length: 900000\r\n", &big),
        post(
            "transfer-encoding: chunked\r\n",
            &format!("30d40\r\n{big}\r\n"),
        ),
    ];
    for (n, request) in broken.into_iter().enumerate() {
        let answer = raw(
            &mesh,
            CALLERS,
            &request.replace(": k\r", &format!(": k{n}\r")),
            Then::Close,
        )
        .await;
        assert!(!answer.starts_with("HTTP/1.1 200"), "case {n}: {answer}");
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(runs(&mesh).await, 0);

    // A deadline of long ago, a foreign hop and an answer code: none of them is the caller's.
    let forged = "idempotency-key: forged\r\ncontent-length: 0\r\n\
        briarlug-deadline-unix-ms: 1\r\nbriarlug-hop: 1;x;1;safe;short;1;1;1;1\r\n\
        briarlug-hop-mac: 01ff\r\nbriarlug-code: 101\r\nbriarlug-executed: no\r\n";
    let answer = raw(&mesh, CALLERS, &head("POST /titles/1", forged), Then::Wait).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(!answer.contains("briarlug-code"), "{answer}");
    assert_eq!(mesh.runs_of("forged").await, 1);
}
