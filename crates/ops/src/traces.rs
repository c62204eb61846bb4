//! Spans, exported over OTLP/HTTP. Off by default.

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
    /// Share of the traces that begin here and are recorded, from 0 to 1.
    pub sample: f64,
    /// Name of the instance.
    pub instance: String,
}

/// The exporter could not be set up.
#[derive(Debug, Snafu)]
pub enum TraceError {
    /// The HTTP client of the exporter could not be made.
    #[snafu(display("cannot set up the trace exporter: {reason}"))]
    Exporter {
        /// Reason given by the library.
        reason: String,
    },
    /// The thread that sets the exporter up failed.
    #[snafu(display("cannot start the thread of the trace exporter: {source}"))]
    Thread {
        /// Cause.
        source: std::io::Error,
    },
}

/// Makes spans, or nothing when tracing is off.
#[derive(Clone, Debug, Default)]
pub struct Tracer {
    on: Option<On>,
}

#[derive(Clone, Debug)]
struct On {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
}

impl Tracer {
    /// Returns a tracer that records nothing.
    pub fn off() -> Tracer {
        Tracer::default()
    }

    /// Starts the export to a collector.
    ///
    /// # Errors
    ///
    /// Fails when the exporter can't be set up.
    pub fn new(cfg: &TraceCfg) -> Result<Tracer, TraceError> {
        let exporter = exporter(cfg.endpoint.clone())?;
        let sampler = Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(cfg.sample)));
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
            on: Some(On { provider, tracer }),
        })
    }

    /// Returns whether spans are recorded at all.
    pub fn is_on(&self) -> bool {
        self.on.is_some()
    }

    /// Starts a span under `parent`.
    pub fn start(&self, name: &'static str, parent: &ParentContext) -> Span {
        let Some(on) = &self.on else {
            return Span {
                span: None,
                parent: parent.clone(),
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
        let span = on
            .tracer
            .span_builder(name)
            .with_kind(kind)
            .start_with_context(&on.tracer, &cx);
        let own = ParentContext(Some(span.span_context().clone()));
        Span {
            span: Some(span),
            parent: own,
        }
    }

    /// Sends what is buffered and stops the export. Blocks; call it outside the runtime's workers.
    pub fn shutdown(&self) {
        if let Some(on) = &self.on {
            // A collector that is away must not keep a node from leaving.
            let _ = on.provider.shutdown();
        }
    }
}

// The blocking HTTP client must not be made on a worker of the async runtime.
fn exporter(endpoint: String) -> Result<SpanExporter, TraceError> {
    let make = move || {
        SpanExporter::builder()
            .with_http()
            .with_headers(std::collections::HashMap::new())
            .with_endpoint(endpoint)
            .with_timeout(EXPORT_TIMEOUT)
            .build()
    };
    let thread = std::thread::Builder::new().name("trace-init".into());
    let made = thread.spawn(make).context(ThreadSnafu)?.join();
    match made {
        Ok(Ok(exporter)) => Ok(exporter),
        Ok(Err(e)) => Err(TraceError::Exporter {
            reason: e.to_string(),
        }),
        Err(_) => Err(TraceError::Exporter {
            reason: "the set-up panicked".to_owned(),
        }),
    }
}

/// The W3C trace context of the span above, if there is one.
#[derive(Clone, Debug, Default)]
pub struct ParentContext(Option<SpanContext>);

impl ParentContext {
    /// Reads a `traceparent` header. A value that can't be read counts as absent, as W3C asks.
    pub fn parse(traceparent: &str) -> ParentContext {
        ParentContext(parse(traceparent))
    }

    /// Returns the `traceparent` header for the next hop.
    pub fn to_header(&self) -> Option<String> {
        let sc = self.0.as_ref()?;
        let flags = sc.trace_flags().to_u8();
        Some(format!("00-{}-{}-{flags:02x}", sc.trace_id(), sc.span_id()))
    }
}

fn parse(value: &str) -> Option<SpanContext> {
    let mut parts = value.trim().split('-');
    let (version, trace, span, flags) =
        (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
    let well_formed = version.len() == 2
        && version != "ff"
        && trace.len() == 32
        && span.len() == 16
        && flags.len() == 2
        && (version != "00" || parts.next().is_none());
    if !well_formed {
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

/// A span in progress; it ends when dropped.
#[derive(Debug)]
pub struct Span {
    span: Option<opentelemetry_sdk::trace::Span>,
    parent: ParentContext,
}

impl Span {
    /// Returns the context for spans below this one.
    pub fn context(&self) -> &ParentContext {
        &self.parent
    }

    /// Adds an attribute. Never pass bodies, keys or credentials.
    pub fn set(&mut self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        if let Some(s) = &mut self.span {
            s.set_attribute(KeyValue::new(key, value.into()));
        }
    }

    /// Marks the span as failed.
    pub fn fail(&mut self, reason: &'static str) {
        if let Some(s) = &mut self.span {
            s.set_status(Status::error(reason));
        }
    }
}
