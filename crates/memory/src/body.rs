//! Bodies of messages, in segments.

use std::sync::Arc;

use bytes::{Buf, Bytes};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::account::{Account, Charge, OutOfMemory, Tally, Use};
use crate::segment::{self, Segment};

/// A complete body. Clones share the memory; a segment is freed with the last clone or slice of it.
#[derive(Clone, Debug, Default)]
pub struct Body {
    /// Empty for an empty body. Most bodies have no other part.
    first: Bytes,
    rest: Vec<Bytes>,
    len: usize,
}

impl Body {
    /// Returns the length in bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the body is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the parts in order, none of them empty.
    pub fn parts(&self) -> impl Iterator<Item = &Bytes> {
        let first = Some(&self.first).filter(|p| !p.is_empty());
        first.into_iter().chain(&self.rest)
    }

    /// Returns the parts in order, none of them empty.
    pub fn into_parts(self) -> impl Iterator<Item = Bytes> {
        let first = Some(self.first).filter(|p| !p.is_empty());
        first.into_iter().chain(self.rest)
    }

    /// Returns the bytes from `start` to `end`, at most `end - start`; copies only where they cross
    /// from one part into another.
    pub fn slice(&self, start: usize, end: usize) -> Bytes {
        let mut at = 0;
        let mut copied = Vec::new();
        for part in self.parts() {
            let (from, to) = (start.max(at), end.min(at + part.len()));
            if from < to {
                let slice = part.slice(from - at..to - at);
                if to == end || end <= at + part.len() {
                    if copied.is_empty() {
                        return slice;
                    }
                    copied.extend_from_slice(&slice);
                    break;
                }
                copied.extend_from_slice(&slice);
            }
            at += part.len();
        }
        copied.into()
    }

    /// Makes a body of bytes that are there already, and count in `charge`.
    pub fn received(bytes: Bytes, charge: Charge) -> Body {
        if bytes.is_empty() {
            return Body::default();
        }
        Bytes::from_owner(Received {
            bytes,
            _charge: charge,
        })
        .into()
    }

    fn push(&mut self, part: Bytes) {
        self.len += part.len();
        if self.first.is_empty() {
            self.first = part;
        } else if !part.is_empty() {
            self.rest.push(part);
        }
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Body {
        Body {
            len: bytes.len(),
            first: bytes,
            rest: Vec::new(),
        }
    }
}

impl Serialize for Body {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if self.rest.is_empty() {
            return serializer.serialize_bytes(&self.first);
        }
        serializer.serialize_bytes(&self.slice(0, self.len))
    }
}

impl<'de> Deserialize<'de> for Body {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Body, D::Error> {
        Bytes::deserialize(deserializer).map(Body::from)
    }
}

/// Bytes with the charge that they count in.
struct Received {
    bytes: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for Received {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Builds a [`Body`] from its parts as they arrive. Each segment is charged before it is allocated.
#[derive(Debug)]
pub struct BodyWriter {
    body: Body,
    segment: Option<Segment>,
    usage: Use,
    /// Charged and not allocated.
    reserved: Charge,
    /// Bytes that are to come; `None` if that is not known.
    missing: Option<usize>,
}

impl BodyWriter {
    /// Starts a body of `len` bytes, and reserves memory for all of it.
    ///
    /// # Errors
    ///
    /// Fails if the account can't hold the whole body.
    pub fn with_len(
        account: &Arc<Account>,
        tally: Option<&Tally>,
        usage: Use,
        len: usize,
    ) -> Result<BodyWriter, OutOfMemory> {
        let mut writer = BodyWriter::new(account, tally, Use::of(len, usage));
        writer.reserved.try_add(writer.usage, len)?;
        writer.missing = Some(len);
        Ok(writer)
    }

    /// Starts a body of unknown length.
    pub fn new(account: &Arc<Account>, tally: Option<&Tally>, usage: Use) -> BodyWriter {
        BodyWriter {
            body: Body::default(),
            segment: None,
            usage,
            reserved: account.charge(tally),
            missing: None,
        }
    }

    /// Returns the number of bytes written.
    pub fn len(&self) -> usize {
        self.body.len + self.segment.as_ref().map_or(0, |s| s.as_ref().len())
    }

    /// Returns whether nothing has been written.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends `data`, and removes from it what has been appended.
    ///
    /// # Errors
    ///
    /// Fails if the account can't hold more; a later call may succeed with what is left of `data`.
    pub fn write(&mut self, data: &mut Bytes) -> Result<(), OutOfMemory> {
        while !data.is_empty() {
            let mut segment = match self.segment.take() {
                Some(segment) => segment,
                None => self.allocate()?,
            };
            let len = segment.fill(data);
            data.advance(len);
            self.missing = self.missing.map(|m| m.saturating_sub(len));
            if segment.is_full() {
                self.body.push(segment.freeze());
            } else {
                self.segment = Some(segment);
            }
        }
        Ok(())
    }

    /// Ends the body.
    pub fn finish(mut self) -> Body {
        if let Some(segment) = self.segment {
            self.body.push(segment.freeze());
        }
        self.body
    }

    fn allocate(&mut self) -> Result<Segment, OutOfMemory> {
        let missing = self.missing.filter(|m| *m > 0);
        let size = segment::next_size(self.body.len, missing);
        let lacking = size.saturating_sub(self.reserved.bytes());
        if lacking > 0 {
            let usage = Use::of(self.body.len + size, self.usage);
            self.reserved.try_add(usage, lacking)?;
        }
        Ok(Segment::new(self.reserved.split(size)))
    }
}
