//! Ejection, probes and readmission.

use std::time::Duration;

use googletest::prelude::*;
use route::{Ask, Kind, Outcome, Picker, PickerCfg, RouteKey, State, Ticket, View};
use wire::{Code, Domain, InstanceId, Load, Time};

const SHORT: RouteKey = RouteKey(1);
const LONG: RouteKey = RouteKey(2);
const STEP: Duration = Duration::from_millis(5);

/// A service of four on one clock: a request each 5 ms, answered after a given latency.
struct Service {
    picker: Picker,
    now: Time,
    open: Vec<(Time, Ticket, Outcome)>,
}

impl Service {
    /// Makes a service that has answered in 10 ms for 4 s.
    fn warm() -> Service {
        let cfg = PickerCfg::new(InstanceId(1_000), Domain::from("a"));
        let mut s = Service {
            picker: Picker::new(cfg, 3),
            now: Time::ZERO,
            open: Vec::new(),
        };
        s.picker.set_instances(Time::ZERO, &[0, 1, 2, 3].map(view));
        s.run(Duration::from_secs(4), |_, _| (10, Kind::Ok));
        assert_eq!(s.ejected(), []);
        s
    }

    /// Runs for `time`; `answer` gives the latency in milliseconds and the end of each request.
    fn run(&mut self, time: Duration, mut answer: impl FnMut(u64, u64) -> (u64, Kind)) {
        self.run_on(SHORT, time, &mut answer);
    }

    fn run_on(
        &mut self,
        route: RouteKey,
        time: Duration,
        answer: &mut dyn FnMut(u64, u64) -> (u64, Kind),
    ) {
        let end = self.now + time;
        let mut n = 0;
        while self.now < end {
            self.now = self.now + STEP;
            self.finish();
            let ask = Ask {
                repeatable: true,
                ..Ask::default()
            };
            let id = self.picker.pick(self.now, &ask).expect("an instance").id;
            let (ms, kind) = answer(id.0, n);
            self.send(route, id, ms, kind.into());
            n += 1;
        }
    }

    fn send(&mut self, route: RouteKey, id: InstanceId, ms: u64, outcome: Outcome) {
        let ticket = self.picker.begin(self.now, id, route);
        self.open
            .push((self.now + Duration::from_millis(ms), ticket, outcome));
    }

    fn finish(&mut self) {
        let now = self.now;
        let (done, open) = self.open.drain(..).partition(|o| o.0 <= now);
        self.open = open;
        let done: Vec<(Time, Ticket, Outcome)> = done;
        for (_, ticket, outcome) in done {
            self.picker.end(now, ticket, outcome);
        }
    }

    fn ejected(&self) -> Vec<u64> {
        self.picker.ejected().map(|id| id.0).collect()
    }
}

fn view(id: u64) -> View {
    View {
        id: InstanceId(id),
        domain: Domain::from("a"),
        slots: 6,
        state: State::Ready,
        fresh: false,
    }
}

fn slowed(id: u64, _: u64) -> (u64, Kind) {
    (if id == 2 { 100_000 } else { 10 }, Kind::Ok)
}

/// Guards against waiting for answers that don't come: no request to the slowed instance ends.
#[gtest]
fn requests_in_flight_are_evidence() {
    let mut s = Service::warm();
    s.run(Duration::from_millis(500), slowed);
    expect_that!(s.ejected(), elements_are![eq(&2)]);
}

/// Guards against an instance that stays out after its recovery.
#[gtest]
fn recovered_instance_returns() {
    let mut s = Service::warm();
    s.run(Duration::from_secs(5), |id, _| {
        (if id == 2 { 100 } else { 10 }, Kind::Ok)
    });
    expect_that!(s.ejected(), elements_are![eq(&2)]);
    expect_that!(s.picker.stats().probes, le(12));
    s.run(Duration::from_secs(2), |_, _| (10, Kind::Ok));
    expect_that!(s.ejected(), is_empty());
}

/// Guards against ejections for reasons that aren't the instance's fault.
#[gtest]
fn no_ejection_without_cause() {
    type Answer = fn(u64, u64) -> (u64, Kind);
    let cases: [(&str, Answer); 6] = [
        ("all slowed tenfold", |_, _| (100, Kind::Ok)),
        ("all fail", |_, _| (1, Kind::Lost)),
        ("one is three times slower", |id, _| {
            (if id == 2 { 30 } else { 10 }, Kind::Ok)
        }),
        ("callers give up", |id, _| {
            (if id == 2 { 15 } else { 10 }, Kind::Cancelled)
        }),
        ("short deadlines", |_, _| (2, Kind::TimedOut)),
        ("one is full", |id, _| {
            (
                1,
                if id == 2 {
                    Kind::Refused(Code::QueueFull)
                } else {
                    Kind::Ok
                },
            )
        }),
    ];
    for (name, answer) in cases {
        let mut s = Service::warm();
        s.run(Duration::from_secs(3), answer);
        expect_that!(s.picker.stats().ejections, eq(0), "{name}");
    }
}

/// Guards against suspecting an instance that has always been slower than the others.
#[gtest]
fn slow_by_nature_is_usual() {
    let mut s = Service::warm();
    for base in [20, 30] {
        s.run(Duration::from_secs(5), |id, n| {
            let slow = if id == 2 { base + n % 4 * 8 } else { 10 };
            (slow, Kind::Ok)
        });
    }
    expect_that!(s.picker.stats().ejections, eq(0));
}

/// Guards against ejection for long requests: on their own route, and as a few among short ones.
#[gtest]
fn long_requests_are_no_evidence() {
    let mut s = Service::warm();
    s.run_on(LONG, Duration::from_secs(1), &mut |_, _| (1_000, Kind::Ok));
    s.run(Duration::from_secs(3), |_, _| (10, Kind::Ok));
    expect_that!(s.picker.stats().ejections, eq(0));
    let mut s = Service::warm();
    s.send(SHORT, InstanceId(2), 60_000, Kind::Ok.into());
    s.run(Duration::from_secs(3), |_, _| (10, Kind::Ok));
    expect_that!(s.picker.stats().ejections, eq(0));
}

/// Guards against a hasty ejection that keeps the place of an instance that is really slowed.
#[gtest]
fn unconfirmed_ejection_gives_way() {
    let mut s = Service::warm();
    s.run(Duration::from_millis(100), |id, _| {
        (10, if id == 1 { Kind::Lost } else { Kind::Ok })
    });
    expect_that!(s.ejected(), elements_are![eq(&1)]);
    s.run(Duration::from_millis(390), slowed);
    expect_that!(s.ejected(), elements_are![eq(&2)]);
}

/// Guards against blaming instances for a pause of this node itself.
#[gtest]
fn own_pause_ejects_nothing() {
    let mut s = Service::warm();
    for _ in 0..20 {
        s.run(Duration::from_millis(50), |_, _| (10, Kind::Ok));
        s.now = s.now + Duration::from_secs(1);
    }
    expect_that!(s.picker.stats().ejections, eq(0));
}

/// Guards against an instance that fails fast and attracts requests thereby.
#[gtest]
fn failures_eject() {
    let kinds = [
        Kind::ConnectFailed,
        Kind::Lost,
        Kind::Refused(Code::TargetDown),
    ];
    for kind in kinds {
        let mut s = Service::warm();
        s.run(Duration::from_millis(300), |id, _| {
            (
                if id == 2 { 1 } else { 10 },
                if id == 2 { kind } else { Kind::Ok },
            )
        });
        expect_that!(s.ejected(), elements_are![eq(&2)], "{kind:?}");
    }
}

/// Guards against losing the evidence of a slowed instance whose requests are hedged in time.
#[gtest]
fn overtaken_requests_are_evidence() {
    let mut s = Service::warm();
    s.run(Duration::from_millis(500), |id, _| {
        (
            if id == 2 { 30 } else { 10 },
            if id == 2 { Kind::Overtaken } else { Kind::Ok },
        )
    });
    expect_that!(s.ejected(), elements_are![eq(&2)]);
}

/// Guards against load reports that decide: one claims to be idle, or full, all the time.
#[gtest]
fn false_load_report_moves_little() {
    for load in [(0, 0), (6, u32::MAX)] {
        let mut s = Service::warm();
        let mut to_liar = 0;
        for _ in 0..400 {
            s.now = s.now + STEP;
            s.finish();
            let id = s
                .picker
                .pick(s.now, &Ask::default())
                .expect("an instance")
                .id;
            to_liar += usize::from(id.0 == 2);
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
                    kind: Kind::Ok,
                    load,
                },
            );
        }
        expect_that!(to_liar, all![ge(20), le(160)], "{load:?}");
    }
}

/// Guards against refusing everything when the ejected instance is the only one left.
#[gtest]
fn ejected_instance_is_the_last_resort() {
    let mut s = Service::warm();
    s.run(Duration::from_millis(500), slowed);
    let exclude = [0, 1, 3].map(InstanceId);
    let ask = Ask {
        exclude: &exclude,
        hedge: true,
        repeatable: true,
    };
    let pick = s.picker.pick(s.now, &ask);
    expect_that!(pick.map(|p| (p.id.0, p.probe)), some(eq((2, false))));
    // The service shrinks to two: none may be out any more.
    s.picker.set_instances(s.now, &[1, 2].map(view));
    expect_that!(s.ejected(), is_empty());
}
