//! Tokens of the retry budgets: every attempt beyond the first of a request takes one, also while the
//! node shuts down.

use std::time::Duration;

use rand::seq::SliceRandom;
use route::RepeatReason;
use wire::ServiceName;

use crate::link::context;
use crate::shared::{Phase, Shared};

/// Number of peers that are asked for a token in one round.
const PEERS_ASKED: usize = 3;
/// Timeout of a request for a token.
const LEND_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between two rounds in which a leaving node tries to get a token.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Takes a token of this node's part of the budget; returns `false` if none is left for `reason`.
pub(crate) fn try_spend(shared: &Shared, service: &ServiceName, reason: RepeatReason) -> bool {
    let now = shared.now();
    shared.with_retry_budgets(now, |b| b.try_spend(now, service, reason))
}

/// Takes a token for a request that was cut off, from this node's part of the budget or from that of
/// a peer. A leaving node gets few new requests, which add few tokens, while its peers get those
/// requests and the tokens. The caller bounds the wait.
pub(crate) async fn wait_for_token(shared: &Shared, service: &ServiceName) {
    while !try_spend(shared, service, RepeatReason::CutOff) {
        if borrow(shared, service).await {
            return;
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
}

/// Asks some peers for a token; returns whether one has lent it.
async fn borrow(shared: &Shared, service: &ServiceName) -> bool {
    let mut peers = shared.peers.lock().clients();
    peers.shuffle(&mut *shared.rng.lock());
    for (_, client) in peers.into_iter().take(PEERS_ASKED) {
        let lent = client.lend_retry(context(LEND_TIMEOUT), service.clone());
        // The token of a reply that arrives too late is lost, which only lowers the sum.
        if let Ok(Ok(true)) = tokio::time::timeout(LEND_TIMEOUT, lent).await {
            return true;
        }
    }
    false
}

/// Takes a token for a request of a peer. A node that shuts down lends none: it may need its own.
pub(crate) fn lend(shared: &Shared, service: &ServiceName) -> bool {
    shared.phase() == Phase::Serving && try_spend(shared, service, RepeatReason::CutOff)
}
