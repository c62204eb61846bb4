//! Admission at one node.

use std::collections::HashMap;
use std::time::Duration;

use wire::Time;

use crate::bucket::{Bucket, UsageLimit};
use crate::{Grant, HOLD_TIME, OrganisationId, UsageCount, UsageReport};

/// Time from a report until its reply permits nothing any more: two intervals of reports. Within it, an
/// organisation may demand many times its usual unnoticed.
const REPLY_VALIDITY: Duration = Duration::from_millis(600);
/// Part of an equal share that a node may admit after that on top of its own average, as clients may move
/// to it.
const SPARE_PART: f64 = 0.3;
/// Time over which that average is taken.
const AVERAGE_TIME: Duration = Duration::from_secs(3);
/// Requests that a node without a valid reply may save up at least.
const ALONE_SAVINGS: f64 = 1.0;
/// Time for which a granted rate may be saved up: somewhat more than one interval of reports.
const GRANT_SAVINGS: Duration = Duration::from_millis(400);
/// Requests that may be saved up at least: a node with little traffic of an organisation gets them
/// unevenly. The ledger takes off what they exceed.
const MIN_SAVINGS: f64 = 2.0;
/// Time without a request after which the counts of an organisation are dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Usage at one node.
#[derive(Clone, Debug, Default)]
pub struct LocalUsage {
    organisations: HashMap<OrganisationId, Counts>,
    /// When the last report that was answered was sent, and to which ledger.
    answered: Option<(Time, LedgerId)>,
}

/// Identifies the ledger of one process: a random number.
pub type LedgerId = u64;

#[derive(Clone, Copy, Debug)]
struct Counts {
    demanded: u32,
    admitted: i32,
    used_at: Time,
    /// Requests per second that the ledger grants; `None` while the organisation is far from its limit.
    granted: Option<f64>,
    bucket: Bucket,
    /// Whether the last request was decided without a valid reply of the ledger.
    is_alone: bool,
    /// Requests per second that were admitted, as of the last answered report.
    average: f64,
    /// Requests per second that this node may admit without a valid reply.
    alone_rate: f64,
    /// Admitted requests that a report without an outcome covers.
    in_flight: i32,
}

impl LocalUsage {
    /// Counts a request of an organisation and decides whether it is within the limit. `nodes` is the
    /// number of nodes of the mesh.
    ///
    /// # Errors
    ///
    /// Returns the time after which another request may be admitted.
    pub fn admit(
        &mut self,
        now: Time,
        organisation: OrganisationId,
        limit: UsageLimit,
        nodes: usize,
    ) -> Result<(), Duration> {
        let since_reply = self.answered.map(|(sent_at, _)| now.since(sent_at));
        let is_alone = since_reply.is_none_or(|t| t > REPLY_VALIDITY);
        let counts = self.organisations.entry(organisation).or_insert(Counts {
            demanded: 0,
            admitted: 0,
            used_at: now,
            granted: None,
            bucket: Bucket::new(now, 1.0),
            is_alone: false,
            average: 0.0,
            alone_rate: 0.0,
            in_flight: 0,
        });
        counts.demanded += 1;
        counts.used_at = now;
        let limit_rate = limit.rate_per_s();
        if is_alone {
            let share = limit_rate / nodes.max(1) as f64;
            counts.alone_rate = match since_reply {
                Some(t) if t < HOLD_TIME => counts.average + share * SPARE_PART,
                _ => share,
            };
            if !counts.is_alone {
                // What was admitted under the last reply, before its end was known, is taken off.
                let earned = counts.alone_rate * since_reply.unwrap_or_default().as_secs_f64();
                let admitted = f64::from(counts.admitted + counts.in_flight);
                let tokens = ALONE_SAVINGS + earned - admitted;
                counts.bucket = Bucket::new(now, tokens.min(ALONE_SAVINGS));
            }
        }
        counts.is_alone = is_alone;
        let (rate, min_savings) = match counts.granted {
            _ if is_alone => (counts.alone_rate, ALONE_SAVINGS),
            Some(granted) => (granted, MIN_SAVINGS),
            // No node may admit more than the whole limit.
            None => (limit_rate + limit.burst as f64, MIN_SAVINGS),
        };
        let savings = (rate * GRANT_SAVINGS.as_secs_f64()).max(min_savings);
        counts.bucket.try_take(now, rate, savings)?;
        counts.admitted += 1;
        Ok(())
    }

    /// Takes back an admitted request that was refused without a run.
    pub fn give_back(&mut self, organisation: OrganisationId) {
        if let Some(counts) = self.organisations.get_mut(&organisation) {
            counts.admitted -= 1;
            counts.bucket.give_back();
        }
    }

    /// Returns the counts since the last call, of the organisations that were active, for the ledger
    /// `ledger`. To one that has not answered before, only what exceeds this node's part without a reply
    /// is reported as admitted: the ledger leaves that part to each node until it answers.
    pub fn take_report(&mut self, now: Time, ledger: LedgerId) -> UsageReport {
        let follows_other = self.answered.is_some_and(|(_, id)| id != ledger);
        let since_reply = self.answered.map(|(sent_at, _)| now.since(sent_at));
        let alone_time = match follows_other {
            true => since_reply.unwrap_or_default().as_secs_f64(),
            false => 0.0,
        };
        let is_recent = |c: &Counts| now.since(c.used_at) < IDLE_TIMEOUT;
        self.organisations.retain(|_, c| is_recent(c));
        let active = self.organisations.iter_mut().filter_map(|(id, c)| {
            let own_part = (c.alone_rate * alone_time) as i32;
            c.in_flight = std::mem::take(&mut c.admitted);
            let count = UsageCount {
                organisation: *id,
                demanded: std::mem::take(&mut c.demanded),
                admitted: c.in_flight - c.in_flight.clamp(0, own_part),
            };
            (count.demanded > 0 || c.in_flight != 0).then_some(count)
        });
        UsageReport {
            counts: active.collect(),
            follows_other,
        }
    }

    /// Adds the counts of a report again that was not answered.
    pub fn restore(&mut self, report: &UsageReport) {
        for count in &report.counts {
            if let Some(c) = self.organisations.get_mut(&count.organisation) {
                c.demanded += count.demanded;
                c.admitted += std::mem::take(&mut c.in_flight);
            }
        }
    }

    /// Applies the reply of `ledger` to `report`, which was sent at `sent_at`: the
    /// organisations near their limits. The others are free.
    pub fn apply(
        &mut self,
        now: Time,
        sent_at: Time,
        ledger: LedgerId,
        report: &UsageReport,
        grants: &[Grant],
    ) {
        let before = self.answered.replace((sent_at, ledger));
        let interval = before.map(|(at, _)| sent_at.since(at).as_secs_f64());
        let reported = |id| report.counts.iter().find(|c| c.organisation == id);
        for (id, counts) in &mut self.organisations {
            counts.in_flight = 0;
            if let Some(interval) = interval.filter(|t| *t > 0.0) {
                let admitted = reported(*id).map_or(0.0, |c| f64::from(c.admitted));
                let weight = (interval / AVERAGE_TIME.as_secs_f64()).min(1.0);
                counts.average += (admitted / interval - counts.average) * weight;
            }
            let grant = grants.iter().find(|g| g.organisation == *id);
            if grant.is_some() && (counts.granted.is_none() || counts.is_alone) {
                // What was saved up before is not part of the grant.
                counts.bucket = Bucket::new(now, 0.0);
            }
            counts.granted = grant.map(|g| g.rate_per_s);
        }
    }
}
