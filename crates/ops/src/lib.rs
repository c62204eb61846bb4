//! Logs, metrics and traces.

mod logs;
mod metrics;
mod traces;

pub use logs::{LogFormat, init_logs};
pub use metrics::{Kind, Metric, Metrics, Statsd, StatsdError};
pub use traces::{ParentContext, Span, TraceCfg, TraceError, Tracer};
