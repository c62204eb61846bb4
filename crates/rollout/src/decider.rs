//! The decider of one roll-out.
//!
//! It answers the reports of the nodes beside the service's targets with plans. It keeps nothing that
//! the reports do not bring again, so that another node can go on after it from the recorded step.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use wire::Time;

use crate::budget::{Exposure, ExposureCfg};
use crate::canaries::{CanarySet, ServiceLoad};
use crate::evidence::Evidence;
use crate::judge::{Baseline, FIT_AT, Judge, LAST_FIT_AT, Verdict};
use crate::order::Order;
use crate::plan::{Admission, Plan, Report, Step};

/// Fraction of an order's duration after which a version that has proved fit leaves the canary step.
/// Until then, a version that turns bad some time after its start gets few requests.
const PROMOTE_AFTER: f64 = 0.45;
/// Fraction after which the canary step ends in any case: the rest is needed for the switch.
const DECIDE_AFTER: f64 = 0.7;
/// Fraction after which instances that do not report no longer delay the switch.
const IGNORE_SILENT_AFTER: f64 = 0.85;
/// Part of the duration that is kept for the switch, in which requests at the old version end, and
/// the shortest time that is kept.
const SWITCH_FRACTION: f64 = 0.3;
const MIN_SWITCH_TIME: Duration = Duration::from_secs(4);
/// The switch begins at the earliest after this fraction of the duration, however short that is.
const MIN_SWITCH_START: f64 = 0.55;
/// Time after which an instance without a report counts as silent.
const SILENT_AFTER: Duration = Duration::from_secs(3);
/// Time in which a new decider hears of all instances, before it takes a step that depends on them.
const SURVEY_TIME: Duration = Duration::from_millis(1_500);
/// Time for which the same canaries get the requests.
const TURN_TIME: Duration = Duration::from_secs(2);
/// Requests that each instance of the new version gets first, so that all are tried.
const INTRO_REQUESTS: u64 = 2;
/// Time for which a grant has to last: more than one interval between reports.
const GRANT_TIME: Duration = Duration::from_millis(600);
/// Answers of an instance from which its verdict counts.
const MIN_JUDGED_ANSWERS: u64 = 8;
/// Answers of the new version without which it is not promoted. A version that fails one request in
/// three has none of 15 failing once in 400 roll-outs.
const MIN_FIT_ANSWERS: u64 = 15;
/// Answers on each route that is needed, and the share of the old version's answers from which a
/// route is: a version may be bad on one route only.
const MIN_FIT_ROUTE_ANSWERS: u64 = 5;
const MIN_ROUTE_SHARE: f64 = 0.1;
/// Probability of as many bad instances under the old version's share of them, below which the new
/// version is bad.
const BAD_SIGNIFICANCE: f64 = 0.005;
/// Probability above which bad instances do not keep a version from being fit.
const FIT_SIGNIFICANCE: f64 = 0.2;
/// Probability of as many slow instances under the old version's share of them, below which the new
/// version is not fit.
const SLOW_SIGNIFICANCE: f64 = 0.05;
/// Smallest and largest share of bad instances that is assumed of the old version.
const MIN_BAD_SHARE: f64 = 0.05;
const MAX_BAD_SHARE: f64 = 0.5;
/// Shortest time over which the rate of requests is measured.
const RATE_WINDOW: Duration = Duration::from_millis(800);

new_key_type! {
    /// Identifies an instance that has reported.
    struct InstanceKey;
}

/// Why a step was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The roll-out begins.
    Begins,
    /// Instances of the new version fail or are slow more often than those of the old one.
    Bad,
    /// The new version has proved fit.
    Fit,
    /// Too few answers of the new version to promote it before the deadline.
    TooLittleEvidence,
    /// The time for the switch has come.
    Due,
    /// The old version has no requests any more.
    Drained,
}

impl Reason {
    /// Returns the name of the reason in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Reason::Begins => "begins",
            Reason::Bad => "bad",
            Reason::Fit => "fit",
            Reason::TooLittleEvidence => "too_little_evidence",
            Reason::Due => "due",
            Reason::Drained => "drained",
        }
    }
}

/// A step that should be taken, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The step.
    pub step: Step,
    /// Why it is taken.
    pub reason: Reason,
}

/// An instance of the service, as last reported.
#[derive(Clone, Debug)]
struct Instance {
    report: Report,
    reported_at: Time,
    /// Number of admitted requests up to which the instance may go.
    granted: u64,
    judge: Judge,
    /// Whether the present canaries include the instance.
    is_canary: bool,
}

/// State of one roll-out.
#[derive(Clone, Debug)]
pub struct Decider {
    order: Order,
    exposure: Exposure,
    /// When the order was given, as far as known.
    ordered_at: Time,
    created_at: Time,
    step: Step,
    step_since: Time,
    instances: SlotMap<InstanceKey, Instance>,
    by_link: HashMap<SocketAddr, InstanceKey>,
    /// What the old version's instances have shown.
    old_evidence: Evidence,
    /// Requests that instances got which no longer exist, and the part of the new version.
    gone_admitted: u64,
    gone_granted: u64,
    rate: RateMeter,
    /// Number of canaries of earlier turns, and when the present turn began.
    turn: usize,
    turn_since: Time,
    /// Slots that each instance of the new version may use in the canary step.
    canary_slots: u32,
}

impl Decider {
    /// Creates the decider of an order that was given at `ordered_at` and has reached `step`.
    pub fn new(order: Order, cfg: ExposureCfg, ordered_at: Time, step: Step, now: Time) -> Decider {
        Decider {
            order,
            exposure: Exposure::new(cfg),
            ordered_at,
            created_at: now,
            step,
            step_since: now,
            instances: SlotMap::with_key(),
            by_link: HashMap::new(),
            old_evidence: Evidence::default(),
            gone_admitted: 0,
            gone_granted: 0,
            rate: RateMeter::default(),
            turn: 0,
            turn_since: now,
            canary_slots: 1,
        }
    }

    /// Returns the order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Takes the identity of an order that repeats this one.
    pub fn adopt_repeat(&mut self, order: Order) {
        self.order = order;
    }

    /// Returns the present step.
    pub fn step(&self) -> Step {
        self.step
    }

    /// Returns the time since the order.
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.ordered_at)
    }

    /// Begins a step.
    pub fn enter(&mut self, now: Time, step: Step) {
        self.step = step;
        self.step_since = now;
    }

    /// Records a report and returns the plan of the reporting node. A version that proves bad is rolled
    /// back here, before that is recorded.
    pub fn report(&mut self, now: Time, report: Report) -> Plan {
        let age = report.order_age;
        if age > self.age(now) {
            let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
            self.ordered_at = Time::from_micros(now.as_micros().saturating_sub(age));
        }
        let key = self.record(now, report);
        if self.step < Step::Succeeded && self.verdict(now) == Verdict::Bad {
            self.enter(now, Step::RolledBack);
        }
        if self.step == Step::Canary {
            self.grant(now);
        }
        Plan {
            order: self.order.id,
            step: self.step,
            admission: self.admission(key),
        }
    }

    fn record(&mut self, now: Time, report: Report) -> InstanceKey {
        let is_new = report.software == self.order.target_version;
        let known = self.by_link.get(&report.link).copied();
        let same = known.filter(|k| {
            let r = &self.instances[*k].report;
            r.boot_id == report.boot_id && r.software == report.software
        });
        if let Some(old) = known.filter(|_| same.is_none()) {
            self.retire(old);
        }
        let key = same.unwrap_or_else(|| self.add(now, &report));
        let instance = &mut self.instances[key];
        let news = report.evidence.since(&instance.report.evidence);
        if !is_new {
            self.old_evidence.add(&news);
        }
        let baseline = Baseline::from(&self.old_evidence);
        instance.judge.add(&news, &baseline);
        instance.report = report;
        instance.reported_at = now;
        key
    }

    /// Adds an instance without evidence. Its first report counts from its begin.
    fn add(&mut self, now: Time, report: &Report) -> InstanceKey {
        let key = self.instances.insert(Instance {
            report: Report {
                evidence: Evidence::default(),
                ..report.clone()
            },
            reported_at: now,
            granted: 0,
            judge: Judge::default(),
            is_canary: false,
        });
        self.by_link.insert(report.link, key);
        key
    }

    fn retire(&mut self, key: InstanceKey) {
        let Some(gone) = self.instances.remove(key) else {
            return;
        };
        self.gone_admitted += gone.report.admitted;
        if gone.report.software == self.order.target_version {
            self.gone_granted += gone.granted.max(gone.report.admitted);
        }
    }

    fn is_new(&self, instance: &Instance) -> bool {
        instance.report.software == self.order.target_version
    }

    fn new_instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values().filter(|i| self.is_new(i))
    }

    fn old_instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values().filter(|i| !self.is_new(i))
    }

    /// Returns the requests that all instances have got, and those that the new version has got or may
    /// still get under the grants.
    fn counts(&self) -> (u64, u64) {
        let total: u64 = self.instances.values().map(|i| i.report.admitted).sum();
        let new: u64 = self
            .new_instances()
            .map(|i| i.granted.max(i.report.admitted))
            .sum();
        (total + self.gone_admitted, new + self.gone_granted)
    }

    /// Grants requests to instances of the new version, within the budget: first some to each, the
    /// rest to the canaries.
    fn grant(&mut self, now: Time) {
        let (total, spent) = self.counts();
        let rate = self.rate.update(now, total);
        let mut left = self.exposure.allowed(total).saturating_sub(spent);
        let target = self.order.target_version.clone();
        for instance in self.instances.values_mut() {
            let is_untried = instance.granted == 0 && instance.report.slots > 0;
            if instance.report.software == target && is_untried && left >= INTRO_REQUESTS {
                instance.granted = instance.report.admitted + INTRO_REQUESTS;
                left -= INTRO_REQUESTS;
            }
        }
        let set = self.choose_canaries(now, rate);
        self.canary_slots = set.slots;
        let per_grant = self.exposure.rate_share() * rate * GRANT_TIME.as_secs_f64();
        let unused = u64::from(set.slots).max((per_grant / set.count as f64).ceil() as u64);
        for instance in self.instances.values_mut().filter(|i| i.is_canary) {
            let wanted = (instance.report.admitted + unused).saturating_sub(instance.granted);
            let more = wanted.min(left);
            instance.granted += more;
            left -= more;
        }
    }

    /// Marks the canaries of this turn and returns their number and slots.
    fn choose_canaries(&mut self, now: Time, rate: f64) -> CanarySet {
        let load = ServiceLoad {
            rate,
            old_slots: self.old_instances().map(|i| i.report.slots).sum(),
            service_time: self.old_evidence.mean_time(),
        };
        let slots = self.new_instances().map(|i| i.report.slots).max();
        let set = load.canary_set(self.exposure.rate_share(), slots.unwrap_or(1));
        if now.since(self.turn_since) >= TURN_TIME {
            self.turn_since = now;
            self.turn += set.count;
        }
        let mut eligible: Vec<_> = self
            .instances
            .iter()
            .filter(|(_, i)| self.is_new(i) && i.report.slots > 0)
            .filter(|(_, i)| i.judge.verdict() == Verdict::Fit)
            .filter(|(_, i)| now.since(i.reported_at) < SILENT_AFTER)
            .map(|(key, i)| (i.report.is_cold, i.report.link, key))
            .collect();
        eligible.sort_unstable();
        // Cold instances are slow whatever their version, so that they get requests last.
        let warm = eligible.iter().filter(|(is_cold, ..)| !is_cold).count();
        let pool = if warm >= set.count {
            warm
        } else {
            eligible.len()
        };
        let first = if pool == 0 { 0 } else { self.turn % pool };
        let chosen = (0..set.count.min(pool)).map(|n| eligible[(first + n) % pool].2);
        let chosen: Vec<_> = chosen.collect();
        for (key, instance) in &mut self.instances {
            instance.is_canary = chosen.contains(&key);
        }
        set
    }

    fn admission(&self, key: InstanceKey) -> Admission {
        let instance = &self.instances[key];
        let is_new = self.is_new(instance);
        match self.step {
            Step::Canary if is_new && instance.judge.verdict() == Verdict::Bad => Admission::Closed,
            Step::Canary if is_new => Admission::Limited {
                slots: instance.report.slots.clamp(1, self.canary_slots),
                until: instance.granted,
            },
            Step::Canary | Step::Parallel => Admission::Open,
            Step::Switch | Step::Succeeded if is_new => Admission::Open,
            Step::RolledBack if !is_new => Admission::Open,
            Step::Switch | Step::Succeeded | Step::RolledBack => Admission::Closed,
        }
    }

    /// Returns whether the new version is bad. One bad instance shows that only if there is no other:
    /// its machine may be the cause.
    fn verdict(&self, now: Time) -> Verdict {
        let others = self.evidence_without_worst();
        if self.baseline().judge_failures(&others, FIT_AT) == Some(Verdict::Bad) {
            return Verdict::Bad;
        }
        let (bad, judged) = count_bad(self.new_instances());
        let has_heard_all = now.since(self.created_at) >= SURVEY_TIME;
        let is_all = bad > 0 && has_heard_all && bad == self.new_instances().count();
        let is_significant = bad > 1 && self.chance_of(bad, judged) < BAD_SIGNIFICANCE;
        if is_all || is_significant {
            Verdict::Bad
        } else {
            Verdict::Fit
        }
    }

    fn baseline(&self) -> Baseline {
        Baseline::from(&self.old_evidence)
    }

    /// Returns what the instances of the new version have shown, but for the one with the most
    /// failures if there are several.
    fn evidence_without_worst(&self) -> Evidence {
        let baseline = self.baseline();
        let mut all: Vec<_> = self.new_instances().map(|i| &i.report.evidence).collect();
        all.sort_by(|a, b| {
            let ratios = (baseline.failure_ratio(a), baseline.failure_ratio(b));
            ratios.0.total_cmp(&ratios.1)
        });
        let kept = if all.len() > 1 {
            all.len() - 1
        } else {
            all.len()
        };
        let mut sum = Evidence::default();
        for evidence in &all[..kept] {
            sum.add(evidence);
        }
        sum
    }

    /// Returns the probability that at least `bad` of `judged` instances are bad without the version
    /// being so, by the share of bad ones among the old instances.
    fn chance_of(&self, bad: usize, judged: usize) -> f64 {
        let (old_bad, old_judged) = count_bad(self.old_instances());
        let share = old_bad as f64 / old_judged.max(1) as f64;
        chance(judged, bad, share)
    }

    /// Returns the number of instances that are rather slow than not, and of those whose response times
    /// were measured.
    fn count_slow<'a>(&self, instances: impl Iterator<Item = &'a Instance>) -> (usize, usize) {
        let baseline = self.baseline();
        let is_slow = instances.filter_map(|i| baseline.is_slow(&i.report.evidence));
        is_slow.fold((0, 0), |(slow, all), s| (slow + usize::from(s), all + 1))
    }

    /// Returns whether the new version's answers show that it is fit. `is_last` says that there is no
    /// time for more: then less evidence has to do, and not each route needs answers of its own.
    fn is_fit(&self, is_last: bool) -> bool {
        let (bad, judged) = count_bad(self.new_instances());
        if bad > 0 && self.chance_of(bad, judged) < FIT_SIGNIFICANCE {
            return false;
        }
        let mut fit = Evidence::default();
        let instances = self.new_instances();
        for instance in instances.filter(|i| i.judge.verdict() == Verdict::Fit) {
            fit.add(&instance.report.evidence);
        }
        if fit.answers() < MIN_FIT_ANSWERS {
            return false;
        }
        let fit_at = if is_last { LAST_FIT_AT } else { FIT_AT };
        if self.baseline().judge_failures(&fit, fit_at) != Some(Verdict::Fit) {
            return false;
        }
        let (slow, timed) = self.count_slow(self.new_instances());
        let (old_slow, old_timed) = self.count_slow(self.old_instances());
        let slow_share = old_slow as f64 / old_timed.max(1) as f64;
        if chance(timed, slow, slow_share) < SLOW_SIGNIFICANCE {
            return false;
        }
        let needed = MIN_ROUTE_SHARE * self.old_evidence.answers() as f64;
        let answers = |route| fit.routes.get(route).map_or(0, |r| r.answers);
        let routes = &self.old_evidence.routes;
        is_last
            || routes
                .iter()
                .filter(|(_, r)| r.answers as f64 >= needed)
                .all(|(route, _)| answers(route) >= MIN_FIT_ROUTE_ANSWERS)
    }

    /// Returns the next step if one is due; it takes effect by [`Decider::enter`], once it is recorded.
    /// `expected` is the number of nodes that should report.
    pub fn next(&self, now: Time, expected: usize) -> Option<Transition> {
        let age = self.age(now);
        let after = |fraction| age >= self.order.duration.mul_f64(fraction);
        let has_heard_all = now.since(self.created_at) >= SURVEY_TIME;
        let to = |step, reason| Some(Transition { step, reason });
        match self.step {
            Step::Canary if after(DECIDE_AFTER) && has_heard_all => match self.is_fit(true) {
                true => to(Step::Parallel, Reason::Fit),
                false => to(Step::RolledBack, Reason::TooLittleEvidence),
            },
            Step::Canary if after(PROMOTE_AFTER) && has_heard_all && self.is_fit(false) => {
                to(Step::Parallel, Reason::Fit)
            }
            Step::Parallel if age >= self.switch_start() && has_heard_all => {
                let may_switch = after(IGNORE_SILENT_AFTER) || self.has_all(now, expected);
                may_switch.then_some(Transition {
                    step: Step::Switch,
                    reason: Reason::Due,
                })
            }
            Step::Switch if has_heard_all && self.is_drained(now) => {
                let may_end = after(IGNORE_SILENT_AFTER) || self.has_all(now, expected);
                may_end.then_some(Transition {
                    step: Step::Succeeded,
                    reason: Reason::Drained,
                })
            }
            _ => None,
        }
    }

    /// Returns the age of the order at which the switch begins.
    fn switch_start(&self) -> Duration {
        let duration = self.order.duration;
        let kept = duration.mul_f64(SWITCH_FRACTION).max(MIN_SWITCH_TIME);
        let earliest = duration.mul_f64(MIN_SWITCH_START);
        duration.saturating_sub(kept).max(earliest)
    }

    /// Returns whether `expected` nodes report, and all that ever did.
    fn has_all(&self, now: Time, expected: usize) -> bool {
        let is_heard = |i: &Instance| now.since(i.reported_at) < SILENT_AFTER;
        self.instances.len() >= expected && self.instances.values().all(is_heard)
    }

    /// Returns whether no instance of the old version that reports has a request or admits one, and
    /// the new version has an instance.
    fn is_drained(&self, now: Time) -> bool {
        let is_idle = |i: &Instance| {
            let is_silent = now.since(i.reported_at) >= SILENT_AFTER;
            let is_after = i.reported_at > self.step_since;
            is_silent || (is_after && i.report.is_closed && i.report.in_progress == 0)
        };
        self.old_instances().all(is_idle) && self.new_instances().any(|i| i.report.slots > 0)
    }

    /// Returns the numbers of bad and judged instances of the new version, for the log.
    pub fn bad_instances(&self) -> (usize, usize) {
        count_bad(self.new_instances())
    }

    /// Returns the requests of all instances, and those of the new version with its grants.
    pub fn exposure(&self) -> (u64, u64) {
        self.counts()
    }
}

/// Returns the numbers of bad and of judged instances.
fn count_bad<'a>(instances: impl Iterator<Item = &'a Instance>) -> (usize, usize) {
    let mut counts = (0, 0);
    for instance in instances {
        let is_bad = instance.judge.verdict() == Verdict::Bad;
        counts.0 += usize::from(is_bad);
        let is_judged = is_bad || instance.report.evidence.answers() >= MIN_JUDGED_ANSWERS;
        counts.1 += usize::from(is_judged);
    }
    counts
}

/// Returns the probability that at least `hits` of `n` instances have a property, if a `share` of the old
/// ones has it.
fn chance(n: usize, hits: usize, share: f64) -> f64 {
    binomial_tail(n, hits, share.clamp(MIN_BAD_SHARE, MAX_BAD_SHARE))
}

/// Returns the probability of at least `hits` of `n` independent events of probability `p`.
fn binomial_tail(n: usize, hits: usize, p: f64) -> f64 {
    let mut term = (1.0 - p).powi(n as i32);
    let mut below = 0.0;
    for k in 0..hits {
        below += term;
        term *= (n - k) as f64 / (k + 1) as f64 * p / (1.0 - p);
    }
    (1.0 - below).max(0.0)
}

/// Rate of the service's requests.
#[derive(Clone, Copy, Debug, Default)]
struct RateMeter {
    since: Option<(Time, u64)>,
    rate: f64,
}

impl RateMeter {
    /// Records that `total` requests have been counted by `now` and returns the rate per second.
    fn update(&mut self, now: Time, total: u64) -> f64 {
        let Some((at, before)) = self.since else {
            self.since = Some((now, total));
            return self.rate;
        };
        let elapsed = now.since(at);
        if elapsed >= RATE_WINDOW {
            self.rate = total.saturating_sub(before) as f64 / elapsed.as_secs_f64();
            self.since = Some((now, total));
        }
        self.rate
    }
}
