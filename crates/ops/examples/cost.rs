//! Cost of a span on the path of a request: `cargo run --release -p ops --example cost`.
//!
//! A request is an `entry` span under no parent and a `target` span below it. The collector is a
//! closed port, so the export thread drops what it is given; a batch that is full drops spans at
//! the source, as it does under overload.

use std::time::Instant;

use ops::{ParentContext, TraceCfg, Tracer};

const REQUESTS: u32 = 200_000;
const SPANS_PER_REQUEST: u32 = 2;
const ROUNDS: u32 = 5;

fn request(tracer: &Tracer) -> Option<String> {
    let mut entry = tracer.start("entry", &ParentContext::default());
    entry.set("briarlug.code", 0_i64);
    let target = tracer.start("target", entry.context());
    target.context().to_header()
}

/// Returns the nanoseconds per span of the fastest round, which other work disturbed least.
fn measure(tracer: &Tracer) -> f64 {
    let round = || {
        let began = Instant::now();
        for _ in 0..REQUESTS {
            std::hint::black_box(request(tracer));
        }
        began.elapsed().as_nanos() as f64 / f64::from(REQUESTS * SPANS_PER_REQUEST)
    };
    (0..ROUNDS).map(|_| round()).fold(f64::INFINITY, f64::min)
}

fn main() -> Result<(), ops::TraceError> {
    println!("sample  ns per span");
    println!("{:<7} {:>11.0}", "off", measure(&Tracer::off()));
    for sample in [0.0, 0.01, 1.0] {
        let tracer = Tracer::new(&TraceCfg {
            endpoint: "http://127.0.0.1:1/v1/traces".to_owned(),
            sample,
            instance: "cost".to_owned(),
        })?;
        println!("{sample:<7} {:>11.0}", measure(&tracer));
        tracer.shutdown();
    }
    Ok(())
}
