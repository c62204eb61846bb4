//! Organisations that share a mesh, with their keys and usage limits.
//!
//! Keys are kept and passed on as hashes only. A caller's key is hashed before it is compared, so that
//! the time of a comparison tells nothing about the keys.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};
use wire::Fingerprint;

/// Context of the hash of keys, which no other hash of this project has.
const KEY_CONTEXT: &str = "briarlug 2026-12 organisation key";
/// Largest rate and burst that a limit may state.
const MAX_REQUESTS: f64 = 1e12;

/// Hash of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 16]);

impl KeyDigest {
    /// Hashes a key.
    pub fn of(key: &[u8]) -> KeyDigest {
        let hash = blake3::derive_key(KEY_CONTEXT, key);
        let mut digest = [0; 16];
        digest.copy_from_slice(&hash[..16]);
        KeyDigest(digest)
    }
}

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// An organisation as decoded from the operator's store, not yet validated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RawOrganisation {
    /// Name of the organisation.
    pub name: String,
    /// Hashes of its keys.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests, 0 is the most urgent; it goes before that of the route.
    pub priority: Option<u32>,
    /// Requests per second over all nodes; 0 for no limit.
    pub rate_per_s: f64,
    /// Requests in addition, in a short time.
    pub burst: f64,
}

/// Reason why organisations were rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("organisation {name:?}: {reason}"))]
pub struct OrganisationError {
    /// Name of the organisation.
    name: String,
    /// Description of the fault.
    reason: &'static str,
}

/// Limit on the requests of an organisation, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrganisationLimit {
    /// Thousandths of a request per second.
    pub milli_per_s: u64,
    /// Requests in addition, in a short time.
    pub burst: u64,
}

/// A validated organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Hash of the name, by which nodes refer to it.
    pub id: u64,
    /// Name of the organisation.
    pub name: Arc<str>,
    /// Priority of its requests, if it has one.
    pub priority: Option<u32>,
    /// Limit on its requests; `None` for none.
    pub limit: Option<OrganisationLimit>,
}

/// The organisations of a routing table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Organisations {
    by_key: HashMap<KeyDigest, Arc<Organisation>>,
    by_id: HashMap<u64, Arc<Organisation>>,
    /// Hash of all organisations and keys.
    fingerprint: u64,
}

impl TryFrom<&[RawOrganisation]> for Organisations {
    type Error = OrganisationError;

    fn try_from(raw: &[RawOrganisation]) -> Result<Organisations, OrganisationError> {
        let mut all = Organisations::default();
        for raw in raw {
            let organisation = Arc::new(validate(raw)?);
            let fail = |reason| OrganisationSnafu {
                name: &raw.name,
                reason,
            };
            let known = all.by_id.insert(organisation.id, organisation.clone());
            ensure!(known.is_none(), fail("the name occurs twice"));
            for key in &raw.keys {
                let owner = all.by_key.insert(*key, organisation.clone());
                let is_own = owner.is_none_or(|o| o.id == organisation.id);
                ensure!(is_own, fail("a key belongs to another organisation too"));
            }
            let hash = fingerprint(&organisation, &raw.keys);
            all.fingerprint = all.fingerprint.wrapping_add(hash);
        }
        Ok(all)
    }
}

fn validate(raw: &RawOrganisation) -> Result<Organisation, OrganisationError> {
    let fail = |reason| OrganisationSnafu {
        name: &raw.name,
        reason,
    };
    ensure!(!raw.name.is_empty(), fail("the name is empty"));
    let is_visible = raw.name.bytes().all(|b| b.is_ascii_graphic());
    ensure!(is_visible, fail("the name can't be sent in a header"));
    let is_number = |n: f64| (0.0..=MAX_REQUESTS).contains(&n);
    let is_limit = is_number(raw.rate_per_s) && is_number(raw.burst);
    ensure!(is_limit, fail("the usage limit is out of range"));
    Ok(Organisation {
        id: Fingerprint::of(&[raw.name.as_bytes()]).0,
        name: raw.name.as_str().into(),
        priority: raw.priority,
        limit: (raw.rate_per_s > 0.0).then(|| OrganisationLimit {
            milli_per_s: (raw.rate_per_s * 1_000.0).round() as u64,
            burst: raw.burst.round() as u64,
        }),
    })
}

/// Hashes an organisation with its keys; the sum over all does not depend on their order.
fn fingerprint(organisation: &Organisation, keys: &[KeyDigest]) -> u64 {
    let mut keys = keys.to_vec();
    keys.sort_unstable();
    keys.dedup();
    let limit = organisation
        .limit
        .map_or([0, 0], |l| [l.milli_per_s, l.burst]);
    let priority = organisation.priority.map_or(u64::MAX, u64::from);
    let numbers = [priority, limit[0], limit[1]]
        .map(u64::to_le_bytes)
        .concat();
    let mut parts = vec![organisation.name.as_bytes(), &numbers];
    parts.extend(keys.iter().map(|k| &k.0[..]));
    Fingerprint::of(&parts).0
}

impl Organisations {
    /// Returns the organisation that holds a key.
    pub fn holder(&self, key: &[u8]) -> Option<&Arc<Organisation>> {
        self.by_key.get(&KeyDigest::of(key))
    }

    /// Returns the organisation with this id.
    pub fn get(&self, id: u64) -> Option<&Arc<Organisation>> {
        self.by_id.get(&id)
    }

    /// Returns whether an organisation has a limit.
    pub fn have_limits(&self) -> bool {
        self.by_id.values().any(|o| o.limit.is_some())
    }

    pub(crate) fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Returns the organisations in the form in which they are passed on.
    pub(crate) fn to_raw(&self) -> Vec<RawOrganisation> {
        let raw = |o: &Arc<Organisation>| RawOrganisation {
            name: o.name.to_string(),
            keys: self.keys_of(o.id),
            priority: o.priority,
            rate_per_s: o.limit.map_or(0.0, |l| l.milli_per_s as f64 / 1_000.0),
            burst: o.limit.map_or(0.0, |l| l.burst as f64),
        };
        self.by_id.values().map(raw).collect()
    }

    fn keys_of(&self, id: u64) -> Vec<KeyDigest> {
        let own = self.by_key.iter().filter(|(_, o)| o.id == id);
        own.map(|(key, _)| *key).collect()
    }
}
