//! Admission at one node.

use std::collections::HashMap;
use std::time::Duration;

use wire::Time;

use crate::bucket::{Bucket, UsageLimit};
use crate::{Grant, OrganisationId, UsageCount};

/// Time without a reply to a report after which a node counts as out of contact and admits only its
/// own part of each limit.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Factor of that part on an equal share, as the traffic of an organisation is spread unequally.
const ALONE_FACTOR: f64 = 1.5;
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
    /// When the last report was answered.
    answered_at: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Counts {
    demanded: u32,
    admitted: i32,
    used_at: Time,
    /// Requests per second that the ledger grants; `None` while the organisation is far from its limit.
    granted: Option<f64>,
    bucket: Bucket,
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
        let is_alone = self.is_alone(now);
        let counts = self.organisations.entry(organisation).or_insert(Counts {
            demanded: 0,
            admitted: 0,
            used_at: now,
            granted: None,
            bucket: Bucket::new(now, 1.0),
        });
        counts.demanded += 1;
        counts.used_at = now;
        let limit_rate = limit.rate_per_s();
        let rate = match counts.granted {
            Some(granted) if !is_alone => granted,
            _ if is_alone => limit_rate * ALONE_FACTOR / nodes.max(1) as f64,
            // No node may admit more than the whole limit.
            _ => limit_rate + limit.burst as f64,
        };
        let savings = (rate * GRANT_SAVINGS.as_secs_f64()).max(MIN_SAVINGS);
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

    /// Returns the counts since the last call, of the organisations that were active.
    pub fn take_report(&mut self, now: Time) -> Vec<UsageCount> {
        let is_recent = |c: &Counts| now.since(c.used_at) < IDLE_TIMEOUT;
        self.organisations.retain(|_, c| is_recent(c));
        let active = self.organisations.iter_mut().filter_map(|(id, c)| {
            let count = UsageCount {
                organisation: *id,
                demanded: std::mem::take(&mut c.demanded),
                admitted: std::mem::take(&mut c.admitted),
            };
            (count.demanded > 0 || count.admitted != 0).then_some(count)
        });
        active.collect()
    }

    /// Adds the counts of a report again that was not answered.
    pub fn restore(&mut self, counts: &[UsageCount]) {
        for count in counts {
            if let Some(c) = self.organisations.get_mut(&count.organisation) {
                c.demanded += count.demanded;
                c.admitted += count.admitted;
            }
        }
    }

    /// Applies the reply to a report: the organisations near their limits. The others are free.
    pub fn apply(&mut self, now: Time, grants: &[Grant]) {
        self.answered_at = Some(now);
        for (id, counts) in &mut self.organisations {
            let grant = grants.iter().find(|g| g.organisation == *id);
            if grant.is_some() && counts.granted.is_none() {
                // What was saved up before is not part of the grant.
                counts.bucket = Bucket::new(now, 0.0);
            }
            counts.granted = grant.map(|g| g.rate_per_s);
        }
    }

    fn is_alone(&self, now: Time) -> bool {
        self.answered_at
            .is_none_or(|at| now.since(at) > CONTACT_TIMEOUT)
    }
}
