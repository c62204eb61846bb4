//! Issues idempotency keys to callers: `POST /.briarlug/keys?count=N` returns a JSON array.

use std::sync::Arc;

use axum::Json;
use axum::extract::{Query, State};
use axum::http::Uri;
use axum::response::{IntoResponse, Response};
use serde::Deserialize;
use wire::{Code, Refusal};

use crate::claims::IssueKeys;
use crate::entry::count_refusal;
use crate::problem;
use crate::shared::Shared;

/// Path on the callers' listener for issuing keys.
pub(crate) const PATH: &str = "/.briarlug/keys";

#[derive(Debug, Deserialize)]
struct IssueParams {
    #[serde(default = "one")]
    count: usize,
}

fn one() -> usize {
    1
}

/// Issues `count` keys (default 1) for the service of the local target. Refuses a count
/// outside of 1 to [`claim::MAX_KEYS_PER_BLOCK`].
pub(crate) async fn issue(State(shared): State<Arc<Shared>>, uri: Uri) -> Response {
    match try_issue(&shared, &uri).await {
        Ok(keys) => Json(keys).into_response(),
        Err(refusal) => {
            count_refusal(&shared, refusal.code);
            problem::response(refusal)
        }
    }
}

async fn try_issue(shared: &Shared, uri: &Uri) -> Result<Vec<String>, Refusal> {
    shared.check_serving()?;
    let Query(IssueParams { count }) = Query::try_from_uri(uri).map_err(|_| Code::BadHeader)?;
    // There is no code for query parameters; this one also has the HTTP status 400.
    if !(1..=claim::MAX_KEYS_PER_BLOCK).contains(&count) {
        return Err(Code::BadHeader.into());
    }
    let actors = shared.actors.get().ok_or(Code::NotReady)?;
    let keys = actors.claims.ask(IssueKeys(count)).await;
    Ok(keys.map_err(|_| Code::ClaimUnavailable)?)
}
