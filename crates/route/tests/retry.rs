//! Retries, hedges and their budgets.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use route::{
    Attempts, Budget, BudgetCfg, Denial, Failure, Hedge, HedgeCfg, OutcomeKind, RetryBudget,
    RouteKey,
};
use wire::{Code, InstanceId, Time};

const FAILURE: Failure = Failure {
    kind: OutcomeKind::ConnectFailed,
    is_from_upstream: false,
    response_started: false,
    replayable: true,
    remaining: Duration::from_secs(1),
};
const MEDIAN: Option<Duration> = Some(Duration::from_millis(10));

fn retry_decision(
    failure: Failure,
    idempotent: bool,
    tried: u64,
) -> std::result::Result<(), Denial> {
    let mut attempts = Attempts::new(idempotent);
    (0..tried).for_each(|i| attempts.add(InstanceId(i)));
    RetryBudget::default().try_retry(Time::ZERO, &attempts, &failure, MEDIAN)
}

/// Guards against a second run of a non-idempotent request that may have run, and against retries
/// that every instance would refuse.
#[gtest]
fn retry_decision_by_failure_kind() {
    use Denial::*;
    // (kind, idempotent, not idempotent)
    let mut cases = vec![
        (OutcomeKind::Ok, Err(NotAFailure), Err(NotAFailure)),
        (OutcomeKind::Cancelled, Err(NotAFailure), Err(NotAFailure)),
        (OutcomeKind::Overtaken, Err(NotAFailure), Err(NotAFailure)),
        (OutcomeKind::ConnectFailed, Ok(()), Ok(())),
        (OutcomeKind::ConnectionLost, Ok(()), Err(MayHaveRun)),
        (OutcomeKind::TimedOut, Ok(()), Err(MayHaveRun)),
    ];
    for code in Code::ALL {
        let number = code.number();
        let want = match number {
            101 | 103 | 201..=204 | 206 => (Ok(()), Ok(())),
            301..=303 => (Ok(()), Err(MayHaveRun)),
            102 | 104..=113 | 205 | 207 | 401 | 404..=406 => {
                (Err(SameEverywhere), Err(SameEverywhere))
            }
            _ => (Err(MayHaveRun), Err(MayHaveRun)),
        };
        cases.push((OutcomeKind::Refused(*code), want.0, want.1));
    }
    for (kind, idempotent, not_idempotent) in cases {
        let failure = Failure { kind, ..FAILURE };
        expect_that!(retry_decision(failure, true, 1), eq(idempotent), "{kind:?}");
        expect_that!(
            retry_decision(failure, false, 1),
            eq(not_idempotent),
            "{kind:?}"
        );
    }
}

/// Guards against retries after an upstream hop has decided on them, after the response started,
/// without the body, beyond the maximum number of attempts, or without enough remaining time.
#[gtest]
fn retry_decision_by_request_state() {
    let below_median = Duration::from_millis(9);
    let cases = [
        (FAILURE, 2, Ok(())),
        (FAILURE, 3, Err(Denial::AttemptsUsedUp)),
        (
            Failure {
                is_from_upstream: true,
                ..FAILURE
            },
            1,
            Err(Denial::FromUpstream),
        ),
        (
            Failure {
                response_started: true,
                ..FAILURE
            },
            1,
            Err(Denial::ResponseStarted),
        ),
        (
            Failure {
                replayable: false,
                ..FAILURE
            },
            1,
            Err(Denial::NotReplayable),
        ),
        (
            Failure {
                remaining: below_median,
                ..FAILURE
            },
            1,
            Err(Denial::TooLate),
        ),
        (
            Failure {
                remaining: Duration::ZERO,
                ..FAILURE
            },
            1,
            Err(Denial::TooLate),
        ),
    ];
    for (failure, tried, want) in cases {
        expect_that!(
            retry_decision(failure, true, tried),
            eq(want),
            "{failure:?}"
        );
    }
}

/// Sends a request through a chain of hops, each of which decides on retries of the next one's
/// refusals. Past the last hop, an instance refuses each request and adds 1 to `sent`. Returns
/// whether a hop relayed the refusal, `false` if it comes from that instance.
fn send_through_hops(now: Time, hops: &mut [RetryBudget], sent: &mut u64) -> bool {
    let Some((hop, upstream)) = hops.split_first_mut() else {
        *sent += 1;
        return false;
    };
    hop.record_request(now);
    let mut attempts = Attempts::new(true);
    loop {
        attempts.add(InstanceId(attempts.tried().len() as u64));
        let is_from_upstream = send_through_hops(now, upstream, sent);
        let kind = OutcomeKind::Refused(Code::QueueFull);
        let failure = Failure {
            kind,
            is_from_upstream,
            ..FAILURE
        };
        if hop.try_retry(now, &attempts, &failure, MEDIAN).is_err() {
            return true;
        }
    }
}

/// Guards against retries that multiply over a chain of calls: all nine hops of a chain together
/// add at most 10% of attempts.
#[gtest]
fn retries_do_not_multiply_over_nine_hops() {
    let mut hops = vec![RetryBudget::default(); 9];
    let (mut sent, requests) = (0, 20_000);
    for i in 0..requests {
        send_through_hops(Time::from_millis(i), &mut hops, &mut sent);
    }
    expect_that!(
        sent as f64 / requests as f64,
        all![ge(1.05), le(1.1 + 0.001)]
    );
}

/// Guards against a service with few requests that can never retry, and against a busy one that
/// gets the floor (the rate granted to a service with few requests) on top of its share.
#[gtest]
fn floor_applies_at_low_traffic_only() {
    let cfg = BudgetCfg {
        share: 0.1,
        floor_per_s: 1.0,
        burst: 20.0,
    };
    for (requests_per_s, want) in [(1, 60), (10, 61), (100, 601)] {
        let mut budget = Budget::new(cfg);
        let mut spent = 0;
        for i in 0..60 * requests_per_s {
            let now = Time::from_micros(i * 1_000_000 / requests_per_s);
            budget.record_request(now);
            spent += u64::from(budget.try_spend(now));
        }
        expect_that!(
            spent,
            all![ge(want - 2), le(want)],
            "{requests_per_s} requests per second"
        );
    }
}

/// Guards against hedges before the latency is known, at the wrong delay, or beyond the budget.
#[gtest]
fn hedge_delay_follows_tail_within_budget() {
    let mut hedge = Hedge::new(HedgeCfg::default());
    let route = RouteKey(1);
    expect_that!(hedge.delay(route), none());
    for i in 0..1_000_u64 {
        hedge.record_latency(route, Duration::from_millis(1 + i % 100));
    }
    let ms = hedge.delay(route).expect("a delay").as_secs_f64() * 1e3;
    expect_that!(ms, all![ge(97.0), le(106.0)]);
    expect_that!(hedge.delay(RouteKey(2)), none());
    let mut spent = 0;
    for i in 0..1_000 {
        hedge.record_request(Time::from_millis(i));
        spent += u64::from(hedge.try_spend(Time::from_millis(i)));
    }
    expect_that!(spent, eq(50));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(12),
        ..ProptestConfig::default()
    })]

    /// Guards against a sequence of requests, attempts and pauses that exceeds the budget.
    #[test]
    fn budget_is_never_exceeded(ops in prop::collection::vec((0..3_u8, 0..700_u64), 1..500)) {
        let cfg = BudgetCfg { share: 0.1, floor_per_s: 1.0, burst: 5.0 };
        let (mut budget, mut ms, mut requests, mut spent) = (Budget::new(cfg), 0, 0.0, 0.0);
        for (op, wait) in ops {
            let now = Time::from_millis(ms);
            match op {
                0 => { budget.record_request(now); requests += 1.0; }
                1 => spent += f64::from(u8::from(budget.try_spend(now))),
                _ => ms += wait,
            }
            // The share, the initial floor, and at most one floor per elapsed second.
            prop_assert!(spent <= 0.1 * requests + 1.0 + ms as f64 / 1e3 + 1e-6);
        }
    }
}

/// Guards against requests that fail because a draining instance has used up the retry budget while
/// other instances are free.
#[gtest]
fn draining_refusal_costs_no_token() {
    let mut budget = RetryBudget::default();
    let mut attempts = Attempts::new(false);
    attempts.add(InstanceId(1));
    let now = Time::from_millis(1);
    let failure = |code| Failure {
        kind: OutcomeKind::Refused(code),
        is_from_upstream: false,
        response_started: false,
        replayable: true,
        remaining: Duration::from_secs(1),
    };
    for _ in 0..50 {
        let allowed = budget.try_retry(now, &attempts, &failure(Code::Draining), None);
        expect_that!(allowed, ok(anything()));
    }
    // The one token of the initial floor is still available, and there is no second one.
    let full = failure(Code::QueueFull);
    expect_that!(
        budget.try_retry(now, &attempts, &full, None),
        ok(anything())
    );
    expect_that!(
        budget.try_retry(now, &attempts, &full, None),
        err(anything())
    );
}
