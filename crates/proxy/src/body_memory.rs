//! Account of the memory that bodies take while they are read.

use std::sync::atomic::Ordering;

use crate::shared::Shared;

/// The node's memory for bodies is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OutOfMemory;

/// The part of the node's memory for bodies that one body takes while it is read; released on drop.
#[derive(Debug)]
pub(crate) struct BodyMemory<'a> {
    shared: &'a Shared,
    bytes: usize,
}

impl<'a> BodyMemory<'a> {
    pub(crate) fn new(shared: &'a Shared) -> BodyMemory<'a> {
        BodyMemory { shared, bytes: 0 }
    }

    /// Counts `bytes` more. Fails if all bodies together exceed the node's limit.
    pub(crate) fn add(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        self.bytes += bytes;
        let held_bytes = &self.shared.held_body_bytes;
        let total_bytes = held_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if total_bytes > self.shared.max_held_body_bytes() {
            return Err(OutOfMemory);
        }
        Ok(())
    }
}

impl Drop for BodyMemory<'_> {
    fn drop(&mut self) {
        self.shared
            .held_body_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
