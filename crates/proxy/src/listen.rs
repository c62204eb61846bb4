//! Listeners, and the connections of callers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::entry;
use crate::shared::{Phase, Shared, sleep_unless_stopped};

/// Smallest buffer that the HTTP library allows.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Wait after a failed accept; the reason is mostly a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers until the node refuses new requests, then lets the connections end.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let mut conns = accept_until(&shared, listener, Phase::Refusing, serve_one).await;
    tokio::select! {
        () = async { while conns.join_next().await.is_some() {} } => {}
        () = shared.wait_for_phase(Phase::Stopped) => {}
    }
    conns.shutdown().await;
}

/// Accepts connections until the node reaches `end`, and returns the tasks that serve them.
pub(crate) async fn accept_until<F>(
    shared: &Arc<Shared>,
    listener: TcpListener,
    end: Phase,
    serve: fn(Arc<Shared>, TcpStream) -> F,
) -> JoinSet<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut conns = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((tcp, _)) => {
                    conns.spawn(serve(shared.clone(), tcp));
                }
                Err(e) => {
                    log::warn!(event = "accept_failed", error:% = e; "cannot accept a connection");
                    if !sleep_unless_stopped(shared, ACCEPT_PAUSE).await {
                        return conns;
                    }
                }
            },
            Some(_) = conns.join_next() => {}
            () = shared.wait_for_phase(end) => return conns,
        }
    }
}

async fn serve_one(shared: Arc<Shared>, tcp: TcpStream) {
    if let Err(e) = tcp.set_nodelay(true) {
        log::debug!(event = "nodelay_failed", error:% = e; "the caller's connection is gone");
        return;
    }
    let limits = shared
        .versions
        .table()
        .map(|t| t.limits())
        .unwrap_or_default();
    let service = service_fn(|req| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(entry::serve(shared, req).await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library counts idle time before a request as time for its head.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(tcp), service);
    tokio::pin!(conn);
    let ended = tokio::select! {
        ended = &mut conn => ended,
        () = shared.wait_for_phase(Phase::Closing) => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(e) = ended {
        log::debug!(event = "caller_connection", error:% = e; "a caller's connection broke");
    }
}
