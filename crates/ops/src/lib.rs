//! Logs, metrics and traces.

mod logs;
mod metrics;
mod stdout;
mod traces;

pub use logs::{LogFormat, init_logs};
pub use metrics::{Metric, MetricKind, Metrics, Statsd, StatsdError};
pub use stdout::{LogWriterGuard, init_stdout_logs};
pub use traces::{Span, TraceCfg, TraceContext, TraceError, Tracer};
