//! Trace spans, exported over OTLP/HTTP. Tracing is off by default.

use std::time::Duration;

use opentelemetry::trace::{
    Span as _, SpanContext, SpanId, SpanKind, Status, TraceContextExt, TraceFlags, TraceId,
    TraceState, Tracer as _, TracerProvider as _,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_otlp::{SpanExporter, WithExportConfig, WithHttpConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::trace::{Sampler, SdkTracer, SdkTracerProvider};
use snafu::{ResultExt, Snafu};

const EXPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// Settings of the trace export.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceCfg {
    /// URL of the collector, for example `http://127.0.0.1:4318/v1/traces`.
    pub endpoint: String,
    /// Fraction of the traces starting at this node that are recorded, from 0 to 1. Traces
    /// continued from a caller follow the caller's sampling decision.
    pub sample_ratio: f64,
    /// Name of the instance, exported as `service.instance.id`.
    pub instance: String,
}

/// The reason why the trace exporter could not be set up.
#[derive(Debug, Snafu)]
pub enum TraceError {
    /// The library could not build the exporter or its HTTP client.
    #[snafu(display("cannot set up the OTLP trace exporter: {reason}"))]
    Exporter {
        /// Error of the library.
        reason: String,
    },
    /// The thread that sets up the exporter could not be started.
    #[snafu(display("cannot start the thread that sets up the OTLP trace exporter: {source}"))]
    Thread {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Starts spans and exports them. While tracing is off, spans only pass on the context of their
/// parent.
#[derive(Clone, Debug, Default)]
pub struct Tracer {
    export: Option<Export>,
}

#[derive(Clone, Debug)]
struct Export {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
}

impl Tracer {
    /// Creates a tracer that records nothing.
    pub fn disabled() -> Tracer {
        Tracer::default()
    }

    /// Creates a tracer that exports to the collector at `cfg.endpoint`.
    ///
    /// # Errors
    ///
    /// Fails when the exporter can't be set up.
    pub fn new(cfg: &TraceCfg) -> Result<Tracer, TraceError> {
        let exporter = build_exporter(cfg.endpoint.clone())?;
        let sampler = Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(cfg.sample_ratio)));
        let resource = Resource::builder()
            .with_service_name("briarlug")
            .with_attribute(KeyValue::new("service.instance.id", cfg.instance.clone()))
            .build();
        let provider = SdkTracerProvider::builder()
            .with_batch_exporter(exporter)
            .with_sampler(sampler)
            .with_resource(resource)
            .build();
        let tracer = provider.tracer("briarlug");
        Ok(Tracer {
            export: Some(Export { provider, tracer }),
        })
    }

    /// Returns whether this tracer exports spans. Sampling may still leave out single traces.
    pub fn is_enabled(&self) -> bool {
        self.export.is_some()
    }

    /// Starts a span named `name` as a child of `parent`, or as the root of a new trace if `parent`
    /// is empty.
    pub fn start(&self, name: &'static str, parent: &TraceContext) -> Span {
        let Some(export) = &self.export else {
            return Span {
                span: None,
                context: parent.clone(),
            };
        };
        let mut cx = Context::new();
        if let Some(sc) = &parent.0 {
            cx = cx.with_remote_span_context(sc.clone());
        }
        let kind = if name == "entry" {
            SpanKind::Server
        } else {
            SpanKind::Internal
        };
        let span = export
            .tracer
            .span_builder(name)
            .with_kind(kind)
            .start_with_context(&export.tracer, &cx);
        let own_context = TraceContext(Some(span.span_context().clone()));
        Span {
            span: Some(span),
            context: own_context,
        }
    }

    /// Exports the buffered spans and stops the exporter. Blocks; must not be called on a worker of
    /// the async runtime.
    pub fn shutdown(&self) {
        if let Some(export) = &self.export {
            // An unreachable collector must not prevent the node from stopping.
            let _ = export.provider.shutdown();
        }
    }
}

/// Builds the exporter on a thread of its own, since the blocking HTTP client must not be created
/// on a worker of the async runtime.
fn build_exporter(endpoint: String) -> Result<SpanExporter, TraceError> {
    let create = move || {
        SpanExporter::builder()
            .with_http()
            .with_headers(std::collections::HashMap::new())
            .with_endpoint(endpoint)
            .with_timeout(EXPORT_TIMEOUT)
            .build()
    };
    let thread = std::thread::Builder::new().name("trace-init".into());
    let result = thread.spawn(create).context(ThreadSnafu)?.join();
    match result {
        Ok(Ok(exporter)) => Ok(exporter),
        Ok(Err(e)) => Err(TraceError::Exporter {
            reason: e.to_string(),
        }),
        Err(_) => Err(TraceError::Exporter {
            reason: "the thread that sets it up panicked".to_owned(),
        }),
    }
}

/// The W3C trace context of a span; empty if there is none.
#[derive(Clone, Debug, Default)]
pub struct TraceContext(Option<SpanContext>);

impl TraceContext {
    /// Parses the value of a `traceparent` header. A malformed value gives an empty context, as W3C
    /// Trace Context requires.
    pub fn parse(traceparent: &str) -> TraceContext {
        TraceContext(parse_traceparent(traceparent))
    }

    /// Returns the value of the `traceparent` header of a request that is sent on, or `None` if the
    /// context is empty.
    pub fn to_header(&self) -> Option<String> {
        let sc = self.0.as_ref()?;
        let flags = sc.trace_flags().to_u8();
        Some(format!("00-{}-{}-{flags:02x}", sc.trace_id(), sc.span_id()))
    }
}

fn parse_traceparent(value: &str) -> Option<SpanContext> {
    let mut parts = value.trim().split('-');
    let (version, trace, span, flags) =
        (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
    let is_well_formed = version.len() == 2
        && version != "ff"
        && trace.len() == 32
        && span.len() == 16
        && flags.len() == 2
        && (version != "00" || parts.next().is_none());
    if !is_well_formed {
        return None;
    }
    let sc = SpanContext::new(
        TraceId::from_hex(trace).ok()?,
        SpanId::from_hex(span).ok()?,
        TraceFlags::new(u8::from_str_radix(flags, 16).ok()?),
        true,
        TraceState::default(),
    );
    sc.is_valid().then_some(sc)
}

/// A span in progress. Dropping it ends the span.
#[derive(Debug)]
pub struct Span {
    span: Option<opentelemetry_sdk::trace::Span>,
    context: TraceContext,
}

impl Span {
    /// Returns the context to start child spans with. While tracing is off it is that of the
    /// parent.
    pub fn context(&self) -> &TraceContext {
        &self.context
    }

    /// Sets the attribute `key`. Attributes are exported: never pass bodies, keys or credentials.
    pub fn set_attribute(&mut self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        if let Some(s) = &mut self.span {
            s.set_attribute(KeyValue::new(key, value.into()));
        }
    }

    /// Sets the span's status to error, with `reason` as its description.
    pub fn set_error(&mut self, reason: &'static str) {
        if let Some(s) = &mut self.span {
            s.set_status(Status::error(reason));
        }
    }
}
