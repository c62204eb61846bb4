//! Connections in fixed cases: framing, limits, timeouts and the ways in which a connection ends.

mod common;

use std::time::Duration;

use common::{Server, limits, ok, text};
use googletest::prelude::*;
use http1::{Event, Limits, ParseError, ReadAhead, ReadAheadError};
use wire::Time;

const GET: &str = "GET /a HTTP/1.1\r\nhost: h\r\n\r\n";

/// Guards against requests that wait for a slower one before them, and against responses out of
/// order.
#[test]
fn pipelined_requests_are_read_at_once_and_answered_in_order() {
    let mut server = Server::new(limits());
    server.receive(&GET.repeat(3));
    assert_that!(server.keys.len(), eq(3));
    server.respond(2, ok("third"));
    server.respond(1, ok("second"));
    assert_that!(server.output(), eq(""));
    server.respond(0, ok("first"));
    let output = server.output();
    let at = |body: &str| output.find(body).unwrap();
    assert!(at("first") < at("second") && at("second") < at("third"));
    assert!(!server.conn.is_finished());
}

/// Guards against a request that must not be repeated and runs behind a response that closes the
/// connection: it is told when it is next.
#[test]
fn a_request_is_told_when_it_is_next() {
    let mut server = Server::new(limits());
    server.receive(&GET.repeat(3));
    assert_that!(
        server.is_next,
        elements_are![eq(&true), eq(&false), eq(&false)]
    );
    server.respond(1, ok("second"));
    assert_that!(server.is_next[2], eq(false));
    server.respond(0, ok("first"));
    assert_that!(server.is_next[2], eq(true));
}

/// Guards against request smuggling: each case is a head or a body on which parsers disagree.
#[test]
fn ambiguous_requests_are_refused() {
    let cases = [
        "GET /a HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
        "GET /a HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\ncontent-length: 1\r\n\r\nab",
        "GET /a HTTP/1.1\r\nhost: h\r\ncontent-length: 1, 1\r\n\r\nab",
        "GET /a HTTP/1.1\r\nhost: h\r\ncontent-length: +1\r\n\r\nab",
        "GET /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "GET /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "GET /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\ntransfer-encoding: x\r\n\r\n",
        "GET /a HTTP/1.0\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "GET /a HTTP/1.1\r\nhost: h\r\ncontent-length : 1\r\n\r\na",
        "GET /a HTTP/1.1\nhost: h\n\n",
        "GET /a HTTP/1.1\r\nhost: h\n\r\n",
        "GET /a HTTP/1.1\r\nhost: h\r\n x: folded\r\n\r\n",
        "GET /a HTTP/1.1\r\n\r\n",
        "GET /a HTTP/1.1\r\nhost: h\r\nhost: i\r\n\r\n",
        "GET /a HTTP/2.0\r\nhost: h\r\n\r\n",
        "GET /a\r\n\r\n",
    ];
    for case in cases {
        let mut server = Server::new(limits());
        server.receive(case);
        assert_that!(
            server.errors,
            elements_are![eq(&ParseError::Head)],
            "{case:?}"
        );
        server.receive(GET);
        assert_that!(server.keys.len(), eq(1), "{case:?}");
    }
    let bodies = [
        "1\na\r\n0\r\n\r\n",
        "1\r\nab\r\n0\r\n\r\n",
        "-1\r\n",
        "1 1\r\na\r\n",
        "\r\n",
    ];
    for body in bodies {
        let mut server = Server::new(limits());
        server.receive(&format!(
            "GET /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n{body}{GET}"
        ));
        assert_that!(
            server.errors,
            elements_are![eq(&ParseError::Body)],
            "{body:?}"
        );
        assert_that!(server.keys.len(), eq(1), "{body:?}");
    }
}

/// Guards against memory without a bound: heads, bodies, chunk lines and trailers without end.
#[test]
fn oversized_requests_are_refused() {
    let chunked = "GET /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
    let cases = [
        (
            format!("GET /{}", "a".repeat(2_000)),
            ParseError::HeadTooLarge,
        ),
        (
            format!(
                "GET /a HTTP/1.1\r\nhost: h\r\n{}\r\n",
                "a: b\r\n".repeat(120)
            ),
            ParseError::HeadTooLarge,
        ),
        (
            "GET /a HTTP/1.1\r\nhost: h\r\ncontent-length: 101\r\n\r\n".to_owned(),
            ParseError::BodyTooLarge,
        ),
        (format!("{chunked}65\r\n"), ParseError::BodyTooLarge),
        (
            format!("{chunked}1;{}", "e".repeat(2_000)),
            ParseError::Body,
        ),
        (
            format!("{chunked}0\r\n{}", "t: u\r\n".repeat(3_000)),
            ParseError::Body,
        ),
    ];
    for (case, error) in cases {
        let mut server = Server::new(Limits {
            header_bytes: 1_000,
            body_bytes: 100,
            ..limits()
        });
        server.receive(&case);
        assert_that!(server.errors, elements_are![eq(&error)], "{}", &case[..60]);
    }
}

/// Guards against an invalid request that takes the responses of the valid ones before it away.
#[test]
fn an_invalid_request_is_answered_after_the_valid_ones() {
    let mut server = Server::new(limits());
    server.receive(&format!("{GET}bad\r\n\r\n"));
    server.respond(1, text(400, "bad"));
    assert_that!(server.output(), eq(""));
    server.respond(0, ok("good"));
    let output = server.output();
    assert_that!(output, starts_with("HTTP/1.1 200 OK"));
    assert_that!(output.matches("connection: close").count(), eq(1));
    assert_that!(output, ends_with("bad"));
    assert!(server.conn.is_finished());
}

/// Guards against requests that are read behind a response that closes the connection: the caller
/// sends them again, and they would run twice.
#[test]
fn nothing_is_read_behind_a_request_that_closes_the_connection() {
    for head in [
        "GET /a HTTP/1.1\r\nhost: h\r\nconnection: keep, Close\r\n\r\n",
        "GET /a HTTP/1.0\r\n\r\n",
    ] {
        let mut server = Server::new(limits());
        server.receive(&format!("{head}{GET}"));
        assert_that!(server.keys.len(), eq(1));
        server.respond(0, ok("a"));
        assert_that!(server.output(), contains_substring("connection: close\r\n"));
        assert!(server.conn.is_finished());
    }
}

/// Guards against the bytes of a body being taken for a request after an early response.
#[test]
fn an_early_response_ends_the_connection() {
    let mut server = Server::new(limits());
    server.receive("POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 90\r\n\r\nab");
    server.respond(0, text(404, "none"));
    server.receive(&GET.repeat(2));
    assert_that!(server.keys.len(), eq(1));
    assert_that!(server.output(), contains_substring("connection: close\r\n"));
    assert!(server.conn.is_finished());
}

/// Guards against requests cut off by a close: those received before it are answered, and only the
/// last response announces it.
#[test]
fn a_close_ends_the_connection_after_the_received_requests() {
    let mut server = Server::new(limits());
    server.receive(&GET.repeat(2));
    server.receive("POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\na");
    server.conn.close();
    server.respond(0, ok("first"));
    server.receive("b");
    server.respond(1, ok("second"));
    assert!(!server.conn.is_finished());
    server.respond(2, ok("third"));
    let output = server.output();
    assert_that!(output.matches("HTTP/1.1 200").count(), eq(3));
    assert_that!(output.matches("connection: close").count(), eq(1));
    assert!(output.find("connection: close") > output.find("second"));
    assert!(server.conn.is_finished());
}

/// Guards against a close that crosses a request of the caller, which would get no response.
#[test]
fn an_idle_connection_serves_one_more_request_after_a_close() {
    let mut server = Server::new(limits());
    server.receive(GET);
    server.respond(0, ok("a"));
    server.conn.close();
    assert!(!server.output().contains("connection: close\r\n"));
    assert!(!server.conn.is_finished());
    server.receive(GET);
    server.respond(1, ok("b"));
    assert_that!(server.output(), contains_substring("connection: close\r\n"));
    assert!(server.conn.is_finished());
}

/// Guards against memory without a bound: a caller that pipelines without end, or reads nothing.
#[test]
fn the_read_ahead_is_bounded() {
    let read_ahead = ReadAhead::try_from((4, 1_000)).unwrap();
    let limits = Limits {
        read_ahead,
        header_bytes: 500,
        ..limits()
    };
    let mut server = Server::new(limits);
    server.receive(&GET.repeat(100));
    assert_that!(server.keys.len(), eq(4));
    assert!(!server.conn.wants_input());
    server.respond(1, ok(&"x".repeat(1_000)));
    server.respond(0, ok("first"));
    // Two are answered, but the responses are not read.
    assert_that!(server.keys.len(), eq(4));
    server.output();
    server.poll();
    assert_that!(server.keys.len(), eq(6));

    let mut server = Server::new(limits);
    server.may_read_ahead = false;
    server.receive(&GET.repeat(2));
    assert_that!(server.keys.len(), eq(1));
}

/// Guards against connections that are held open by a caller that sends or reads nothing.
#[test]
fn timeouts_end_the_connection() {
    let ms = Duration::from_millis;
    let limits = Limits {
        header_timeout: ms(100),
        idle_timeout: ms(1_000),
        ..limits()
    };
    let mut idle = Server::new(limits);
    assert_that!(idle.conn.timeout_at(), some(eq(Time::from_millis(1_000))));
    idle.conn.handle_timeout(Time::from_millis(999));
    assert!(!idle.conn.is_finished());
    idle.conn.handle_timeout(Time::from_millis(1_000));
    assert!(idle.conn.is_finished());

    let mut slow = Server::new(limits);
    slow.receive("GET /a HTT");
    assert_that!(slow.conn.timeout_at(), some(eq(Time::from_millis(100))));
    slow.now = Time::from_millis(100);
    slow.poll();
    assert_that!(slow.errors, elements_are![eq(&ParseError::HeadTimeout)]);

    let mut running = Server::new(limits);
    running.receive(GET);
    assert_that!(running.conn.timeout_at(), none());
    running.respond(0, ok("a"));
    running.conn.handle_timeout(Time::from_millis(1_000));
    assert!(running.conn.is_finished(), "the response is not read");
}

/// Guards against callers that wait for an interim response before they send a body, and against
/// one before the response to an earlier request.
#[test]
fn an_interim_response_is_sent_in_its_turn() {
    let mut server = Server::new(limits());
    server.receive(&format!(
        "{GET}POST /a HTTP/1.1\r\nhost: h\r\nexpect: 100-Continue\r\ncontent-length: 1\r\n\r\n"
    ));
    assert_that!(server.output(), eq(""));
    server.respond(0, ok("first"));
    assert_that!(
        server.output(),
        ends_with("firstHTTP/1.1 100 Continue\r\n\r\n")
    );
    server.receive("x");
    server.respond(1, ok("second"));
    assert_that!(server.output(), starts_with("HTTP/1.1 200 OK"));
}

/// Guards against bodies where HTTP has none, which a caller would take for the next response.
#[test]
fn responses_without_a_body_have_none() {
    let mut server = Server::new(limits());
    server.receive("HEAD /a HTTP/1.1\r\nhost: h\r\n\r\n");
    server.receive(GET);
    server.respond(0, ok("body"));
    server.respond(1, text(204, "body"));
    assert!(!server.output().contains("body"));
}

/// Guards against settings with which no request would ever be read.
#[test]
fn read_ahead_settings_are_checked() {
    let requests = |requests| Err(ReadAheadError::Requests { requests });
    assert_that!(ReadAhead::try_from((0, 1)), eq(requests(0)));
    assert_that!(ReadAhead::try_from((1_025, 1)), eq(requests(1_025)));
    assert_that!(ReadAhead::try_from((1, 0)), eq(Err(ReadAheadError::Bytes)));
    assert_that!(ReadAhead::try_from((1, 1)).is_ok(), eq(true));
}

/// Guards against bodies that are changed: their parts arrive whole and in order, trailers and chunk
/// extensions are dropped.
#[test]
fn bodies_are_decoded() {
    let mut server = Server::new(limits());
    server.receive(&format!(
        "POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: Chunked\r\n\r\n\
         3;x=\"y\"\r\nabc\r\n00a \r\n0123456789\r\n0\r\nt: u\r\n\r\n{GET}"
    ));
    assert_that!(server.bodies[0], eq("abc0123456789"));
    assert_that!(server.keys.len(), eq(2));
    assert!(server.has_ended[0]);
}

/// Guards against a `Head` event of an absolute target without its authority.
#[test]
fn a_head_has_its_target_and_headers() {
    let mut server = Server::new(limits());
    server.conn.input().extend_from_slice(
        b"\r\nGET http://h/a?b=c HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nX-A: 2\r\n\r\n",
    );
    let Some(Event::Head { head, .. }) = server.conn.poll(Time::ZERO, true) else {
        panic!("no head");
    };
    assert_that!(head.uri.path_and_query().unwrap().as_str(), eq("/a?b=c"));
    assert_that!(head.uri.host(), some(eq("h")));
    assert_that!(head.headers.get_all("x-a").iter().count(), eq(2));
}
