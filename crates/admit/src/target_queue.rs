//! The queue in front of one target, held by the node beside it.
//!
//! The load that it answers is more work than the target can do, for seconds. Then the slots go to
//! requests that can still meet their objective: the more urgent first, short work before long, the
//! earlier objective before the later. Work that is late already, mostly of callers who were
//! refused and came back, gets what is left. A request that has no chance of its place is refused at
//! once; a request that is refused here has not reached the target.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use wire::{Code, Load, Refusal, Time};

/// Service time assumed before the first measurement: a short remote call.
const INITIAL_SERVICE: Duration = Duration::from_millis(50);
/// Weight of a new measurement in the moving average of a route's service time: about the last
/// 16 requests count.
const SERVICE_WEIGHT: f64 = 1.0 / 16.0;
/// Weight of a new outcome in the moving failure rate: about the last 12 requests count.
const FAILURE_WEIGHT: f64 = 1.0 / 12.0;
/// Waiting requests per slot; bounds memory, the deadlines bind long before.
const MAX_WAITING_PER_SLOT: usize = 64;
/// Expected service times that must fit before the deadline, or the objective, when a request starts.
/// Work that is cut at its deadline has used a slot for nothing; more than half take less.
const START_MARGIN: f64 = 1.1;
/// Longest wait of a late request. Holding one that is refused in the end serves nobody, and how
/// much work with better standing will come in meanwhile is not known.
const MAX_LATE_WAIT: Duration = Duration::from_millis(50);
/// Work that takes less than this part of the target's mean counts as short: in a mesh these are
/// the calls of running work, whose failure wastes what their caller has done so far.
const SHORT_SHARE: f64 = 0.4;

new_key_type! {
    /// A request that waits for or holds a slot.
    pub struct JobKey;
}

/// Identifies a route for service times.
pub type RouteId = u64;

/// A request that asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Its route.
    pub route: RouteId,
    /// Rank of the route; 0 is the most urgent.
    pub priority: u32,
    /// When it asked for a slot.
    pub arrived: Time,
    /// Until when an answer has its full value.
    pub due: Time,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Whether no other target will be asked, so that a late answer is better than none.
    pub last_resort: bool,
    /// Longest wait for a slot; after a longer one another target will have answered sooner.
    pub max_wait: Duration,
}

/// What happens to a request that asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admit {
    /// It holds a slot now.
    Run(JobKey),
    /// It waits.
    Wait(JobKey),
    /// It is refused and has not run.
    Refuse(Refusal),
}

/// What became of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// It holds a slot now.
    Run(JobKey),
    /// It is refused and has not run.
    Refuse(JobKey, Refusal),
}

/// How a request that held a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The target answered it.
    Answered,
    /// The target failed it.
    Failed,
    /// The caller left, or the outcome says nothing about the target.
    Dropped,
}

/// A summary of the queue that other nodes place by.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueueState {
    /// Slots in use, waiting requests, slots.
    pub load: Load,
    /// Mean time that a request holds a slot.
    pub service: Duration,
    /// Part of the recent requests that the target failed, 0 to 1.
    pub failing: f32,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    job: Job,
    since: Time,
}

/// What a request can still gain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    /// It can meet its objective, or it is short.
    OnTime,
    /// It can't.
    Late,
}

/// Order of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    standing: Standing,
    priority: u32,
    /// Logarithm of the expected service time, so that only clear differences count.
    size: u32,
    due: Time,
    arrival: u64,
}

#[derive(Clone, Copy, Debug)]
enum Place {
    Running(Running),
    Waiting(Rank, Job),
}

/// Slots and waiting requests of one target.
#[derive(Clone, Debug)]
pub struct TargetQueue {
    slots: u32,
    open: bool,
    jobs: SlotMap<JobKey, Place>,
    waiting: BTreeMap<Rank, JobKey>,
    running: u32,
    arrivals: u64,
    service: HashMap<RouteId, f64>,
    mean_service: f64,
    failing: f64,
}

impl TargetQueue {
    /// Makes the queue of a target with `slots` slots.
    pub fn new(slots: u32) -> TargetQueue {
        TargetQueue {
            slots: slots.max(1),
            open: true,
            jobs: SlotMap::with_key(),
            waiting: BTreeMap::new(),
            running: 0,
            arrivals: 0,
            service: HashMap::new(),
            mean_service: INITIAL_SERVICE.as_secs_f64(),
            failing: 0.0,
        }
    }

    /// Sets the number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Forgets what was measured, for a target that has started again.
    pub fn restart(&mut self) {
        self.service.clear();
        self.mean_service = INITIAL_SERVICE.as_secs_f64();
        self.failing = 0.0;
    }

    /// Opens or closes the queue. A closed queue refuses new and waiting requests.
    pub fn set_open(&mut self, open: bool) {
        self.open = open;
    }

    /// Asks for a slot.
    pub fn offer(&mut self, now: Time, job: Job) -> Admit {
        self.arrivals += 1;
        match self.judge(now, &job, 0) {
            Err(refusal) => Admit::Refuse(refusal),
            Ok(None) => Admit::Run(self.start(now, job)),
            Ok(Some(rank)) => {
                let key = self.jobs.insert(Place::Waiting(rank, job));
                self.waiting.insert(rank, key);
                Admit::Wait(key)
            }
        }
    }

    /// Returns what a request that asked for a slot now would be refused with, behind `coming`
    /// others that have not asked yet.
    ///
    /// # Errors
    ///
    /// Fails with the refusal that [`TargetQueue::offer`] would give.
    pub fn would_take(&self, now: Time, job: &Job, coming: usize) -> Result<(), Refusal> {
        self.judge(now, job, coming).map(|_| ())
    }

    /// Returns the place of a request that has to wait, or `None` if it may start.
    fn judge(&self, now: Time, job: &Job, coming: usize) -> Result<Option<Rank>, Refusal> {
        if !self.open {
            return Err(Code::Draining.into());
        }
        let mut rank = self.rank(now, job);
        let taken = self.running as usize + coming;
        // Others that come fill the free slots first and then wait.
        let before = taken.saturating_sub(self.slots as usize);
        let mut ahead = self.waiting.range(..rank).count() + before;
        if taken < self.slots as usize && ahead == 0 {
            if !self.can_start(now, job) {
                return Err(Code::CannotStartInTime.into());
            }
            return Ok(None);
        }
        if self.waiting.len() >= self.slots as usize * MAX_WAITING_PER_SLOT {
            return Err(self.refusal(Code::QueueFull));
        }
        if self.wait_behind(ahead) > job.max_wait {
            return Err(self.refusal(Code::CannotStartInTime));
        }
        let misses = !self.is_worth_waiting(now, job, rank, ahead);
        if rank.standing == Standing::OnTime && misses && job.last_resort {
            rank.standing = Standing::Late;
            ahead = self.waiting.range(..rank).count() + before;
        }
        if !self.is_worth_waiting(now, job, rank, ahead) {
            return Err(self.refusal(Code::CannotStartInTime));
        }
        Ok(Some(rank))
    }

    /// Ends a request that holds a slot or waits.
    pub fn end(&mut self, now: Time, key: JobKey, how: Ended) {
        match self.jobs.remove(key) {
            Some(Place::Running(r)) => {
                self.running -= 1;
                self.measure(now, &r, how);
            }
            Some(Place::Waiting(rank, _)) => {
                self.waiting.remove(&rank);
            }
            None => {}
        }
    }

    /// Gives free slots to waiting requests and refuses those that have no chance any more.
    pub fn settle(&mut self, now: Time) -> Vec<Settled> {
        let mut settled = Vec::new();
        if !self.open {
            self.refuse_all(&mut settled);
            return settled;
        }
        while self.running < self.slots {
            let Some((rank, key)) = self.next_waiting(now) else {
                break;
            };
            self.waiting.remove(&rank);
            let Some(Place::Waiting(_, job)) = self.jobs.get(key).copied() else {
                continue;
            };
            if self.can_start(now, &job) {
                self.running += 1;
                self.jobs[key] = Place::Running(Running { job, since: now });
                settled.push(Settled::Run(key));
            } else {
                self.jobs.remove(key);
                let refusal = self.refusal(Code::CannotStartInTime);
                settled.push(Settled::Refuse(key, refusal));
            }
        }
        self.refuse_hopeless(now, &mut settled);
        settled
    }

    /// Returns what other nodes place by.
    pub fn state(&self, now: Time) -> QueueState {
        QueueState {
            load: Load {
                in_flight: self.running,
                queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
                slots: if self.open { self.slots } else { 0 },
            },
            service: self.present_service(now),
            failing: self.failing as f32,
        }
    }

    /// Returns whether no request holds a slot or waits.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns when the request that holds a slot for longest has started.
    pub fn oldest_start(&self) -> Option<Time> {
        let starts = self.jobs.values().filter_map(|p| match p {
            Place::Running(r) => Some(r.since),
            Place::Waiting(..) => None,
        });
        starts.min()
    }

    /// Returns the time that must be left when a request of a route starts.
    pub fn needed(&self, route: RouteId) -> Duration {
        self.service_of(route).mul_f64(START_MARGIN)
    }

    /// Returns the expected service time of a route.
    pub fn service_of(&self, route: RouteId) -> Duration {
        let s = self.service.get(&route).copied();
        Duration::from_secs_f64(s.unwrap_or(self.mean_service))
    }

    fn start(&mut self, now: Time, job: Job) -> JobKey {
        self.running += 1;
        self.jobs
            .insert(Place::Running(Running { job, since: now }))
    }

    /// Returns the expected time until the slot for a request with `ahead` others before it.
    fn wait_behind(&self, ahead: usize) -> Duration {
        let turns = (ahead + 1) as f64 / f64::from(self.slots);
        Duration::from_secs_f64(self.mean_service * turns)
    }

    fn rank(&self, now: Time, job: &Job) -> Rank {
        let service = self.service_of(job.route);
        let short = service.as_secs_f64() < SHORT_SHARE * self.mean_service;
        let on_time = short || now + self.needed(job.route) <= job.due;
        Rank {
            standing: if on_time {
                Standing::OnTime
            } else {
                Standing::Late
            },
            priority: job.priority,
            size: (service.as_millis() as u64 | 1).ilog2(),
            due: job.due,
            arrival: self.arrivals,
        }
    }

    /// Returns whether the place in the queue gives a request a chance.
    fn is_worth_waiting(&self, now: Time, job: &Job, rank: Rank, ahead: usize) -> bool {
        let wait = self.wait_behind(ahead);
        let done = now + wait + self.service_of(job.route);
        match rank.standing {
            Standing::OnTime => done <= job.due.max(self.short_limit(job, rank)).min(job.deadline),
            Standing::Late => wait <= MAX_LATE_WAIT / 2 && done <= job.deadline,
        }
    }

    /// Short work may use all of its time: its caller has no use of the objective alone.
    fn short_limit(&self, job: &Job, rank: Rank) -> Time {
        let mean_ms = (self.mean_service * 1_000.0 * SHORT_SHARE) as u64;
        if rank.size < (mean_ms | 1).ilog2() {
            job.deadline
        } else {
            Time::ZERO
        }
    }

    fn can_start(&self, now: Time, job: &Job) -> bool {
        now + self.needed(job.route) <= job.deadline
    }

    /// Returns whether a waiting request should be kept.
    fn has_chance(&self, now: Time, standing: Standing, job: &Job) -> bool {
        let waited = now.since(job.arrived);
        self.can_start(now, job) && (standing == Standing::OnTime || waited <= MAX_LATE_WAIT)
    }

    /// Returns the next request to serve: the first that still has the standing that it came
    /// with, else the first.
    fn next_waiting(&self, now: Time) -> Option<(Rank, JobKey)> {
        let on_time = self
            .waiting
            .iter()
            .find(|(rank, key)| match self.jobs[**key] {
                Place::Waiting(_, job) => self.rank(now, &job).standing <= rank.standing,
                Place::Running(_) => false,
            });
        on_time
            .or_else(|| self.waiting.first_key_value())
            .map(|(rank, key)| (*rank, *key))
    }

    fn refuse_all(&mut self, settled: &mut Vec<Settled>) {
        while let Some((_, key)) = self.waiting.pop_first() {
            self.jobs.remove(key);
            settled.push(Settled::Refuse(key, Code::Draining.into()));
        }
    }

    fn refuse_hopeless(&mut self, now: Time, settled: &mut Vec<Settled>) {
        let hopeless: Vec<(Rank, JobKey)> = self
            .waiting
            .iter()
            .filter(|(_, key)| match &self.jobs[**key] {
                Place::Waiting(rank, job) => !self.has_chance(now, rank.standing, job),
                Place::Running(_) => false,
            })
            .map(|(rank, key)| (*rank, *key))
            .collect();
        for (rank, key) in hopeless {
            self.waiting.remove(&rank);
            self.jobs.remove(key);
            let refusal = self.refusal(Code::CannotStartInTime);
            settled.push(Settled::Refuse(key, refusal));
        }
    }

    /// Refuses with the time after which the present queue will have been served.
    fn refusal(&self, code: Code) -> Refusal {
        Refusal {
            code,
            retry_after: Some(self.wait_behind(self.waiting.len())),
        }
    }

    fn measure(&mut self, now: Time, r: &Running, how: Ended) {
        let failed = match how {
            Ended::Answered => 0.0,
            Ended::Failed => 1.0,
            Ended::Dropped => return,
        };
        self.failing += FAILURE_WEIGHT * (failed - self.failing);
        // A target that fails fast must not look like a fast one.
        if how == Ended::Failed {
            return;
        }
        let took = now.since(r.since).as_secs_f64();
        let route = self.service.entry(r.job.route).or_insert(took);
        *route += SERVICE_WEIGHT * (took - *route);
        self.mean_service += SERVICE_WEIGHT * (took - self.mean_service);
    }

    /// Returns the mean service time, or the mean age of the requests that hold a slot if that is
    /// more: a target that has turned slow shows there first.
    fn present_service(&self, now: Time) -> Duration {
        let mean = Duration::from_secs_f64(self.mean_service);
        let ages = self.jobs.values().filter_map(|p| match p {
            Place::Running(r) => Some(now.since(r.since)),
            Place::Waiting(..) => None,
        });
        let sum: Duration = ages.sum();
        mean.max(sum / self.running.max(1))
    }
}
