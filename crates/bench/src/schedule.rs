//! The event queue of the simulated cases, on a virtual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use wire::Time;

/// Events ordered by due time; those of the same time are ordered by insertion.
#[derive(Debug)]
pub(crate) struct Schedule<E> {
    heap: BinaryHeap<Reverse<(Time, u64, Unordered<E>)>>,
    /// Number of events pushed so far; breaks ties between events of the same time.
    push_count: u64,
}

/// Wraps an event so that the heap's order ignores it.
#[derive(Debug)]
struct Unordered<E>(E);

impl<E> PartialEq for Unordered<E> {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl<E> Eq for Unordered<E> {}

impl<E> PartialOrd for Unordered<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Unordered<E> {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl<E> Schedule<E> {
    pub(crate) fn new() -> Self {
        Schedule {
            heap: BinaryHeap::new(),
            push_count: 0,
        }
    }

    /// Adds an event that is due at `at`.
    pub(crate) fn push(&mut self, at: Time, event: E) {
        self.push_count += 1;
        self.heap
            .push(Reverse((at, self.push_count, Unordered(event))));
    }

    /// Removes and returns the event that is due first.
    pub(crate) fn pop(&mut self) -> Option<(Time, E)> {
        self.heap
            .pop()
            .map(|Reverse((at, _, Unordered(event)))| (at, event))
    }
}
