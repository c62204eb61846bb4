//! Trace spans of requests through two nodes, received by a fake OTLP/HTTP collector.

mod common;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::Router;
use axum::body::Bytes;
use axum::http::{HeaderMap, StatusCode};
use axum::routing::{any, post};
use common::{Mesh, spec};
use fakes::Announcer;
use googletest::prelude::*;
use opentelemetry_proto::tonic::collector::trace::v1::ExportTraceServiceRequest;
use opentelemetry_proto::tonic::common::v1::any_value::Value;
use opentelemetry_proto::tonic::trace::v1::ResourceSpans;
use prost::Message;
use tokio::net::TcpListener;

/// The span exporter of a node sends a batch every 5 s.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(10);
const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLER_SPAN: &str = "b7ad6b7169203331";

/// A span received by the collector.
#[derive(Clone, Debug)]
struct ReceivedSpan {
    name: String,
    trace: String,
    span: String,
    parent: String,
    /// Name of the node that exported the span.
    instance: String,
    /// Refusal code (`briarlug.code`); `None` if the span has none.
    code: Option<i64>,
}

#[derive(Clone, Default)]
struct Collector {
    spans: Arc<Mutex<Vec<ReceivedSpan>>>,
    bodies: Arc<Mutex<Vec<Bytes>>>,
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn received_spans(resource: &ResourceSpans) -> Vec<ReceivedSpan> {
    let attributes = resource.resource.iter().flat_map(|r| &r.attributes);
    let text = |value: Option<Value>| match value {
        Some(Value::StringValue(s)) => s,
        _ => String::new(),
    };
    let instance = attributes
        .filter(|a| a.key == "service.instance.id")
        .find_map(|a| a.value.clone())
        .map_or(String::new(), |v| text(v.value));
    let spans = resource.scope_spans.iter().flat_map(|s| &s.spans);
    let seen = spans.map(|s| ReceivedSpan {
        name: s.name.clone(),
        trace: hex(&s.trace_id),
        span: hex(&s.span_id),
        parent: hex(&s.parent_span_id),
        instance: instance.clone(),
        code: s
            .attributes
            .iter()
            .find_map(|a| match a.value.clone()?.value? {
                Value::IntValue(n) if a.key == "briarlug.code" => Some(n),
                _ => None,
            }),
    });
    seen.collect()
}

impl Collector {
    /// Starts the collector and returns it with the node settings that export spans to it.
    async fn start(sample: f64) -> (Collector, String) {
        let collector = Collector::default();
        let own = collector.clone();
        let receive = async move |headers: HeaderMap, body: Bytes| {
            if headers["content-type"] != "application/x-protobuf" {
                return StatusCode::UNSUPPORTED_MEDIA_TYPE;
            }
            let Ok(export) = ExportTraceServiceRequest::decode(body.clone()) else {
                return StatusCode::BAD_REQUEST;
            };
            let seen = export.resource_spans.iter().flat_map(received_spans);
            own.spans.lock().unwrap().extend(seen);
            own.bodies.lock().unwrap().push(body);
            StatusCode::OK
        };
        let router = Router::new().route("/v1/traces", post(receive));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        tokio::spawn(async { axum::serve(listener, router).await });
        let settings =
            format!("[trace]\nendpoint = \"http://{addr}/v1/traces\"\nsample = {sample:?}\n");
        (collector, settings)
    }

    /// Waits until the trace has `n` spans and returns them by name; panics on time-out or if there
    /// are more.
    async fn wait_for_spans(&self, trace: &str, n: usize) -> BTreeMap<String, ReceivedSpan> {
        let until = Instant::now() + EXPORT_TIMEOUT;
        loop {
            let all = self.spans.lock().unwrap().clone();
            let of_trace: Vec<_> = all.iter().filter(|s| s.trace == trace).collect();
            if of_trace.len() >= n || Instant::now() >= until {
                assert_that!(of_trace.len(), eq(n), "{all:#?}");
                return of_trace
                    .iter()
                    .map(|s| (s.name.clone(), (*s).clone()))
                    .collect();
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Starts one node per service: transfers run at the target of the first, look-ups at that of the
/// second.
async fn start_mesh(name: &str, settings: &str) -> Mesh {
    let specs = [
        spec("title-desk", 0, "pk-north-a"),
        spec("ledger-view", 0, "pk-north-b"),
    ];
    let mesh = Mesh::start_with(name, &specs, settings);
    mesh.publish_and_wait_ready().await;
    mesh
}

fn traceparent(flags: &str) -> String {
    format!("00-{TRACE}-{CALLER_SPAN}-{flags}")
}

async fn transfer(mesh: &Mesh, flags: Option<&str>, n: usize) -> u16 {
    let mut req = mesh.client.post(mesh.nodes[1].url(&format!("/titles/{n}")));
    if let Some(flags) = flags {
        req = req.header("traceparent", traceparent(flags));
    }
    let key = format!("secret-key-{n}");
    req = req
        .header("idempotency-key", key)
        .header("authorization", "Bearer secret-token");
    let res = req.body("secret-body").send().await.unwrap();
    res.status().as_u16()
}

/// Guards against a trace context that isn't propagated between caller, nodes and target, and
/// against spans that contain bodies, keys or credentials.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_through_two_nodes_continues_the_callers_trace() {
    let (collector, settings) = Collector::start(1.0).await;
    let mut mesh = start_mesh("traces-path", &settings).await;

    // This target records the trace context that it receives.
    mesh.nodes[0].target = None;
    let received_context = Arc::new(Mutex::new(String::new()));
    let own = received_context.clone();
    let target = any(async move |headers: HeaderMap| {
        *own.lock().unwrap() = headers["traceparent"].to_str().unwrap().to_owned();
        "done"
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async { axum::serve(listener, Router::new().fallback(target)).await });
    let interval = Duration::from_millis(200);
    let announcer = Announcer::start(
        &mesh.nodes[0].target_listener_url(),
        "title-desk",
        addr,
        interval,
    );
    tokio::time::sleep(interval * 5).await;

    assert_that!(transfer(&mesh, Some("01"), 1).await, eq(200));
    let seen = collector.wait_for_spans(TRACE, 4).await;
    let names: Vec<&str> = seen.keys().map(String::as_str).collect();
    assert_that!(names, eq(&["admit", "claim", "entry", "target"]));
    assert_that!(seen["entry"].parent, eq(CALLER_SPAN));
    assert_that!(seen["entry"].instance, eq("ledger-view-0"));
    for name in ["admit", "claim", "target"] {
        assert_that!(seen[name].parent, eq(&seen["entry"].span), "{name}");
        assert_that!(seen[name].instance, eq("title-desk-0"), "{name}");
    }
    let to_target = format!("00-{TRACE}-{}-01", seen["target"].span);
    assert_that!(*received_context.lock().unwrap(), eq(&to_target));
    announcer.unwrap().stop().await;

    for body in collector.bodies.lock().unwrap().iter() {
        let text = String::from_utf8_lossy(body);
        assert_that!(text, not(contains_substring("secret")));
    }
}

/// Guards against a claim span for an idempotent request, spans in the trace of another request,
/// and a refusal without its code.
#[tokio::test(flavor = "multi_thread")]
async fn lookup_has_no_claim_span_and_refusal_has_its_code() {
    let (collector, settings) = Collector::start(1.0).await;
    let mesh = start_mesh("traces-read", &settings).await;
    let other = "00-11111111111111111111111111111111-2222222222222222-01";
    let get = |path: &str, parent: String| {
        let req = mesh.client.get(mesh.nodes[0].url(path));
        req.header("traceparent", parent).send()
    };
    assert_that!(
        get("/casks/1", traceparent("01"))
            .await
            .unwrap()
            .status()
            .as_u16(),
        eq(200)
    );
    assert_that!(
        get("/nothing", other.to_owned())
            .await
            .unwrap()
            .status()
            .as_u16(),
        eq(404)
    );

    let seen = collector.wait_for_spans(TRACE, 3).await;
    let names: Vec<&str> = seen.keys().map(String::as_str).collect();
    assert_that!(names, eq(&["admit", "entry", "target"]));
    assert_that!(seen["entry"].code, none());
    let refused = collector
        .wait_for_spans("11111111111111111111111111111111", 1)
        .await;
    assert_that!(refused["entry"].code, some(eq(102)));
}

/// Guards against the export of unsampled requests: with `sample = 0`, only requests whose parent
/// context is sampled are recorded.
#[tokio::test(flavor = "multi_thread")]
async fn sampling_0_exports_only_what_the_caller_sampled() {
    let (collector, settings) = Collector::start(0.0).await;
    let mesh = start_mesh("traces-none", &settings).await;
    for n in 0..20 {
        let flags = if n % 2 == 0 { Some("00") } else { None };
        assert_that!(transfer(&mesh, flags, n).await, eq(200));
    }
    // Sent last, so spans of the earlier requests would be exported no later than these.
    assert_that!(transfer(&mesh, Some("01"), 20).await, eq(200));
    let seen = collector.wait_for_spans(TRACE, 4).await;
    assert_that!(seen.len(), eq(4));
    assert_that!(collector.spans.lock().unwrap().len(), eq(4));
}

/// Guards against tracing or metrics export that is on by default, and against a disabled tracer
/// that doesn't propagate the caller's context.
#[tokio::test(flavor = "multi_thread")]
async fn tracing_is_off_without_a_setting() {
    let disabled = ops::Tracer::disabled();
    assert_that!(disabled.is_enabled(), eq(false));
    let parent = ops::TraceContext::parse(&traceparent("01"));
    let span = disabled.start("entry", &parent);
    assert_that!(span.context().to_header(), some(eq(&traceparent("01"))));

    let settings = "mesh='m'\nname='a'\nservice='a'\nregion='r'\ndomain='d'\naddress='127.0.0.1'\n\
        log={url='http://127.0.0.1:7000'}\nkeys={send={number=1,secret='0123456789abcdef'}}\n\
        ports={callers=0,peers=0,target=0,rpc=0,gossip=0,operator=0}\n";
    let settings = node::Settings::try_from(settings).unwrap();
    assert_that!(settings.trace, none());
    assert_that!(settings.statsd, none());
}
