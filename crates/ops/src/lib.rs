//! Logs, metrics and traces.

mod logs;
mod metrics;
mod stdout;
mod traces;

pub use logs::{LogFormat, init_logs};
pub use metrics::{Kind, Metric, Metrics, Statsd, StatsdError};
pub use stdout::{LogWriterGuard, init_stdout_logs};
pub use traces::{ParentContext, Span, TraceCfg, TraceError, Tracer};
