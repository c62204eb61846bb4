//! Log set-up. Lines go to standard error; the level comes from `RUST_LOG`, default `info`.

use std::io::Write;

/// Shape of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// `time level target message`, where messages are `key=value` pairs.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Installs the logger. Later calls do nothing, so tests may call it more than once.
pub fn init_logs(format: LogFormat) {
    let mut b = env_logger::Builder::new();
    // tarpc writes two lines for each call at `info`. `RUST_LOG=tarpc=info` brings them back.
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
