//! Prints the cost in nanoseconds of one offer, finish and poll with 0, 64 and 1,000 queued
//! requests.
//!
//! Run with `cargo run --release -p admit --example cost`.

use std::time::{Duration, Instant};

use admit::{Admission, Class, Event, Finish, Limits, Offer, RequestKey, Verdict};
use wire::Time;

const ROUNDS: u32 = 200_000;
const CALLERS: u64 = 8;

fn main() {
    for queued in [0, 64, 1_000] {
        let ns = measure(queued);
        println!("{queued:>5} queued: {ns:>6.0} ns per offer, finish and poll");
    }
}

fn measure(queued: u32) -> f64 {
    let limits = Limits {
        slots: 18,
        connections: 120,
        queue: queued * 4 + 64,
        cold_start: Duration::ZERO,
    };
    let mut admission = Admission::new(limits, Time::ZERO);
    let mut now = Time::ZERO;
    let mut running = std::collections::VecDeque::new();
    let mut caller = 0;
    let mut offer = |admission: &mut Admission, now| {
        caller = (caller + 1) % CALLERS;
        let offer = Offer {
            route: 1,
            operation: 1,
            class: Class::Auto,
            caller,
            deadline: now + Duration::from_secs(3_600),
        };
        admission.offer(now, &offer)
    };
    // Requests of an unknown route don't run concurrently, so one run of it has to finish first.
    if let Verdict::Run(key) = offer(&mut admission, now) {
        now = now + Duration::from_micros(10);
        admission.finish(now, key, Finish { is_complete: true });
    }
    let initial_running = if queued == 0 { 17 } else { 18 };
    for _ in 0..initial_running + queued {
        if let Verdict::Run(key) = offer(&mut admission, now) {
            running.push_back(key);
        }
    }
    let started = Instant::now();
    for _ in 0..ROUNDS {
        // The step is too short for the queue to count as overloaded.
        now = now + Duration::from_nanos(1_000);
        if let Verdict::Run(key) = offer(&mut admission, now) {
            running.push_back(key);
        }
        if let Some(key) = running.pop_front() {
            admission.finish(now, key, Finish { is_complete: true });
        }
        start_queued(&mut admission, now, &mut running);
    }
    let ns = started.elapsed().as_nanos() as f64 / f64::from(ROUNDS);
    eprintln!("at the end: {:?}", admission.load());
    ns
}

fn start_queued(
    admission: &mut Admission,
    now: Time,
    running: &mut std::collections::VecDeque<RequestKey>,
) {
    for event in admission.poll(now) {
        if let Event::Start(key) = event {
            running.push_back(key);
        }
    }
}
