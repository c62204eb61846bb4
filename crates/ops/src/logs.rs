//! Set-up of the logger that writes to standard error. The level comes from `RUST_LOG` and defaults
//! to `info`.

use std::io::Write;

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// `time level target message`; a message may contain `key=value` pairs.
    #[default]
    Text,
    /// One JSON object per line, with the members `time`, `level`, `target` and `message`.
    Json,
}

/// Installs the logger. Later calls have no effect, so that several tests of a process may call it.
pub fn init_logs(format: LogFormat) {
    let mut b = env_logger::Builder::new();
    // tarpc logs two lines per call at `info`. `RUST_LOG=tarpc=info` enables them.
    b.filter_module("tarpc", log::LevelFilter::Warn);
    b.parse_env(env_logger::Env::default().default_filter_or("info"));
    if format == LogFormat::Json {
        b.format(|buf, record| {
            let line = serde_json::json!({
                "time": buf.timestamp_millis().to_string(),
                "level": record.level().as_str(),
                "target": record.target(),
                "message": record.args().to_string(),
            });
            writeln!(buf, "{line}")
        });
    }
    let _ = b.try_init();
}
