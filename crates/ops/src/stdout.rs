//! Structured logs on standard output, bounded in volume and never blocking.
//!
//! Lines go to a bounded buffer, and one thread writes it out. Lines beyond the buffer or beyond the
//! rate are dropped and counted, and the count is logged.

use std::fmt::Write as _;
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use log::kv::{self, Key, Value, VisitSource};
use parking_lot::{Condvar, Mutex};

/// Bytes that may wait to be written; a second of lines at the full rate.
const MAX_WAITING_BYTES: usize = 256 << 10;
/// Lines about single requests that a process writes per second; a node on a fifth of a core
/// serves about that many requests.
const LINES_PER_S: u64 = 400;
/// Bytes at which the writer is woken before its interval has passed.
const WAKE_BYTES: usize = 32 << 10;
/// Interval of the writer: few wake-ups, and lines are out before a process that is told to stop.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct Buffer {
    state: Mutex<State>,
    wake: Condvar,
    dropped: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    bytes: Vec<u8>,
    second: u64,
    lines: u64,
    closed: bool,
}

/// Writes what is left and ends the writer when it is dropped.
#[derive(Debug)]
pub struct LogWriter {
    buffer: Arc<Buffer>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for LogWriter {
    fn drop(&mut self) {
        self.buffer.state.lock().closed = true;
        self.buffer.wake.notify_one();
        if let Some(thread) = self.thread.take() {
            // A writer that panicked has nothing left to write.
            let _ = thread.join();
        }
    }
}

/// Installs a logger that writes `key=value` lines to standard output. The level comes from
/// `RUST_LOG`, default `info`.
///
/// # Errors
///
/// Fails when the writer's thread can't be started.
pub fn init_stdout_logs() -> io::Result<LogWriter> {
    let buffer = Arc::new(Buffer::default());
    let sink = Sink {
        buffer: buffer.clone(),
        start: Instant::now(),
    };
    let mut b = env_logger::Builder::new();
    b.filter_module("tarpc", log::LevelFilter::Warn);
    b.parse_env(env_logger::Env::default().default_filter_or("info"));
    b.target(env_logger::Target::Pipe(Box::new(sink)));
    b.format(|buf, record| {
        let time = buf.timestamp_millis().to_string();
        writeln!(buf, "{}", Line(&time, record))
    });
    // Tests may install a logger before.
    let _ = b.try_init();
    let drained = buffer.clone();
    let thread = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || drain(&drained))?;
    Ok(LogWriter {
        buffer,
        thread: Some(thread),
    })
}

struct Sink {
    buffer: Arc<Buffer>,
    start: Instant,
}

impl Write for Sink {
    /// Takes one whole line; the logger formats a line before it writes it.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let second = self.start.elapsed().as_secs();
        let mut state = self.buffer.state.lock();
        if state.second != second {
            state.second = second;
            state.lines = 0;
        }
        state.lines += 1;
        let full = state.bytes.len() + line.len() > MAX_WAITING_BYTES;
        if full || state.lines > LINES_PER_S {
            self.buffer.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        state.bytes.extend_from_slice(line);
        if state.bytes.len() > WAKE_BYTES {
            self.buffer.wake.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn drain(buffer: &Buffer) {
    let mut out = io::stdout();
    loop {
        let (bytes, closed) = {
            let mut state = buffer.state.lock();
            if !state.closed && state.bytes.len() < WAKE_BYTES {
                buffer.wake.wait_for(&mut state, WRITE_INTERVAL);
            }
            (std::mem::take(&mut state.bytes), state.closed)
        };
        let dropped = buffer.dropped.swap(0, Ordering::Relaxed);
        // Standard output may be closed; there is nowhere else to say so.
        let _ = out.write_all(&bytes);
        if dropped > 0 {
            let _ = writeln!(out, "level=WARN event=log_lines_dropped lines={dropped}");
        }
        let _ = out.flush();
        if closed {
            return;
        }
    }
}

/// A record as `key=value` pairs.
struct Line<'a>(&'a str, &'a log::Record<'a>);

impl std::fmt::Display for Line<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Line(time, record) = self;
        write!(f, "time={time} level={}", record.level())?;
        let mut pairs = Pairs(f);
        record
            .key_values()
            .visit(&mut pairs)
            .map_err(|_| std::fmt::Error)?;
        write!(f, " msg=\"{}\"", record.args())
    }
}

struct Pairs<'a, 'b>(&'a mut std::fmt::Formatter<'b>);

impl<'kvs> VisitSource<'kvs> for Pairs<'_, '_> {
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
