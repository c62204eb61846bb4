//! Calls and their checks.

use std::time::{Duration, Instant};

use reqwest::Method;

use crate::common::{Mesh, Spec, spec};

const DOMAINS: [&str; 3] = ["pk-north-a", "pk-north-b", "pk-north-c"];
const SEARCH: Duration = Duration::from_secs(3);

/// Starts a mesh of `n` nodes per service with the example text in force.
pub(crate) async fn mesh(name: &str, services: &[(&'static str, usize)], extra: &str) -> Mesh {
    let of = |&(s, n): &(&'static str, usize)| -> Vec<Spec> {
        (0..n).map(|i| spec(s, i, DOMAINS[i % 3])).collect()
    };
    let specs: Vec<Spec> = services.iter().flat_map(of).collect();
    let mesh = Mesh::start_with(name, &specs, extra);
    mesh.publish_first().await;
    mesh
}

/// A request of a caller.
#[derive(Clone)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) key: Option<String>,
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

/// A transfer of title, which must not run twice.
pub(crate) fn transfer(key: &str, query: &str) -> Call {
    Call {
        method: Method::POST,
        path: format!("/titles/7?{query}"),
        key: Some(key.to_owned()),
        timeout_ms: None,
        body: b"to: B".to_vec(),
    }
}

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) code: Option<u16>,
    pub(crate) executed: Option<String>,
    /// Absent when the body broke off.
    pub(crate) body: Option<String>,
}

impl Reply {
    pub(crate) fn is_ok(&self) -> bool {
        self.status == 200 && self.body.is_some()
    }

    fn says_not_run(&self) -> bool {
        self.executed.as_deref() == Some("no")
    }
}

/// Sends a request; nothing is returned when no response head arrives.
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

/// Sends the request until it gets an answer that isn't "not run", and returns all replies.
pub(crate) async fn send_until_settled(mesh: &Mesh, entry: usize, call: &Call) -> Vec<Reply> {
    let until = Instant::now() + Duration::from_secs(8);
    let mut replies = Vec::new();
    while Instant::now() < until {
        if let Some(reply) = send(mesh, entry, call).await {
            let again = reply.says_not_run();
            replies.push(reply);
            replies.dedup();
            if !again {
                break;
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    replies
}

/// Checks that the key ran at most once, and that the replies are true and let the caller know.
pub(crate) async fn assert_at_most_once(mesh: &Mesh, case: &str, key: &str, replies: &[Reply]) {
    let runs = mesh.runs_of(key).await;
    assert!(runs <= 1, "{case}: {runs} runs, {replies:?}");
    let ok = replies.iter().filter(|r| r.is_ok()).count();
    if ok > 0 {
        assert_eq!(runs, 1, "{case}: an answer without a run, {replies:?}");
    }
    if runs == 1 {
        let all_no = replies.iter().all(Reply::says_not_run);
        assert!(
            !all_no,
            "{case}: ran, but only 'not run' was said: {replies:?}"
        );
    }
    let said_yes = replies.iter().any(|r| r.executed.as_deref() == Some("yes"));
    assert!(
        !said_yes || runs == 1,
        "{case}: 'run' without a run: {replies:?}"
    );
}

/// Waits for a node of the service whose target has work, and returns its position.
pub(crate) async fn busy_node(mesh: &Mesh, service: &str) -> usize {
    let until = Instant::now() + SEARCH;
    while Instant::now() < until {
        for i in mesh.of(service) {
            if let Some(state) = mesh.state(i).await
                && state.load.in_flight > 0
            {
                return i;
            }
        }
    }
    panic!("no node of {service} took the request");
}

/// Waits until the target of a node has begun a request.
pub(crate) async fn wait_started(mesh: &Mesh, i: usize) {
    let until = Instant::now() + SEARCH;
    while mesh.target_stats(i).await.started == 0 {
        assert!(Instant::now() < until, "the target got no request");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Sends a GET request of a caller with a share of its own; nothing is returned when no response head arrives.
pub(crate) async fn get_url(client: &reqwest::Client, url: &str, caller: usize) -> Option<Reply> {
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

/// Sends enough requests through each node for its budget to allow the retries of a lost target.
pub(crate) async fn earn_retries(mesh: &Mesh, path: &str) {
    for _ in 0..10 {
        let entries = (0..mesh.nodes.len()).cycle().take(mesh.nodes.len() * 6);
        let sent = entries.map(|entry| send(mesh, entry, &get(path)));
        futures_util::future::join_all(sent).await;
    }
}
