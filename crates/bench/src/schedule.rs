//! Events on a virtual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use wire::Time;

/// A queue of events ordered by time, then by order of insertion.
#[derive(Debug)]
pub(crate) struct Schedule<E> {
    heap: BinaryHeap<Reverse<(Time, u64, Slot<E>)>>,
    inserted: u64,
}

/// Carries an event through the heap without taking part in the order.
#[derive(Debug)]
struct Slot<E>(E);

impl<E> PartialEq for Slot<E> {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl<E> Eq for Slot<E> {}

impl<E> PartialOrd for Slot<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Slot<E> {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl<E> Schedule<E> {
    pub(crate) fn new() -> Self {
        Schedule {
            heap: BinaryHeap::new(),
            inserted: 0,
        }
    }

    /// Adds an event that is due at `at`.
    pub(crate) fn push(&mut self, at: Time, event: E) {
        self.inserted += 1;
        self.heap.push(Reverse((at, self.inserted, Slot(event))));
    }

    /// Takes the earliest event.
    pub(crate) fn pop(&mut self) -> Option<(Time, E)> {
        self.heap
            .pop()
            .map(|Reverse((at, _, Slot(event)))| (at, event))
    }
}
