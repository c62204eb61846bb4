//! Ejection, probes and readmission.

use std::time::Duration;

use googletest::prelude::*;
use route::{
    InstanceView, Outcome, OutcomeKind, PickRequest, Picker, PickerCfg, RouteKey, State, Ticket,
};
use wire::{Code, Domain, InstanceId, Load, Time};

const SHORT: RouteKey = RouteKey(1);
const LONG: RouteKey = RouteKey(2);
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// A service of four instances with a simulated clock. A request is sent every 5 ms and ends after
/// a given latency.
struct Service {
    picker: Picker,
    now: Time,
    /// Attempts with the time of their end and their outcome.
    in_flight: Vec<(Time, Ticket, Outcome)>,
}

impl Service {
    /// Makes a service that has responded in 10 ms for 4 s.
    fn warm() -> Service {
        let cfg = PickerCfg::new(InstanceId(1_000), Domain::from("a"));
        let mut s = Service {
            picker: Picker::new(cfg, 3),
            now: Time::ZERO,
            in_flight: Vec::new(),
        };
        s.picker.set_instances(Time::ZERO, &[0, 1, 2, 3].map(view));
        s.run(Duration::from_secs(4), |_, _| (10, OutcomeKind::Ok));
        assert_eq!(s.ejected(), []);
        s
    }

    /// Runs for `time`. `respond` gets the instance and the number of the request, and returns the
    /// latency in milliseconds and the outcome.
    fn run(&mut self, time: Duration, mut respond: impl FnMut(u64, u64) -> (u64, OutcomeKind)) {
        self.run_on(SHORT, time, &mut respond);
    }

    /// Runs like `run`, with requests of `route`.
    fn run_on(
        &mut self,
        route: RouteKey,
        time: Duration,
        respond: &mut dyn FnMut(u64, u64) -> (u64, OutcomeKind),
    ) {
        let end = self.now + time;
        let mut n = 0;
        while self.now < end {
            self.now = self.now + REQUEST_INTERVAL;
            self.end_completed();
            let request = PickRequest {
                is_repeatable: true,
                ..PickRequest::default()
            };
            let id = self
                .picker
                .pick(self.now, &request)
                .expect("an instance")
                .id;
            let (ms, kind) = respond(id.0, n);
            self.send(route, id, ms, kind.into());
            n += 1;
        }
    }

    /// Sends a request now that ends after `ms` milliseconds with `outcome`.
    fn send(&mut self, route: RouteKey, id: InstanceId, ms: u64, outcome: Outcome) {
        let ticket = self.picker.begin(self.now, id, route);
        self.in_flight
            .push((self.now + Duration::from_millis(ms), ticket, outcome));
    }

    fn end_completed(&mut self) {
        let now = self.now;
        let (done, in_flight) = self.in_flight.drain(..).partition(|o| o.0 <= now);
        self.in_flight = in_flight;
        let done: Vec<(Time, Ticket, Outcome)> = done;
        for (_, ticket, outcome) in done {
            self.picker.end(now, ticket, outcome);
        }
    }

    fn ejected(&self) -> Vec<u64> {
        self.picker.ejected().map(|id| id.0).collect()
    }
}

fn view(id: u64) -> InstanceView {
    InstanceView {
        id: InstanceId(id),
        domain: Domain::from("a"),
        slots: 6,
        state: State::Ready,
        is_fresh: false,
    }
}

/// Response of a service in which instance 2 is slowed: its requests don't end during a test.
fn slowed(id: u64, _: u64) -> (u64, OutcomeKind) {
    (if id == 2 { 100_000 } else { 10 }, OutcomeKind::Ok)
}

/// Guards against detection that waits for responses: no request to the slowed instance ends.
#[gtest]
fn requests_in_flight_count_as_evidence() {
    let mut s = Service::warm();
    s.run(Duration::from_millis(500), slowed);
    expect_that!(s.ejected(), elements_are![eq(&2)]);
}

/// Guards against an instance that stays ejected after its recovery.
#[gtest]
fn recovered_instance_is_readmitted() {
    let mut s = Service::warm();
    s.run(Duration::from_secs(5), |id, _| {
        (if id == 2 { 100 } else { 10 }, OutcomeKind::Ok)
    });
    expect_that!(s.ejected(), elements_are![eq(&2)]);
    expect_that!(s.picker.stats().probes, le(12));
    s.run(Duration::from_secs(2), |_, _| (10, OutcomeKind::Ok));
    expect_that!(s.ejected(), is_empty());
}

/// Guards against ejections for reasons outside the instance, or for a moderate slowdown.
#[gtest]
fn no_ejection_without_cause() {
    type Respond = fn(u64, u64) -> (u64, OutcomeKind);
    let cases: [(&str, Respond); 6] = [
        ("all slowed tenfold", |_, _| (100, OutcomeKind::Ok)),
        ("all fail", |_, _| (1, OutcomeKind::ConnectionLost)),
        ("one is three times slower", |id, _| {
            (if id == 2 { 30 } else { 10 }, OutcomeKind::Ok)
        }),
        ("callers cancel", |id, _| {
            (if id == 2 { 15 } else { 10 }, OutcomeKind::Cancelled)
        }),
        ("short deadlines", |_, _| (2, OutcomeKind::TimedOut)),
        ("one is full", |id, _| {
            (
                1,
                if id == 2 {
                    OutcomeKind::Refused(Code::QueueFull)
                } else {
                    OutcomeKind::Ok
                },
            )
        }),
    ];
    for (name, respond) in cases {
        let mut s = Service::warm();
        s.run(Duration::from_secs(3), respond);
        expect_that!(s.picker.stats().ejections, eq(0), "{name}");
    }
}

/// Guards against suspicion of an instance that has always been slower than the others.
#[gtest]
fn steadily_slower_instance_is_not_ejected() {
    let mut s = Service::warm();
    for base in [20, 30] {
        s.run(Duration::from_secs(5), |id, n| {
            let slow = if id == 2 { base + n % 4 * 8 } else { 10 };
            (slow, OutcomeKind::Ok)
        });
    }
    expect_that!(s.picker.stats().ejections, eq(0));
}

/// Guards against ejection because of long requests, on a route of their own or as single ones
/// among short requests.
#[gtest]
fn long_requests_do_not_eject() {
    let mut s = Service::warm();
    s.run_on(LONG, Duration::from_secs(1), &mut |_, _| {
        (1_000, OutcomeKind::Ok)
    });
    s.run(Duration::from_secs(3), |_, _| (10, OutcomeKind::Ok));
    expect_that!(s.picker.stats().ejections, eq(0));
    let mut s = Service::warm();
    s.send(SHORT, InstanceId(2), 60_000, OutcomeKind::Ok.into());
    s.run(Duration::from_secs(3), |_, _| (10, OutcomeKind::Ok));
    expect_that!(s.picker.stats().ejections, eq(0));
}

/// Guards against a false ejection that uses up the limit while another instance is really slowed.
#[gtest]
fn unconfirmed_ejection_is_replaced() {
    let mut s = Service::warm();
    s.run(Duration::from_millis(100), |id, _| {
        (
            10,
            if id == 1 {
                OutcomeKind::ConnectionLost
            } else {
                OutcomeKind::Ok
            },
        )
    });
    expect_that!(s.ejected(), elements_are![eq(&1)]);
    s.run(Duration::from_millis(390), slowed);
    expect_that!(s.ejected(), elements_are![eq(&2)]);
}

/// Guards against ejections because this process was stalled.
#[gtest]
fn local_stall_does_not_eject() {
    let mut s = Service::warm();
    for _ in 0..20 {
        s.run(Duration::from_millis(50), |_, _| (10, OutcomeKind::Ok));
        s.now = s.now + Duration::from_secs(1);
    }
    expect_that!(s.picker.stats().ejections, eq(0));
}

/// Guards against an instance that fails fast and therefore attracts requests.
#[gtest]
fn failing_instance_is_ejected() {
    let kinds = [
        OutcomeKind::ConnectFailed,
        OutcomeKind::ConnectionLost,
        OutcomeKind::Refused(Code::TargetDown),
    ];
    for kind in kinds {
        let mut s = Service::warm();
        s.run(Duration::from_millis(300), |id, _| {
            (
                if id == 2 { 1 } else { 10 },
                if id == 2 { kind } else { OutcomeKind::Ok },
            )
        });
        expect_that!(s.ejected(), elements_are![eq(&2)], "{kind:?}");
    }
}

/// Guards against losing the evidence against a slowed instance because hedges overtake its
/// requests.
#[gtest]
fn overtaken_requests_count_as_evidence() {
    let mut s = Service::warm();
    s.run(Duration::from_millis(500), |id, _| {
        (
            if id == 2 { 30 } else { 10 },
            if id == 2 {
                OutcomeKind::Overtaken
            } else {
                OutcomeKind::Ok
            },
        )
    });
    expect_that!(s.ejected(), elements_are![eq(&2)]);
}

/// Guards against load reports that dominate the choice: one instance always reports itself as
/// idle, or as full.
#[gtest]
fn false_load_report_has_bounded_effect() {
    // Requests in flight and queued, as instance 2 reports them.
    for load in [(0, 0), (6, u32::MAX)] {
        let mut s = Service::warm();
        let mut to_false_reporter = 0;
        for _ in 0..400 {
            s.now = s.now + REQUEST_INTERVAL;
            s.end_completed();
            let id = s
                .picker
                .pick(s.now, &PickRequest::default())
                .expect("an instance")
                .id;
            to_false_reporter += usize::from(id.0 == 2);
            let report = Load {
                in_flight: load.0,
                queued: load.1,
                slots: 6,
            };
            let load = (id.0 == 2).then_some(report);
            s.send(
                SHORT,
                id,
                10,
                Outcome {
                    kind: OutcomeKind::Ok,
                    load,
                },
            );
        }
        expect_that!(to_false_reporter, all![ge(20), le(160)], "{load:?}");
    }
}

/// Guards against refusing all requests when only an ejected instance remains.
#[gtest]
fn ejected_instance_is_the_last_resort() {
    let mut s = Service::warm();
    s.run(Duration::from_millis(500), slowed);
    let exclude = [0, 1, 3].map(InstanceId);
    let request = PickRequest {
        exclude: &exclude,
        is_hedge: true,
        is_repeatable: true,
    };
    let pick = s.picker.pick(s.now, &request);
    expect_that!(pick.map(|p| (p.id.0, p.is_probe)), some(eq((2, false))));
    // The service shrinks to two instances, of which none may be ejected.
    s.picker.set_instances(s.now, &[1, 2].map(view));
    expect_that!(s.ejected(), is_empty());
}
