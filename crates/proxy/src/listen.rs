//! Accept loops, and the connections of callers.

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

/// Smallest connection buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Wait after a failed accept, which mostly means that file descriptors have run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Accepts connections of callers until the node refuses new requests, then waits for the open ones
/// to end and closes the rest when the node stops.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let mut conns = accept_until(&shared, listener, Phase::Refusing, serve_caller).await;
    tokio::select! {
        () = async { while conns.join_next().await.is_some() {} } => {}
        () = shared.wait_for_phase(Phase::Stopped) => {}
    }
    conns.shutdown().await;
}

/// Accepts connections until the node reaches `end_phase`. Returns the tasks that still serve
/// connections.
pub(crate) async fn accept_until<F>(
    shared: &Arc<Shared>,
    listener: TcpListener,
    end_phase: Phase,
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
                    log::warn!(event = "accept_failed", error:% = e; "could not accept a connection; accepting again after a pause");
                    if !sleep_unless_stopped(shared, ACCEPT_BACKOFF).await {
                        return conns;
                    }
                }
            },
            Some(_) = conns.join_next() => {}
            () = shared.wait_for_phase(end_phase) => return conns,
        }
    }
}

async fn serve_caller(shared: Arc<Shared>, tcp: TcpStream) {
    if let Err(e) = tcp.set_nodelay(true) {
        log::debug!(event = "nodelay_failed", error:% = e; "could not set TCP_NODELAY on a caller's connection; closing it");
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
        // hyper counts the idle time before a request towards the read timeout of the request's
        // head.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(tcp), service);
    tokio::pin!(conn);
    let result = tokio::select! {
        result = &mut conn => result,
        () = shared.wait_for_phase(Phase::Closing) => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(e) = result {
        log::debug!(event = "caller_connection", error:% = e; "a caller's connection ended with an error");
    }
}
