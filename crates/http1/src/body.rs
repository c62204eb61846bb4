//! Framing and decoding of request bodies.

use bytes::{Buf, Bytes, BytesMut};
use http::Version;
use http::header::{self, HeaderMap};

use crate::head::ParseError;

/// Largest size of a chunk's header line, and of the trailer section, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 1_024;
const MAX_TRAILER_BYTES: usize = 8_192;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    Length(u64),
    Chunked,
}

impl TryFrom<(&HeaderMap, Version)> for Framing {
    type Error = ParseError;

    /// Determines the framing of a request. Rejects each combination on which parsers disagree: it
    /// allows request smuggling (RFC 9112, section 6.3).
    fn try_from((headers, version): (&HeaderMap, Version)) -> Result<Framing, ParseError> {
        let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
        let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
        match (lengths.next(), codings.next()) {
            (None, None) => Ok(Framing::Length(0)),
            (Some(length), None) if lengths.next().is_none() => parse_length(length.as_bytes()),
            (None, Some(_)) if version == Version::HTTP_11 && codings.next().is_none() => {
                let is_chunked = headers
                    .get(header::TRANSFER_ENCODING)
                    .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"chunked"));
                is_chunked
                    .then_some(Framing::Chunked)
                    .ok_or(ParseError::Head)
            }
            _ => Err(ParseError::Head),
        }
    }
}

fn parse_length(text: &[u8]) -> Result<Framing, ParseError> {
    if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
        return Err(ParseError::Head);
    }
    let digits = std::str::from_utf8(text).map_err(|_| ParseError::Head)?;
    let length = digits.parse().map_err(|_| ParseError::BodyTooLarge)?;
    Ok(Framing::Length(length))
}

/// Decoder of one body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Decoder {
    state: State,
    /// Bytes that the body may still have.
    allowed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Bytes of a body with a known length that are missing.
    Length(u64),
    /// Before the header line of a chunk.
    ChunkHeader,
    /// Bytes of a chunk that are missing.
    ChunkData(u64),
    /// Before the line end of a chunk.
    ChunkEnd,
    /// In the trailer section, whose lines up to here had this many bytes.
    Trailers(usize),
    End,
}

impl Decoder {
    /// Makes a decoder for a body of at most `max_bytes`.
    pub(crate) fn new(framing: Framing, max_bytes: usize) -> Result<Decoder, ParseError> {
        let max_bytes = max_bytes as u64;
        let state = match framing {
            Framing::Length(0) => State::End,
            Framing::Length(n) if n > max_bytes => return Err(ParseError::BodyTooLarge),
            Framing::Length(n) => State::Length(n),
            Framing::Chunked => State::ChunkHeader,
        };
        Ok(Decoder {
            state,
            allowed: max_bytes,
        })
    }

    pub(crate) fn is_at_end(&self) -> bool {
        self.state == State::End
    }

    /// Removes the next part of the body from `buf`. Returns `None` if more bytes must be received
    /// or the body has ended.
    pub(crate) fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Bytes>, ParseError> {
        loop {
            match self.state {
                State::End => return Ok(None),
                State::Length(missing) => {
                    let Some((data, missing)) = take_data(buf, missing) else {
                        return Ok(None);
                    };
                    self.state = match missing {
                        0 => State::End,
                        _ => State::Length(missing),
                    };
                    return Ok(Some(data));
                }
                State::ChunkData(missing) => {
                    let Some((data, missing)) = take_data(buf, missing) else {
                        return Ok(None);
                    };
                    self.state = match missing {
                        0 => State::ChunkEnd,
                        _ => State::ChunkData(missing),
                    };
                    return Ok(Some(data));
                }
                State::ChunkHeader => {
                    let Some(line) = take_line(buf, MAX_CHUNK_LINE_BYTES)? else {
                        return Ok(None);
                    };
                    let size = parse_chunk_size(&line)?;
                    self.allowed = self
                        .allowed
                        .checked_sub(size)
                        .ok_or(ParseError::BodyTooLarge)?;
                    self.state = match size {
                        0 => State::Trailers(0),
                        _ => State::ChunkData(size),
                    };
                }
                State::ChunkEnd => {
                    let Some(line) = take_line(buf, 0)? else {
                        return Ok(None);
                    };
                    if !line.is_empty() {
                        return Err(ParseError::Body);
                    }
                    self.state = State::ChunkHeader;
                }
                State::Trailers(bytes) => {
                    let Some(line) = take_line(buf, MAX_TRAILER_BYTES - bytes)? else {
                        return Ok(None);
                    };
                    // Trailers are dropped, as a recipient may (RFC 9110, section 6.5.1).
                    self.state = match line.len() {
                        0 => State::End,
                        n if bytes + n >= MAX_TRAILER_BYTES => return Err(ParseError::Body),
                        n => State::Trailers(bytes + n),
                    };
                }
            }
        }
    }
}

fn take_data(buf: &mut BytesMut, missing: u64) -> Option<(Bytes, u64)> {
    let len = buf
        .len()
        .min(usize::try_from(missing).unwrap_or(usize::MAX));
    if len == 0 {
        return None;
    }
    Some((buf.split_to(len).freeze(), missing - len as u64))
}

/// Removes a line from `buf` and returns it without its end. Fails if the line has more than
/// `max_bytes` or ends with a bare line feed.
fn take_line(buf: &mut BytesMut, max_bytes: usize) -> Result<Option<Bytes>, ParseError> {
    let window = &buf[..buf.len().min(max_bytes + 2)];
    let Some(at) = window.iter().position(|b| *b == b'\n') else {
        let is_too_long = buf.len() >= max_bytes + 2;
        return if is_too_long {
            Err(ParseError::Body)
        } else {
            Ok(None)
        };
    };
    if at == 0 || buf[at - 1] != b'\r' {
        return Err(ParseError::Body);
    }
    let line = buf.split_to(at - 1).freeze();
    buf.advance(2);
    Ok(Some(line))
}

/// Parses the header line of a chunk; extensions are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<u64, ParseError> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(ParseError::Body);
    }
    let digits = std::str::from_utf8(digits).map_err(|_| ParseError::Body)?;
    u64::from_str_radix(digits, 16).map_err(|_| ParseError::BodyTooLarge)
}
