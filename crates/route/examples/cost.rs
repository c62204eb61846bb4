//! Measures the time of `pick`, `begin` and `end` for services of several sizes.
//!
//! Run with `cargo run --release -p route --example cost`.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use route::{InstanceView, OutcomeKind, PickRequest, Picker, PickerCfg, RouteKey, State, Ticket};
use wire::{Domain, InstanceId, Time};

const REQUESTS: u64 = 1_000_000;
/// Number of requests in flight.
const IN_FLIGHT: usize = 32;
/// Time between two requests on the picker's clock.
const REQUEST_INTERVAL: Duration = Duration::from_micros(100);

fn main() {
    println!("instances  subset  ns per pick+begin+end");
    for (instances, subset) in [(4, 20), (40, 20), (40, 400), (400, 20), (400, 400)] {
        println!(
            "{instances:>9}  {subset:>6}  {:>8.0}",
            ns_per_request(instances, subset)
        );
    }
}

fn ns_per_request(instances: u64, subset: usize) -> f64 {
    let cfg = PickerCfg {
        subset,
        ..PickerCfg::new(InstanceId(1_000_000), Domain::from("a"))
    };
    let mut picker = Picker::new(cfg, 1);
    let views: Vec<InstanceView> = (0..instances).map(view).collect();
    picker.set_instances(Time::ZERO, &views);
    let mut in_flight: VecDeque<Ticket> = VecDeque::new();
    let mut now = Time::ZERO;
    let started = Instant::now();
    for _ in 0..REQUESTS {
        now = now + REQUEST_INTERVAL;
        if in_flight.len() == IN_FLIGHT
            && let Some(ticket) = in_flight.pop_front()
        {
            picker.end(now, ticket, OutcomeKind::Ok.into());
        }
        if let Some(pick) = picker.pick(now, &PickRequest::default()) {
            in_flight.push_back(picker.begin(now, pick.id, RouteKey(1)));
        }
    }
    started.elapsed().as_secs_f64() * 1e9 / REQUESTS as f64
}

fn view(i: u64) -> InstanceView {
    InstanceView {
        id: InstanceId(i),
        domain: Domain::from(["a", "b", "c"][i as usize % 3]),
        slots: 6,
        state: State::Ready,
        is_fresh: false,
    }
}
