//! Random interleavings of a pipelining caller, of the completion of its requests, and of a close.

mod common;

use common::{Server, limits, ok};
use http1::{Limits, ReadAhead};
use proptest::prelude::*;

/// A request as the caller sends it.
#[derive(Clone, Debug)]
enum Sent {
    Plain,
    WithLength(usize),
    Chunked(Vec<usize>),
}

impl Sent {
    fn body(&self) -> String {
        let len = match self {
            Sent::Plain => 0,
            Sent::WithLength(len) => *len,
            Sent::Chunked(chunks) => chunks.iter().sum(),
        };
        "b".repeat(len)
    }

    fn encode(&self, index: usize) -> String {
        let line = format!("GET /{index} HTTP/1.1\r\nhost: h\r\n");
        match self {
            Sent::Plain => format!("{line}\r\n"),
            Sent::WithLength(len) => {
                format!("{line}content-length: {len}\r\n\r\n{}", self.body())
            }
            Sent::Chunked(chunks) => {
                let parts: String = chunks
                    .iter()
                    .map(|n| format!("{n:x}\r\n{}\r\n", "b".repeat(*n)))
                    .collect();
                format!("{line}transfer-encoding: chunked\r\n\r\n{parts}0\r\n\r\n")
            }
        }
    }
}

fn sent() -> impl Strategy<Value = Sent> {
    prop_oneof![
        Just(Sent::Plain),
        (0..300_usize).prop_map(Sent::WithLength),
        prop::collection::vec(1..200_usize, 0..4).prop_map(Sent::Chunked),
    ]
}

proptest! {
    /// Guards against requests that depend on how the network splits the bytes, against responses
    /// out of order, lost or doubled, and against requests that run behind a close.
    #[test]
    fn each_request_gets_its_response_in_order(
        requests in prop::collection::vec(sent(), 1..12),
        splits in prop::collection::vec(1..400_usize, 1..60),
        choices in prop::collection::vec(any::<prop::sample::Index>(), 1..60),
        read_ahead in 1..6_usize,
        close_after in prop::option::of(0..60_usize),
    ) {
        let limits = Limits {
            read_ahead: ReadAhead::try_from((read_ahead, 2_000)).unwrap(),
            ..limits()
        };
        let mut server = Server::new(limits);
        let stream: String = requests.iter().enumerate().map(|(i, r)| r.encode(i)).collect();
        let (mut at, mut output) = (0, String::new());
        let mut open: Vec<usize> = Vec::new();
        let mut seen = 0;
        for step in 0.. {
            if close_after == Some(step) {
                server.conn.close();
            }
            if server.conn.wants_input() && at < stream.len() {
                let end = stream.len().min(at + splits[step % splits.len()]);
                server.receive(&stream[at..end]);
                at = end;
            }
            open.extend(seen..server.keys.len());
            seen = server.keys.len();
            prop_assert!(open.len() <= read_ahead);
            let choice = choices[step % choices.len()];
            let ready: Vec<usize> = open.iter().copied().filter(|i| server.has_ended[*i]).collect();
            if !ready.is_empty() {
                let index = *choice.get(&ready);
                open.retain(|i| *i != index);
                server.respond(index, ok(&format!("<{index}>")));
            }
            output.push_str(&server.output());
            server.poll();
            let is_idle = open.is_empty() && seen == server.keys.len();
            if server.conn.is_finished() || (is_idle && at == stream.len()) {
                break;
            }
        }
        prop_assert!(server.errors.is_empty());
        let answered = output.matches("HTTP/1.1 200").count();
        prop_assert_eq!(answered, server.keys.len(), "all that were read are answered");
        let order: Vec<usize> = (0..answered).map(|i| output.find(&format!("<{i}>")).unwrap()).collect();
        prop_assert!(order.is_sorted());
        for (i, request) in requests.iter().enumerate().take(answered) {
            prop_assert_eq!(&server.paths[i], &format!("/{i}"));
            prop_assert_eq!(&server.bodies[i], &request.body());
        }
        if close_after.is_none() {
            prop_assert_eq!(answered, requests.len());
            prop_assert!(!output.contains("connection: close"));
        } else if server.conn.is_finished() && answered > 0 {
            prop_assert!(output.matches("connection: close").count() <= 1);
        }
        prop_assert_eq!(server.conn.held_bytes(), 0);
        prop_assert_eq!(server.conn.unanswered(), 0);
    }

    /// Guards against panics and endless loops on bytes that are no HTTP.
    #[test]
    fn arbitrary_bytes_are_handled(
        parts in prop::collection::vec(prop_oneof![
            prop::collection::vec(any::<u8>(), 0..40),
            "[ -~\r\n]{0,40}".prop_map(String::into_bytes),
            Just(b"GET / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n".to_vec()),
            Just(b"\r\n\r\n".to_vec()),
        ], 0..20),
    ) {
        let mut server = Server::new(limits());
        for part in parts {
            server.conn.input().extend_from_slice(&part);
            while server.conn.poll(server.now, true).is_some() {}
        }
        prop_assert!(server.conn.input().len() <= 70_000);
    }
}
