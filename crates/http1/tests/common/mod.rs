//! A connection with the events that it has returned.

#![allow(dead_code)]

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http1::{Conn, Event, Limits, ParseError, ReadAhead, RequestKey};
use wire::Time;

pub(crate) fn limits() -> Limits {
    Limits {
        header_bytes: 4_000,
        body_bytes: 10_000,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(60),
        read_ahead: ReadAhead::default(),
    }
}

pub(crate) fn ok(body: &str) -> Response<Bytes> {
    text(200, body)
}

pub(crate) fn text(status: u16, body: &str) -> Response<Bytes> {
    let body = Bytes::copy_from_slice(body.as_bytes());
    Response::builder().status(status).body(body).unwrap()
}

/// A connection, and its requests in the order in which they arrived.
pub(crate) struct Server {
    pub(crate) conn: Conn,
    pub(crate) now: Time,
    pub(crate) may_read_ahead: bool,
    pub(crate) keys: Vec<RequestKey>,
    /// Paths; empty for a request that can't be read.
    pub(crate) paths: Vec<String>,
    pub(crate) bodies: Vec<String>,
    pub(crate) has_ended: Vec<bool>,
    pub(crate) is_next: Vec<bool>,
    pub(crate) errors: Vec<ParseError>,
}

impl Server {
    pub(crate) fn new(limits: Limits) -> Server {
        Server {
            conn: Conn::new(limits, Time::ZERO),
            now: Time::ZERO,
            may_read_ahead: true,
            keys: Vec::new(),
            paths: Vec::new(),
            bodies: Vec::new(),
            has_ended: Vec::new(),
            is_next: Vec::new(),
            errors: Vec::new(),
        }
    }

    pub(crate) fn receive(&mut self, bytes: &str) {
        self.conn.input().extend_from_slice(bytes.as_bytes());
        self.poll();
    }

    pub(crate) fn poll(&mut self) {
        while let Some(event) = self.conn.poll(self.now, self.may_read_ahead) {
            self.apply(event);
        }
    }

    fn apply(&mut self, event: Event) {
        let index = |key| self.keys.iter().position(|k| *k == key);
        match event {
            Event::Head {
                key,
                head,
                has_body,
                is_next,
            } => self.add(key, head.uri.path(), !has_body, is_next),
            Event::Body { key, data } => {
                let body = std::str::from_utf8(&data).unwrap();
                let at = index(key).unwrap();
                self.bodies[at].push_str(body);
            }
            Event::BodyEnd { key } => {
                let at = index(key).unwrap();
                self.has_ended[at] = true;
            }
            Event::Next { key } => {
                let at = index(key).unwrap();
                assert!(!self.is_next[at], "a request is next once");
                self.is_next[at] = true;
            }
            Event::Invalid { key, error } => {
                if index(key).is_none() {
                    self.add(key, "", true, true);
                }
                self.errors.push(error);
            }
        }
    }

    fn add(&mut self, key: RequestKey, path: &str, has_ended: bool, is_next: bool) {
        self.keys.push(key);
        self.paths.push(path.to_owned());
        self.bodies.push(String::new());
        self.has_ended.push(has_ended);
        self.is_next.push(is_next);
    }

    /// Responds to the request at `index`.
    pub(crate) fn respond(&mut self, index: usize, response: Response<Bytes>) {
        self.conn.respond(self.keys[index], response);
        self.poll();
    }

    /// Takes all output.
    pub(crate) fn output(&mut self) -> String {
        let mut all = Vec::new();
        while let Some(bytes) = self.conn.output() {
            let len = bytes.len();
            all.extend_from_slice(bytes);
            self.conn.record_written(self.now, len);
        }
        String::from_utf8(all).unwrap()
    }
}
