//! Helpers that send requests and check the replies.

use std::time::{Duration, Instant};

use reqwest::Method;

use crate::common::{Mesh, NodeSpec, spec};

const DOMAINS: [&str; 3] = ["pk-north-a", "pk-north-b", "pk-north-c"];
const REQUEST_START_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts a mesh with the given number of nodes per service and the example configuration in
/// force.
pub(crate) async fn start_mesh(
    name: &str,
    services: &[(&'static str, usize)],
    extra: &str,
) -> Mesh {
    let of = |&(s, n): &(&'static str, usize)| -> Vec<NodeSpec> {
        (0..n).map(|i| spec(s, i, DOMAINS[i % 3])).collect()
    };
    let specs: Vec<NodeSpec> = services.iter().flat_map(of).collect();
    let mesh = Mesh::start_with(name, &specs, extra);
    mesh.publish_and_wait_ready().await;
    mesh
}

/// A request to send.
#[derive(Clone)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    /// Value of `idempotency-key`; `None` sends no such header.
    pub(crate) key: Option<String>,
    /// Value of `briarlug-timeout-ms`; `None` sends no such header.
    pub(crate) timeout_ms: Option<u64>,
    pub(crate) body: Vec<u8>,
}

pub(crate) fn get(path: impl Into<String>) -> Call {
    Call {
        method: Method::GET,
        path: path.into(),
        key: None,
        timeout_ms: None,
        body: Vec::new(),
    }
}

/// A non-idempotent request (a transfer of title): it must not run twice.
pub(crate) fn transfer(key: &str, query: &str) -> Call {
    Call {
        method: Method::POST,
        path: format!("/titles/7?{query}"),
        key: Some(key.to_owned()),
        timeout_ms: None,
        body: b"to: B".to_vec(),
    }
}

/// The reply that a caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    /// Refusal code (`briarlug-code`); `None` in the response of a target.
    pub(crate) code: Option<u16>,
    /// Value of `briarlug-executed`: `yes`, `no` or `unknown`.
    pub(crate) executed: Option<String>,
    /// `None` if the connection failed before the end of the body.
    pub(crate) body: Option<String>,
}

impl Reply {
    pub(crate) fn is_ok(&self) -> bool {
        self.status == 200 && self.body.is_some()
    }

    fn reports_not_run(&self) -> bool {
        self.executed.as_deref() == Some("no")
    }
}

/// Sends a request; `None` if no response head arrives.
pub(crate) fn send(
    mesh: &Mesh,
    entry: usize,
    call: &Call,
) -> impl Future<Output = Option<Reply>> + Send + use<> {
    let url = mesh.nodes[entry].url(&call.path);
    let mut req = mesh.client.request(call.method.clone(), url);
    if let Some(key) = &call.key {
        req = req.header("idempotency-key", key);
    }
    if let Some(ms) = call.timeout_ms {
        req = req.header(wire::TIMEOUT_MS, ms);
    }
    let req = req.body(call.body.clone());
    async move {
        let res = req.send().await.ok()?;
        Some(read_reply(res).await)
    }
}

/// Repeats the request until a reply other than "not run" arrives or 8 s have passed. Returns the
/// replies without consecutive duplicates.
pub(crate) async fn send_until_settled(mesh: &Mesh, entry: usize, call: &Call) -> Vec<Reply> {
    let until = Instant::now() + Duration::from_secs(8);
    let mut replies = Vec::new();
    while Instant::now() < until {
        if let Some(reply) = send(mesh, entry, call).await {
            let is_not_run = reply.reports_not_run();
            replies.push(reply);
            replies.dedup();
            if !is_not_run {
                break;
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    replies
}

/// Checks that the request with this key ran at most once and that the replies agree with it: no
/// success or "run" without a run, and no run that all replies report as "not run".
pub(crate) async fn assert_at_most_once(mesh: &Mesh, case: &str, key: &str, replies: &[Reply]) {
    let runs = mesh.total_runs(key).await;
    assert!(
        runs <= 1,
        "{case}: the targets ran key {key} {runs} times; {replies:?}"
    );
    let ok = replies.iter().filter(|r| r.is_ok()).count();
    if ok > 0 {
        assert_eq!(
            runs, 1,
            "{case}: a successful reply, but no target ran the request; {replies:?}"
        );
    }
    if runs == 1 {
        let all_not_run = replies.iter().all(Reply::reports_not_run);
        assert!(
            !all_not_run,
            "{case}: a target ran the request, but all replies say 'not run': {replies:?}"
        );
    }
    let any_run = replies.iter().any(|r| r.executed.as_deref() == Some("yes"));
    assert!(
        !any_run || runs == 1,
        "{case}: a reply says 'run', but no target ran the request: {replies:?}"
    );
}

/// Waits until a node of the service has a request in flight at its target, and returns the index
/// of the node.
pub(crate) async fn wait_for_busy_node(mesh: &Mesh, service: &str) -> usize {
    let until = Instant::now() + REQUEST_START_TIMEOUT;
    while Instant::now() < until {
        for i in mesh.nodes_of(service) {
            if let Some(state) = mesh.state(i).await
                && state.load.in_flight > 0
            {
                return i;
            }
        }
    }
    panic!("no node of {service} had a request in flight within {REQUEST_START_TIMEOUT:?}");
}

/// Waits until the target of a node has started a request.
pub(crate) async fn wait_for_request_start(mesh: &Mesh, i: usize) {
    let until = Instant::now() + REQUEST_START_TIMEOUT;
    while mesh.target_stats(i).await.started == 0 {
        assert!(
            Instant::now() < until,
            "the target of node {i} started no request within {REQUEST_START_TIMEOUT:?}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Sends a GET request as caller number `caller`, so that each has a fair share of its own. `None`
/// if no response head arrives.
pub(crate) async fn get_as_caller(
    client: &reqwest::Client,
    url: &str,
    caller: usize,
) -> Option<Reply> {
    let req = client
        .get(url)
        .header(wire::CALLER, format!("caller-{caller}"));
    let res = req.send().await.ok()?;
    Some(read_reply(res).await)
}

async fn read_reply(res: reqwest::Response) -> Reply {
    let header = |name: &str| Some(res.headers().get(name)?.to_str().ok()?.to_owned());
    Reply {
        status: res.status().as_u16(),
        code: header(wire::CODE).and_then(|c| c.parse().ok()),
        executed: header(wire::EXECUTED),
        body: res.text().await.ok(),
    }
}

/// Sends enough requests through each node to fill its retry budget for the loss of a target.
pub(crate) async fn fill_retry_budgets(mesh: &Mesh, path: &str) {
    for _ in 0..10 {
        let entries = (0..mesh.nodes.len()).cycle().take(mesh.nodes.len() * 6);
        let sent = entries.map(|entry| send(mesh, entry, &get(path)));
        futures_util::future::join_all(sent).await;
    }
}
