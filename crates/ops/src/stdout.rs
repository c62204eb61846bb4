//! Structured logs on standard output, limited in volume and written without blocking the caller.
//!
//! Lines go to a bounded buffer, which one thread writes to standard output. Lines that exceed the
//! size of the buffer or the rate limit are dropped, and the number of dropped lines is logged.

use std::fmt::Write as _;
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use log::kv::{self, Key, Value, VisitSource};
use parking_lot::{Condvar, Mutex};

/// Capacity of the buffer in bytes; holds about one second of lines at the full rate.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Rate limit in lines per second, sized for the lines about single requests: a node on a fifth of
/// a core serves about that many requests per second.
const MAX_LINES_PER_S: u64 = 400;
/// Number of buffered bytes above which the writer is woken before [`WRITE_INTERVAL`] has passed.
const WRITER_WAKE_BYTES: usize = 32 << 10;
/// Interval at which the writer empties the buffer: long enough for few wake-ups, short enough that
/// lines are written before a process that was told to stop is gone.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct Buffer {
    state: Mutex<BufferState>,
    /// Wakes the writer before [`WRITE_INTERVAL`] has passed.
    wake: Condvar,
    /// Number of lines dropped since the writer last reported them.
    dropped_lines: AtomicU64,
}

#[derive(Debug, Default)]
struct BufferState {
    /// Complete lines that are not written yet.
    bytes: Vec<u8>,
    /// Second since the logger's start to which `lines_in_second` refers.
    current_second: u64,
    /// Number of lines logged in that second, dropped ones included.
    lines_in_second: u64,
    /// Whether the writer is to end after writing the buffered lines.
    is_closed: bool,
}

/// Guard of the writer thread. Dropping it writes the remaining lines and ends the thread.
#[derive(Debug)]
pub struct LogWriterGuard {
    buffer: Arc<Buffer>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for LogWriterGuard {
    fn drop(&mut self) {
        self.buffer.state.lock().is_closed = true;
        self.buffer.wake.notify_one();
        if let Some(thread) = self.thread.take() {
            // If the writer panicked, its remaining lines are lost.
            let _ = thread.join();
        }
    }
}

/// Installs a logger that writes `key=value` lines to standard output. The level comes from
/// `RUST_LOG` and defaults to `info`.
///
/// # Errors
///
/// Fails when the writer thread can't be started.
pub fn init_stdout_logs() -> io::Result<LogWriterGuard> {
    let buffer = Arc::new(Buffer::default());
    let sink = BufferSink {
        buffer: buffer.clone(),
        start: Instant::now(),
    };
    let mut b = env_logger::Builder::new();
    b.filter_module("tarpc", log::LevelFilter::Warn);
    b.parse_env(env_logger::Env::default().default_filter_or("info"));
    b.target(env_logger::Target::Pipe(Box::new(sink)));
    b.format(|buf, record| {
        let time = buf.timestamp_millis().to_string();
        writeln!(buf, "{}", FormattedLine(&time, record))
    });
    // Tests may have installed a logger already.
    let _ = b.try_init();
    let writer_buffer = buffer.clone();
    let thread = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || run_writer(&writer_buffer))?;
    Ok(LogWriterGuard {
        buffer,
        thread: Some(thread),
    })
}

/// Receives formatted lines from the logger and appends them to the buffer.
struct BufferSink {
    buffer: Arc<Buffer>,
    start: Instant,
}

impl Write for BufferSink {
    /// Buffers or drops `line`, which is one complete line: the logger formats a line before it
    /// writes it.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let current_second = self.start.elapsed().as_secs();
        let mut state = self.buffer.state.lock();
        if state.current_second != current_second {
            state.current_second = current_second;
            state.lines_in_second = 0;
        }
        state.lines_in_second += 1;
        let is_full = state.bytes.len() + line.len() > MAX_BUFFERED_BYTES;
        if is_full || state.lines_in_second > MAX_LINES_PER_S {
            self.buffer.dropped_lines.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        state.bytes.extend_from_slice(line);
        if state.bytes.len() > WRITER_WAKE_BYTES {
            self.buffer.wake.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes the buffer to standard output until the buffer is closed.
fn run_writer(buffer: &Buffer) {
    let mut out = io::stdout();
    loop {
        let (bytes, is_closed) = {
            let mut state = buffer.state.lock();
            if !state.is_closed && state.bytes.len() < WRITER_WAKE_BYTES {
                buffer.wake.wait_for(&mut state, WRITE_INTERVAL);
            }
            (std::mem::take(&mut state.bytes), state.is_closed)
        };
        let dropped = buffer.dropped_lines.swap(0, Ordering::Relaxed);
        // Standard output may be closed, and there is no other place to report that.
        let _ = out.write_all(&bytes);
        if dropped > 0 {
            let _ = writeln!(out, "level=WARN event=log_lines_dropped lines={dropped}");
        }
        let _ = out.flush();
        if is_closed {
            return;
        }
    }
}

/// Formats a record, with its timestamp, as `key=value` pairs.
struct FormattedLine<'a>(&'a str, &'a log::Record<'a>);

impl std::fmt::Display for FormattedLine<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let FormattedLine(time, record) = self;
        write!(f, "time={time} level={}", record.level())?;
        let mut pairs = PairFormatter(f);
        record
            .key_values()
            .visit(&mut pairs)
            .map_err(|_| std::fmt::Error)?;
        write!(f, " msg=\"{}\"", record.args())
    }
}

/// Writes the structured values of a record as ` key=value`, quoted where needed.
struct PairFormatter<'a, 'b>(&'a mut std::fmt::Formatter<'b>);

impl<'kvs> VisitSource<'kvs> for PairFormatter<'_, '_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let mut text = String::new();
        write!(text, "{value}")?;
        if text.is_empty() || text.contains([' ', '"', '=', '\n']) {
            write!(self.0, " {key}={text:?}")?;
        } else {
            write!(self.0, " {key}={text}")?;
        }
        Ok(())
    }
}
