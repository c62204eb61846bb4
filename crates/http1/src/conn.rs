//! State of a connection.

use std::collections::VecDeque;

use bytes::{Buf, Bytes, BytesMut};
use http::{Method, Response};
use memory::Body;
use slotmap::{SlotMap, new_key_type};
use wire::Time;

use crate::body::Decoder;
use crate::head::{self, HeadScanner, ParseError, ParsedHead, RequestHead};
use crate::limits::Limits;
use crate::response::{self, CONTINUE};

new_key_type! {
    /// Identifies a request for the lifetime of its connection.
    pub struct RequestKey;
}

/// What the connection has read, or a change that a request waits for.
#[derive(Debug)]
pub enum Event {
    /// The head of a request has arrived. Unless `has_body` is false, `Body` events and `BodyEnd`
    /// follow, or `Invalid`.
    Head {
        /// The request.
        key: RequestKey,
        /// Method, target and headers.
        head: RequestHead,
        /// Whether a body follows.
        has_body: bool,
        /// Whether all earlier requests have a response; otherwise `Next` follows.
        is_next: bool,
    },
    /// A part of a request's body has arrived.
    Body {
        /// The request.
        key: RequestKey,
        /// The part, never empty.
        data: Bytes,
    },
    /// The body of a request is complete.
    BodyEnd {
        /// The request.
        key: RequestKey,
    },
    /// All requests before this one have a response.
    Next {
        /// The request.
        key: RequestKey,
    },
    /// A request can't be read, so the connection reads no further ones. If the request's `Head`
    /// has been returned, the error is in its body.
    Invalid {
        /// The request, which needs a response.
        key: RequestKey,
        /// Why it can't be read.
        error: ParseError,
    },
}

/// The server side of a connection.
#[derive(Debug)]
pub struct Conn {
    limits: Limits,
    input: BytesMut,
    scanner: HeadScanner,
    reading: Reading,
    /// Requests without a response in `output`.
    exchanges: SlotMap<RequestKey, Exchange>,
    /// The same requests in the order in which they arrived.
    order: VecDeque<RequestKey>,
    /// Encoded responses that are not completely written.
    output: VecDeque<Chunk>,
    /// Bytes in `output`, and in responses that wait for earlier ones, until they are freed.
    held_bytes: usize,
    /// Bytes in `output` that `encode` has allocated.
    encoded_bytes: usize,
    /// The request of a `Next` event that has not been returned.
    next: Option<RequestKey>,
    /// When bytes were last received or written.
    active_at: Time,
    /// When the first byte of the head that is being read was seen.
    head_began_at: Option<Time>,
    is_closing: bool,
    is_broken: bool,
}

/// A part of the output.
#[derive(Debug)]
struct Chunk {
    bytes: Bytes,
    /// Length before any of it was written.
    len: usize,
    /// Whether `encode` has allocated it.
    is_encoded: bool,
    /// Whether a response ends with it.
    is_last: bool,
}

impl Chunk {
    fn encoded(bytes: Bytes) -> Chunk {
        Chunk {
            is_encoded: true,
            ..Chunk::of_body(bytes)
        }
    }

    fn of_body(bytes: Bytes) -> Chunk {
        Chunk {
            len: bytes.len(),
            bytes,
            is_encoded: false,
            is_last: false,
        }
    }
}

/// What the next received bytes belong to.
#[derive(Debug)]
enum Reading {
    Head,
    Body {
        key: RequestKey,
        decoder: Decoder,
    },
    /// No further request is read; received bytes are dropped.
    Stopped,
}

#[derive(Debug)]
struct Exchange {
    method: Method,
    keeps_alive: bool,
    expects_continue: bool,
    has_whole_body: bool,
    /// Whether the owner knows that all earlier requests have a response.
    is_next: bool,
    response: Option<Response<Body>>,
}

impl Conn {
    /// Makes the state of a connection that was accepted at `now`.
    pub fn new(limits: Limits, now: Time) -> Conn {
        Conn {
            limits,
            input: BytesMut::new(),
            scanner: HeadScanner::default(),
            reading: Reading::Head,
            exchanges: SlotMap::with_key(),
            order: VecDeque::new(),
            output: VecDeque::new(),
            held_bytes: 0,
            encoded_bytes: 0,
            next: None,
            active_at: now,
            head_began_at: None,
            is_closing: false,
            is_broken: false,
        }
    }

    /// Changes the limits, for the requests whose heads have not been read.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns the buffer to which received bytes are appended, before `poll`.
    pub fn input(&mut self) -> &mut BytesMut {
        &mut self.input
    }

    /// Returns whether more bytes should be received. They need not be while as many are held as
    /// the limits allow.
    pub fn wants_input(&self) -> bool {
        let max_bytes = self.limits.read_ahead.bytes();
        matches!(self.reading, Reading::Stopped)
            || self.input.len() < max_bytes.max(self.limits.header_bytes)
    }

    /// Records that bytes were received or written.
    pub fn record_activity(&mut self, now: Time) {
        self.active_at = now;
    }

    /// Returns the next event; `None` once bytes, a response or the end of a timeout is needed.
    /// While `may_read_ahead` is false, no request is read that would have to wait for others.
    pub fn poll(&mut self, now: Time, may_read_ahead: bool) -> Option<Event> {
        if let Some(key) = self.next.take() {
            return Some(Event::Next { key });
        }
        let event = match self.reading {
            Reading::Head => self.poll_head(now, may_read_ahead),
            Reading::Body { key, decoder } => self.poll_body(key, decoder),
            Reading::Stopped => None,
        };
        if matches!(self.reading, Reading::Stopped) || self.input.is_empty() {
            // Idle connections are many, and hold no buffer.
            self.input = BytesMut::new();
        }
        event
    }

    fn poll_head(&mut self, now: Time, may_read_ahead: bool) -> Option<Event> {
        if !self.may_start_request(may_read_ahead) {
            return None;
        }
        let taken = self.scanner.take(&mut self.input, self.limits.header_bytes);
        let began_at = *self.head_began_at.get_or_insert(now);
        let raw = match taken {
            Ok(Some(raw)) => raw,
            Ok(None) if self.input.is_empty() => {
                self.head_began_at = None;
                return None;
            }
            Ok(None) if now.since(began_at) < self.limits.header_timeout => return None,
            Ok(None) => return Some(self.reject(ParseError::HeadTimeout)),
            Err(e) => return Some(self.reject(e)),
        };
        self.head_began_at = None;
        let parsed = head::parse(&raw).and_then(|p| {
            let decoder = Decoder::new(p.framing, self.limits.body_bytes)?;
            Ok((p, decoder))
        });
        Some(match parsed {
            Ok((parsed, decoder)) => self.accept(parsed, decoder),
            Err(e) => self.reject(e),
        })
    }

    /// Returns whether a further request may be read: none is in progress, or the limits of the
    /// read-ahead allow one more.
    fn may_start_request(&self, may_read_ahead: bool) -> bool {
        let read_ahead = self.limits.read_ahead;
        let has_room = self.held_bytes < read_ahead.bytes();
        match self.order.len() {
            0 => has_room || self.output.is_empty(),
            n => has_room && may_read_ahead && n < read_ahead.requests(),
        }
    }

    fn accept(&mut self, parsed: ParsedHead, decoder: Decoder) -> Event {
        let has_body = !decoder.is_at_end();
        let is_next = self.order.is_empty();
        let key = self.exchanges.insert(Exchange {
            method: parsed.head.method.clone(),
            keeps_alive: parsed.keeps_alive,
            expects_continue: parsed.expects_continue,
            has_whole_body: !has_body,
            is_next,
            response: None,
        });
        self.order.push_back(key);
        self.reading = if has_body {
            Reading::Body { key, decoder }
        } else {
            Conn::reading_after(parsed.keeps_alive)
        };
        self.send_continue();
        Event::Head {
            key,
            head: parsed.head,
            has_body,
            is_next,
        }
    }

    /// Adds a request that can't be read; no further one is read.
    fn reject(&mut self, error: ParseError) -> Event {
        let key = self.exchanges.insert(Exchange {
            method: Method::GET,
            keeps_alive: false,
            expects_continue: false,
            has_whole_body: true,
            is_next: true,
            response: None,
        });
        self.order.push_back(key);
        self.head_began_at = None;
        self.reading = Reading::Stopped;
        Event::Invalid { key, error }
    }

    fn poll_body(&mut self, key: RequestKey, mut decoder: Decoder) -> Option<Event> {
        let decoded = decoder.decode(&mut self.input);
        self.reading = Reading::Body { key, decoder };
        match decoded {
            Ok(Some(data)) => Some(Event::Body { key, data }),
            Ok(None) if decoder.is_at_end() => {
                // The exchange exists: a response before the body's end stops the reading.
                let exchange = self.exchanges.get_mut(key)?;
                exchange.has_whole_body = true;
                self.reading = Conn::reading_after(exchange.keeps_alive);
                Some(Event::BodyEnd { key })
            }
            Ok(None) => None,
            Err(error) => {
                self.exchanges.get_mut(key)?.keeps_alive = false;
                self.reading = Reading::Stopped;
                Some(Event::Invalid { key, error })
            }
        }
    }

    fn reading_after(keeps_alive: bool) -> Reading {
        if keeps_alive {
            Reading::Head
        } else {
            Reading::Stopped
        }
    }

    /// Sets the response to a request. It is written after those to all earlier requests.
    pub fn respond(&mut self, key: RequestKey, response: Response<impl Into<Body>>) {
        let response = response.map(Into::into);
        let Some(exchange) = self.exchanges.get_mut(key) else {
            return;
        };
        self.held_bytes += response.body().len();
        exchange.response = Some(response);
        self.encode_ready();
    }

    /// Encodes the responses at the front of the order.
    fn encode_ready(&mut self) {
        while let Some(&key) = self.order.front() {
            let Some(response) = self.exchanges[key].response.take() else {
                break;
            };
            self.order.pop_front();
            let Some(exchange) = self.exchanges.remove(key) else {
                break;
            };
            let is_last = self.is_closing && self.order.is_empty();
            let closes = !exchange.keeps_alive || !exchange.has_whole_body || is_last;
            if closes {
                self.stop_reading();
            }
            self.held_bytes -= response.body().len();
            self.push_response(&exchange.method, response, closes);
        }
        self.send_continue();
        if let Some(&key) = self.order.front()
            && !std::mem::replace(&mut self.exchanges[key].is_next, true)
        {
            self.next = Some(key);
        }
    }

    /// Appends a response to the output. A large body is not copied behind its head.
    fn push_response(&mut self, method: &Method, response: Response<Body>, closes: bool) {
        let (head, body) = response::encode(method, response, closes);
        self.push(Chunk::encoded(head.freeze()));
        for part in body.into_parts() {
            self.push(Chunk::of_body(part));
        }
        self.end_response();
    }

    fn push(&mut self, chunk: Chunk) {
        self.held_bytes += chunk.len;
        if chunk.is_encoded {
            self.encoded_bytes += chunk.len;
        }
        self.output.push_back(chunk);
    }

    /// Marks the last chunk as the end of a response.
    fn end_response(&mut self) {
        if let Some(last) = self.output.back_mut() {
            last.is_last = true;
        }
    }

    /// Sends the interim response to the request that is next, if it waits for that.
    fn send_continue(&mut self) {
        let Some(&key) = self.order.front() else {
            return;
        };
        let exchange = &mut self.exchanges[key];
        if std::mem::take(&mut exchange.expects_continue) && !exchange.has_whole_body {
            self.push(Chunk::of_body(Bytes::from_static(CONTINUE)));
            self.end_response();
        }
    }

    /// Returns the bytes to write next.
    pub fn output(&self) -> Option<&[u8]> {
        self.output.front().map(|c| &c.bytes[..])
    }

    /// Records that `len` bytes of `output` were written.
    pub fn record_written(&mut self, now: Time, len: usize) {
        self.active_at = now;
        let Some(front) = self.output.front_mut() else {
            return;
        };
        front.bytes.advance(len);
        if !front.bytes.is_empty() {
            return;
        }
        self.held_bytes -= front.len;
        if front.is_encoded {
            self.encoded_bytes -= front.len;
        }
        self.output.pop_front();
    }

    /// Ends the connection with the response to the last request that has been received by then, or
    /// else to the next one. A request may be on its way, so an idle connection is not closed.
    pub fn close(&mut self) {
        self.is_closing = true;
    }

    fn stop_reading(&mut self) {
        self.reading = Reading::Stopped;
        self.head_began_at = None;
        self.input.clear();
    }

    /// Returns when `handle_timeout` is due, if no event comes first.
    pub fn timeout_at(&self) -> Option<Time> {
        if let Some(began_at) = self.head_began_at {
            return Some(began_at + self.limits.header_timeout);
        }
        let waits_for_caller = self.order.is_empty() || !self.output.is_empty();
        waits_for_caller.then(|| self.active_at + self.limits.idle_timeout)
    }

    /// Ends the connection if its caller has been idle or has read nothing for too long. The
    /// timeout of a head is an event of `poll`.
    pub fn handle_timeout(&mut self, now: Time) {
        let is_idle = now.since(self.active_at) >= self.limits.idle_timeout;
        if !is_idle || self.head_began_at.is_some() {
            return;
        }
        if !self.output.is_empty() {
            self.is_broken = true;
        } else if self.order.is_empty() {
            self.stop_reading();
        }
    }

    /// Returns the number of requests whose responses are not completely written.
    pub fn unanswered(&self) -> usize {
        self.order.len() + self.output.iter().filter(|c| c.is_last).count()
    }

    /// Returns the size of the buffer for received bytes that are not processed.
    pub fn input_bytes(&self) -> usize {
        self.input.capacity()
    }

    /// Returns the bytes that the connection has allocated for output: heads, and copies of small
    /// bodies behind them.
    pub fn encoded_bytes(&self) -> usize {
        self.encoded_bytes
    }

    /// Returns whether the caller is to send more of a request that it has begun.
    pub fn is_within_request(&self) -> bool {
        match self.reading {
            Reading::Head => self.head_began_at.is_some(),
            Reading::Body { .. } => true,
            Reading::Stopped => false,
        }
    }

    /// Returns the bytes of responses that are not freed.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns whether the connection should be closed: no further request is read, and all
    /// responses are written, or the caller reads none.
    pub fn is_finished(&self) -> bool {
        self.is_broken || (matches!(self.reading, Reading::Stopped) && self.unanswered() == 0)
    }
}
