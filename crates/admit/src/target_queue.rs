//! The queue in front of one target, held by the target-side node.
//!
//! The queue is built for overload that lasts for seconds. Slots go first to requests that can
//! still meet their latency objective: by priority, then short work before long, then by earliest
//! objective. Among organisations, those within an equal share of the slots go before the excess of
//! others of the same priority. Requests that will miss theirs, mostly retries after a refusal, get
//! the remaining slots. A request that can't be served in time from its place in the queue is refused at once. A
//! refused request has not reached the target.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use wire::{Code, Load, Refusal, Time};

/// Service time assumed before the first measurement: a short remote call.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Weight of a new sample in the moving averages of service times: about the last 16 requests
/// count.
const SERVICE_TIME_WEIGHT: f64 = 1.0 / 16.0;
/// Weight of a new outcome in the moving failure rate: about the last 12 requests count.
const FAILURE_RATE_WEIGHT: f64 = 1.0 / 12.0;
/// Maximum waiting requests per slot. Bounds memory only: deadlines limit the queue much earlier.
const MAX_WAITING_PER_SLOT: usize = 64;
/// Number of expected service times that must remain before the deadline (or the objective) when a
/// request starts. A request that is cut off at its deadline has wasted a slot; over half of the
/// requests take less than the expected time.
const START_MARGIN_FACTOR: f64 = 1.1;
/// Maximum wait of a late request. A late request is queued only if its expected wait is at most
/// half of this: an unknown number of on-time requests will overtake it, and a request that waits
/// and is then refused has waited in vain.
const MAX_LATE_WAIT: Duration = Duration::from_millis(50);
/// Work with an expected service time below this fraction of the target's mean counts as short. In
/// a mesh short requests are calls made by running requests, and a failed call wastes the work
/// that the calling request has already done.
const SHORT_FRACTION: f64 = 0.4;

/// Time without a request of a route after which its service time is measured anew by one request, even
/// if the known time would refuse it. A shorter one would spend more of a slow target's slots, and of
/// its callers' time, on requests that are cut off at their deadline.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Fraction of the time that a caller gives a request within which a route without a known service time
/// is expected to respond.
const DECLARED_SERVICE_FRACTION: f64 = 0.5;
/// Time without requests after which the reported service time and failure rate begin to decay.
const IDLE_GRACE: Duration = Duration::from_secs(1);
/// Half-life of that decay. Entry nodes avoid a target that has reported a bad spell, so without a decay
/// it would get no request that could show its recovery.
const IDLE_HALF_LIFE: Duration = Duration::from_secs(2);

new_key_type! {
    /// Identifies a request that waits for or holds a slot.
    pub struct JobKey;
}

/// Identifies a route, for which a service time is learned.
pub type RouteId = u64;

/// Identifies an organisation, among which slots are shared.
pub type OrganisationId = u64;

/// A request for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Route of the request.
    pub route: RouteId,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u32,
    /// Organisation of the request, if the deployment has several.
    pub organisation: Option<OrganisationId>,
    /// When the request asked for a slot.
    pub arrived: Time,
    /// Latency objective as a point in time: the response is late after it.
    pub objective: Time,
    /// When the caller stops waiting for the response.
    pub deadline: Time,
    /// Whether no other target will be tried. A late response is then better than none.
    pub is_last_resort: bool,
    /// Maximum expected wait for a slot at the time of the offer. With a longer one, another target
    /// would respond sooner.
    pub max_wait: Duration,
}

/// Decision on an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobVerdict {
    /// The request holds a slot and must be dispatched to the target now.
    Run(JobKey),
    /// The request waits; [`TargetQueue::dispatch`] returns its outcome later.
    Wait(JobKey),
    /// The request is refused and has not run.
    Refuse(Refusal),
}

/// Decision on a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobEvent {
    /// The request holds a slot and must be dispatched to the target now.
    Run(JobKey),
    /// The request is refused and has not run. Its key is no longer valid.
    Refuse(JobKey, Refusal),
}

/// Outcome of a request that held a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// The target responded without failing the request.
    Completed,
    /// The target failed the request.
    Failed,
    /// The caller disconnected, or the outcome says nothing about the target. Neither the service
    /// time nor the failure rate is updated.
    Unmeasured,
}

/// Summary of the queue by which other nodes choose a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueueState {
    /// Slots in use, waiting requests and slots. A closed queue has zero slots.
    pub load: Load,
    /// Mean service time, or the mean age of the running requests if that is more.
    pub service_time: Duration,
    /// Fraction of recent requests that the target failed, 0 to 1.
    pub failure_rate: f32,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    job: Job,
    started: Time,
    is_probe: bool,
    /// Least weight of its outcome in the averages of the target: what they lost while it was idle.
    sample_weight: f64,
}

/// What is known of the requests of one route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteHistory {
    /// Moving average of service times in seconds; `None` before the first completed request.
    mean_secs: Option<f64>,
    /// Requests that hold a slot or wait.
    present: u32,
    /// When a request last got a place or left.
    changed_at: Time,
}

/// Whether a request can still meet its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timeliness {
    /// The request can meet its objective, or is short work.
    OnTime,
    /// The request will miss its objective.
    Late,
}

/// Place in the order of service; lower ranks are served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    timeliness: Timeliness,
    priority: u32,
    /// Whole shares of the slots that the organisation had when the request came. Those within their
    /// share go first, so that the excess of one takes only slots that the others leave.
    shares_held: u32,
    /// Binary logarithm of the expected service time in milliseconds, so that only clear
    /// differences count.
    service_log2: u32,
    objective: Time,
    /// Arrival sequence number, the tie-break.
    seq: u64,
}

/// A request with the decision on its probe: one request of a route that has had none for a while is
/// admitted by what its caller gives it, whatever is known of the route.
#[derive(Clone, Copy, Debug)]
struct Offer {
    job: Job,
    is_probe: bool,
}

#[derive(Clone, Copy, Debug)]
enum JobState {
    Running(Running),
    Waiting(Rank, Offer),
}

/// Slots and waiting requests of one target.
#[derive(Clone, Debug)]
pub struct TargetQueue {
    slots: u32,
    is_open: bool,
    jobs: SlotMap<JobKey, JobState>,
    waiting: BTreeMap<Rank, JobKey>,
    running: u32,
    /// Requests that run or wait, by organisation; an organisation without any has no entry.
    present: HashMap<OrganisationId, u32>,
    /// Sequence number of the last offered request.
    last_seq: u64,
    routes: HashMap<RouteId, RouteHistory>,
    /// Moving average of all service times, in seconds.
    mean_service_secs: f64,
    /// Moving average of failures, 0 to 1.
    failure_rate: f64,
    /// When a request last started or ended; `None` before the first one.
    active_at: Option<Time>,
}

impl TargetQueue {
    /// Creates the queue of a target with `slots` slots, at least one.
    pub fn new(slots: u32) -> TargetQueue {
        TargetQueue {
            slots: slots.max(1),
            is_open: true,
            jobs: SlotMap::with_key(),
            waiting: BTreeMap::new(),
            running: 0,
            present: HashMap::new(),
            last_seq: 0,
            routes: HashMap::new(),
            mean_service_secs: INITIAL_SERVICE_TIME.as_secs_f64(),
            failure_rate: 0.0,
            active_at: None,
        }
    }

    /// Sets the number of slots, at least one.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Discards measured service times and failures, after a restart of the target.
    pub fn restart(&mut self) {
        for route in self.routes.values_mut() {
            route.mean_secs = None;
        }
        self.mean_service_secs = INITIAL_SERVICE_TIME.as_secs_f64();
        self.failure_rate = 0.0;
    }

    /// Opens or closes the queue. A closed queue refuses new requests at once and waiting ones at
    /// the next [`TargetQueue::dispatch`].
    pub fn set_open(&mut self, open: bool) {
        self.is_open = open;
    }

    /// Requests a slot for `job`.
    pub fn offer(&mut self, now: Time, job: Job) -> JobVerdict {
        self.last_seq += 1;
        let offer = self.offer_of(now, &job);
        match self.decide(now, &offer, 0) {
            Err(refusal) => JobVerdict::Refuse(refusal),
            Ok(None) => JobVerdict::Run(self.start(now, offer)),
            Ok(Some(rank)) => {
                self.add_present(now, &job);
                let key = self.jobs.insert(JobState::Waiting(rank, offer));
                self.waiting.insert(rank, key);
                JobVerdict::Wait(key)
            }
        }
    }

    /// Checks whether `job` would be admitted at `now`. `expected` is the number of other requests
    /// that haven't been offered yet but will be before `job`.
    ///
    /// # Errors
    ///
    /// Returns the refusal that [`TargetQueue::offer`] would return.
    pub fn check_offer(&self, now: Time, job: &Job, expected: usize) -> Result<(), Refusal> {
        let offer = self.offer_of(now, job);
        self.decide(now, &offer, expected).map(|_| ())
    }

    /// Decides on a request: returns its rank if it has to wait, `None` if it can start at once, or
    /// the refusal. `expected` is that of [`TargetQueue::check_offer`].
    fn decide(&self, now: Time, offer: &Offer, expected: usize) -> Result<Option<Rank>, Refusal> {
        if !self.is_open {
            return Err(Code::Draining.into());
        }
        let job = &offer.job;
        let mut rank = self.rank(now, offer);
        let occupied = self.running as usize + expected;
        // Expected requests take free slots first; the remaining ones wait.
        let expected_ahead = occupied.saturating_sub(self.slots as usize);
        let mut ahead = self.waiting.range(..rank).count() + expected_ahead;
        if occupied < self.slots as usize && ahead == 0 {
            if !self.can_start(now, offer) {
                return Err(Code::CannotStartInTime.into());
            }
            return Ok(None);
        }
        if self.waiting.len() >= self.slots as usize * MAX_WAITING_PER_SLOT {
            return Err(self.refusal(Code::QueueFull));
        }
        if self.expected_wait(ahead) > job.max_wait {
            return Err(self.refusal(Code::CannotStartInTime));
        }
        let misses_objective = !self.can_be_served_in_time(now, offer, rank, ahead);
        if rank.timeliness == Timeliness::OnTime && misses_objective && job.is_last_resort {
            rank.timeliness = Timeliness::Late;
            ahead = self.waiting.range(..rank).count() + expected_ahead;
        }
        if !self.can_be_served_in_time(now, offer, rank, ahead) {
            return Err(self.refusal(Code::CannotStartInTime));
        }
        Ok(Some(rank))
    }

    /// Removes a request that holds a slot or waits. If it held a slot, learns from `outcome`.
    pub fn finish(&mut self, now: Time, key: JobKey, outcome: JobOutcome) {
        match self.remove(now, key) {
            Some(JobState::Running(r)) => {
                self.running -= 1;
                self.active_at = Some(now);
                self.record_outcome(now, &r, outcome);
            }
            Some(JobState::Waiting(rank, _)) => {
                self.waiting.remove(&rank);
            }
            None => {}
        }
    }

    /// Assigns free slots to waiting requests and refuses those that can't be served in time.
    pub fn dispatch(&mut self, now: Time) -> Vec<JobEvent> {
        let mut events = Vec::new();
        if !self.is_open {
            self.refuse_all(now, &mut events);
            return events;
        }
        while self.running < self.slots {
            let Some((rank, key)) = self.next_waiting(now) else {
                break;
            };
            self.waiting.remove(&rank);
            let Some(JobState::Waiting(_, offer)) = self.jobs.get(key).copied() else {
                continue;
            };
            if self.can_start(now, &offer) {
                self.jobs[key] = self.running_state(now, offer);
                events.push(JobEvent::Run(key));
            } else {
                self.remove(now, key);
                let refusal = self.refusal(Code::CannotStartInTime);
                events.push(JobEvent::Refuse(key, refusal));
            }
        }
        self.refuse_unservable(now, &mut events);
        events
    }

    /// Returns the summary that other nodes use to choose a target.
    pub fn state(&self, now: Time) -> QueueState {
        QueueState {
            load: Load {
                in_flight: self.running,
                queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
                slots: if self.is_open { self.slots } else { 0 },
            },
            service_time: self.current_service(now),
            failure_rate: (self.failure_rate * self.idle_weight(now)) as f32,
        }
    }

    /// Returns whether no request holds a slot or waits.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the start time of the oldest running request, or `None` if none runs.
    pub fn oldest_start(&self) -> Option<Time> {
        let starts = self.jobs.values().filter_map(|p| match p {
            JobState::Running(r) => Some(r.started),
            JobState::Waiting(..) => None,
        });
        starts.min()
    }

    /// Returns the time that must remain before the deadline when a request starts, if it is offered
    /// now.
    pub fn time_needed(&self, now: Time, job: &Job) -> Duration {
        self.time_needed_by(&self.offer_of(now, job))
    }

    /// Returns the expected service time of a request that is offered now.
    pub fn expected_service(&self, now: Time, job: &Job) -> Duration {
        self.service_of(&self.offer_of(now, job))
    }

    fn offer_of(&self, now: Time, job: &Job) -> Offer {
        let is_probe = self.routes.get(&job.route).is_some_and(|r| {
            r.mean_secs.is_some() && r.present == 0 && now.since(r.changed_at) >= PROBE_INTERVAL
        });
        Offer {
            job: *job,
            is_probe,
        }
    }

    /// Returns the expected service time of a request: the mean of its route. For a route without a
    /// mean, that of the target, but at most a part of the time that the caller gives it: the requests
    /// of other routes may be far longer, and only a request that runs shows how long it takes. The same
    /// part limits the time for a probe.
    fn service_of(&self, offer: &Offer) -> Duration {
        let job = &offer.job;
        let given = if job.objective > job.arrived {
            job.objective.since(job.arrived)
        } else {
            job.deadline.since(job.arrived)
        };
        let declared = given.mul_f64(DECLARED_SERVICE_FRACTION);
        let mean = self.routes.get(&job.route).and_then(|r| r.mean_secs);
        match mean.map(Duration::from_secs_f64) {
            Some(mean) if !offer.is_probe => mean,
            Some(mean) => mean.min(declared),
            None => Duration::from_secs_f64(self.mean_service_secs).min(declared),
        }
    }

    fn time_needed_by(&self, offer: &Offer) -> Duration {
        self.service_of(offer).mul_f64(START_MARGIN_FACTOR)
    }

    fn add_present(&mut self, now: Time, job: &Job) {
        let route = self.routes.entry(job.route).or_default();
        route.present += 1;
        route.changed_at = now;
        if let Some(organisation) = job.organisation {
            *self.present.entry(organisation).or_default() += 1;
        }
    }

    fn remove(&mut self, now: Time, key: JobKey) -> Option<JobState> {
        let state = self.jobs.remove(key)?;
        let (JobState::Running(Running { job, .. }) | JobState::Waiting(_, Offer { job, .. })) =
            state;
        if let Some(route) = self.routes.get_mut(&job.route) {
            route.present -= 1;
            route.changed_at = now;
        }
        if let Some(organisation) = job.organisation
            && let Some(present) = self.present.get_mut(&organisation)
        {
            *present -= 1;
            if *present == 0 {
                self.present.remove(&organisation);
            }
        }
        Some(state)
    }

    /// Returns how many whole shares of the slots the organisation of a request has already. Shares are
    /// equal among the organisations that have requests here, so that unused ones fall to the others.
    fn shares_held(&self, job: &Job) -> u32 {
        let Some(organisation) = job.organisation else {
            return 0;
        };
        let present = self.present.get(&organisation).copied().unwrap_or(0);
        let sharers = u32::try_from(self.present.len()).unwrap_or(u32::MAX);
        present.saturating_mul(sharers) / self.slots
    }

    fn start(&mut self, now: Time, offer: Offer) -> JobKey {
        self.add_present(now, &offer.job);
        let state = self.running_state(now, offer);
        self.jobs.insert(state)
    }

    /// Takes a slot, and returns the state of the request in it.
    fn running_state(&mut self, now: Time, offer: Offer) -> JobState {
        let sample_weight = 1.0 - self.idle_weight(now);
        self.running += 1;
        self.active_at = Some(now);
        JobState::Running(Running {
            job: offer.job,
            started: now,
            is_probe: offer.is_probe,
            sample_weight,
        })
    }

    /// Returns the expected wait of a request with `ahead` others before it in the queue.
    fn expected_wait(&self, ahead: usize) -> Duration {
        let rounds = (ahead + 1) as f64 / f64::from(self.slots);
        Duration::from_secs_f64(self.mean_service_secs * rounds)
    }

    /// Returns the rank that a request gets at `now`, as if it were the last one offered.
    fn rank(&self, now: Time, offer: &Offer) -> Rank {
        let job = &offer.job;
        let service = self.service_of(offer);
        let is_short = service.as_secs_f64() < SHORT_FRACTION * self.mean_service_secs;
        let is_on_time = is_short || now + self.time_needed_by(offer) <= job.objective;
        Rank {
            timeliness: if is_on_time {
                Timeliness::OnTime
            } else {
                Timeliness::Late
            },
            priority: job.priority,
            shares_held: self.shares_held(job),
            service_log2: (service.as_millis() as u64 | 1).ilog2(),
            objective: job.objective,
            seq: self.last_seq,
        }
    }

    /// Returns whether a request can be served in time from a place with `ahead` others before it.
    fn can_be_served_in_time(&self, now: Time, offer: &Offer, rank: Rank, ahead: usize) -> bool {
        let job = &offer.job;
        let wait = self.expected_wait(ahead);
        let end = now + wait + self.service_of(offer);
        match rank.timeliness {
            Timeliness::OnTime => {
                end <= job
                    .objective
                    .max(self.short_due(job, rank))
                    .min(job.deadline)
            }
            Timeliness::Late => wait <= MAX_LATE_WAIT / 2 && end <= job.deadline,
        }
    }

    /// Returns the deadline of short work, which is worth serving until then: its caller needs the
    /// response even after the objective. Returns `Time::ZERO` for other work.
    fn short_due(&self, job: &Job, rank: Rank) -> Time {
        let mean_ms = (self.mean_service_secs * 1_000.0 * SHORT_FRACTION) as u64;
        if rank.service_log2 < (mean_ms | 1).ilog2() {
            job.deadline
        } else {
            Time::ZERO
        }
    }

    /// Returns whether a request that starts now has enough time until its deadline.
    fn can_start(&self, now: Time, offer: &Offer) -> bool {
        now + self.time_needed_by(offer) <= offer.job.deadline
    }

    /// Returns whether a waiting request should stay queued.
    fn should_stay_queued(&self, now: Time, timeliness: Timeliness, offer: &Offer) -> bool {
        let waited = now.since(offer.job.arrived);
        self.can_start(now, offer) && (timeliness == Timeliness::OnTime || waited <= MAX_LATE_WAIT)
    }

    /// Returns the next request to serve: the first in the queue that has not become late while it
    /// waited, or the very first if all have. A request that was late when queued counts as not
    /// having become late.
    fn next_waiting(&self, now: Time) -> Option<(Rank, JobKey)> {
        let still_on_time = self
            .waiting
            .iter()
            .find(|(rank, key)| match self.jobs[**key] {
                JobState::Waiting(_, offer) => self.rank(now, &offer).timeliness <= rank.timeliness,
                JobState::Running(_) => false,
            });
        still_on_time
            .or_else(|| self.waiting.first_key_value())
            .map(|(rank, key)| (*rank, *key))
    }

    fn refuse_all(&mut self, now: Time, events: &mut Vec<JobEvent>) {
        while let Some((_, key)) = self.waiting.pop_first() {
            self.remove(now, key);
            events.push(JobEvent::Refuse(key, Code::Draining.into()));
        }
    }

    /// Refuses the waiting requests that shouldn't stay queued.
    fn refuse_unservable(&mut self, now: Time, events: &mut Vec<JobEvent>) {
        let unservable: Vec<(Rank, JobKey)> = self
            .waiting
            .iter()
            .filter(|(_, key)| match &self.jobs[**key] {
                JobState::Waiting(rank, offer) => {
                    !self.should_stay_queued(now, rank.timeliness, offer)
                }
                JobState::Running(_) => false,
            })
            .map(|(rank, key)| (*rank, *key))
            .collect();
        for (rank, key) in unservable {
            self.waiting.remove(&rank);
            self.remove(now, key);
            let refusal = self.refusal(Code::CannotStartInTime);
            events.push(JobEvent::Refuse(key, refusal));
        }
    }

    /// Creates a refusal whose `retry_after` is the expected time until the present queue has been
    /// served.
    fn refusal(&self, code: Code) -> Refusal {
        Refusal {
            code,
            retry_after: Some(self.expected_wait(self.waiting.len())),
        }
    }

    fn record_outcome(&mut self, now: Time, r: &Running, outcome: JobOutcome) {
        let failed = match outcome {
            JobOutcome::Completed => 0.0,
            JobOutcome::Failed => 1.0,
            JobOutcome::Unmeasured => return,
        };
        self.mean_service_secs -= self.excess_service_secs() * r.sample_weight;
        let weight = FAILURE_RATE_WEIGHT.max(r.sample_weight);
        self.failure_rate += weight * (failed - self.failure_rate);
        // Fast failures must not lower the measured service time.
        if outcome == JobOutcome::Failed {
            return;
        }
        let took = now.since(r.started).as_secs_f64();
        let route = self.routes.entry(r.job.route).or_default();
        route.mean_secs = Some(match route.mean_secs {
            // A probe shows that the earlier requests tell nothing any more.
            Some(mean) if !r.is_probe => mean + SERVICE_TIME_WEIGHT * (took - mean),
            Some(_) | None => took,
        });
        let weight = SERVICE_TIME_WEIGHT.max(r.sample_weight);
        self.mean_service_secs += weight * (took - self.mean_service_secs);
    }

    /// Returns the mean service time, or the mean age of the running requests if that is more: the
    /// age is the first sign of a target that has become slow. While the target is idle, the mean decays
    /// towards the initial one.
    fn current_service(&self, now: Time) -> Duration {
        let lost = self.excess_service_secs() * (1.0 - self.idle_weight(now));
        let mean = Duration::from_secs_f64(self.mean_service_secs - lost);
        let ages = self.jobs.values().filter_map(|p| match p {
            JobState::Running(r) => Some(now.since(r.started)),
            JobState::Waiting(..) => None,
        });
        let sum: Duration = ages.sum();
        mean.max(sum / self.running.max(1))
    }

    /// Returns the part of the mean service time that decays while the target is idle, in seconds.
    fn excess_service_secs(&self) -> f64 {
        (self.mean_service_secs - INITIAL_SERVICE_TIME.as_secs_f64()).max(0.0)
    }

    /// Returns the weight of what earlier requests showed: 1 while requests run, and less the longer
    /// none has.
    fn idle_weight(&self, now: Time) -> f64 {
        // What a new queue assumes is no experience that could be outdated.
        let active_at = self.active_at.unwrap_or(now);
        let idle = now.since(active_at).saturating_sub(IDLE_GRACE);
        if self.running > 0 || idle.is_zero() {
            return 1.0;
        }
        (-idle.as_secs_f64() / IDLE_HALF_LIFE.as_secs_f64()).exp2()
    }
}
