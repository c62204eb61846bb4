//! Segments: the buffers of bodies, of which each counts in the account for as long as it exists.

use bytes::Bytes;
use memmap2::MmapMut;

use crate::account::{Charge, SMALL_BYTES};

/// Size of a segment of a large body.
pub(crate) const SEGMENT_BYTES: usize = 256 << 10;
/// Size of the first segment of a body of unknown length; most such bodies are small.
const FIRST_BYTES: usize = 8 << 10;

/// Returns the size of the next segment of a body of which `len` bytes are there, and `missing` more
/// will come if that is known.
pub(crate) fn next_size(len: usize, missing: Option<usize>) -> usize {
    match missing {
        Some(missing) => missing.min(SEGMENT_BYTES),
        None if len == 0 => FIRST_BYTES,
        None => len.min(SEGMENT_BYTES),
    }
}

#[derive(Debug)]
enum Storage {
    Heap(Vec<u8>),
    /// Pages of their own, which return to the system when they are freed. The heap keeps freed
    /// memory, and a peak of large bodies would stay resident.
    Pages(MmapMut),
}

/// A buffer that is being filled.
#[derive(Debug)]
pub(crate) struct Segment {
    storage: Storage,
    capacity: usize,
    filled: usize,
    _charge: Charge,
}

impl Segment {
    /// Allocates as many bytes as `charge` holds.
    pub(crate) fn new(charge: Charge) -> Segment {
        let capacity = charge.bytes();
        let pages = (capacity > SMALL_BYTES).then(|| MmapMut::map_anon(capacity));
        Segment {
            storage: match pages {
                Some(Ok(pages)) => Storage::Pages(pages),
                Some(Err(_)) | None => Storage::Heap(Vec::with_capacity(capacity)),
            },
            capacity,
            filled: 0,
            _charge: charge,
        }
    }

    /// Appends as much of `data` as there is room for; returns the number of bytes.
    pub(crate) fn fill(&mut self, data: &[u8]) -> usize {
        let len = data.len().min(self.capacity - self.filled);
        match &mut self.storage {
            Storage::Heap(buf) => buf.extend_from_slice(&data[..len]),
            Storage::Pages(pages) => {
                pages[self.filled..self.filled + len].copy_from_slice(&data[..len]);
            }
        }
        self.filled += len;
        len
    }

    pub(crate) fn is_full(&self) -> bool {
        self.filled == self.capacity
    }

    pub(crate) fn freeze(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for Segment {
    fn as_ref(&self) -> &[u8] {
        match &self.storage {
            Storage::Heap(buf) => buf,
            Storage::Pages(pages) => &pages[..self.filled],
        }
    }
}
