//! Measures the time that a span adds to the request path: `cargo run --release -p ops --example
//! cost`.
//!
//! Each request starts an `entry` span without a parent and a `target` span as its child. The
//! collector is a closed port, so that the export thread discards the spans; when the queue of
//! that thread is full, new spans are dropped, as under overload.

use std::time::Instant;

use ops::{TraceCfg, TraceContext, Tracer};

const REQUESTS: u32 = 200_000;
const SPANS_PER_REQUEST: u32 = 2;
const ROUNDS: u32 = 5;

/// Starts and ends the spans of one request and returns the `traceparent` header for the target.
fn trace_request(tracer: &Tracer) -> Option<String> {
    let mut entry = tracer.start("entry", &TraceContext::default());
    entry.set_attribute("briarlug.code", 0_i64);
    let target = tracer.start("target", entry.context());
    target.context().to_header()
}

/// Returns the time per span in nanoseconds of the fastest round, the one least disturbed by other
/// load on the machine.
fn fastest_ns_per_span(tracer: &Tracer) -> f64 {
    let round = || {
        let started_at = Instant::now();
        for _ in 0..REQUESTS {
            std::hint::black_box(trace_request(tracer));
        }
        started_at.elapsed().as_nanos() as f64 / f64::from(REQUESTS * SPANS_PER_REQUEST)
    };
    (0..ROUNDS).map(|_| round()).fold(f64::INFINITY, f64::min)
}

fn main() -> Result<(), ops::TraceError> {
    println!("sample  ns per span");
    println!(
        "{:<7} {:>11.0}",
        "off",
        fastest_ns_per_span(&Tracer::disabled())
    );
    for sample in [0.0, 0.01, 1.0] {
        let tracer = Tracer::new(&TraceCfg {
            endpoint: "http://127.0.0.1:1/v1/traces".to_owned(),
            sample_ratio: sample,
            instance: "cost".to_owned(),
        })?;
        println!("{sample:<7} {:>11.0}", fastest_ns_per_span(&tracer));
        tracer.shutdown();
    }
    Ok(())
}
