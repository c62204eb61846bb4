//! Accept loops.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::caller;
use crate::shared::{Phase, Shared, sleep_unless_stopped};

/// Wait after a failed accept, which mostly means that file descriptors have run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Accepts connections of callers until the node stops. A node that is about to stop refuses their
/// requests, since a connection without a response would not tell a caller whether its request ran.
///
/// At the limit on connections, the one that has been idle for longest is closed for the next one. If
/// all have a request in progress, new ones wait until one has ended.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let mut conns = JoinSet::new();
    loop {
        let has_room = shared.connections.has_room();
        if !has_room {
            shared.connections.evict_idle(&shared, shared.now());
        }
        tokio::select! {
            accepted = listener.accept(), if has_room => match accepted {
                Ok((tcp, _)) => {
                    let registration = shared.connections.add_caller(shared.now());
                    conns.spawn(caller::serve(shared.clone(), tcp, registration));
                }
                Err(e) => if !pause_after(&shared, &e).await { break },
            },
            () = shared.connections.closed.notified(), if !has_room => {}
            () = tokio::time::sleep(ACCEPT_BACKOFF), if !has_room => {}
            Some(_) = conns.join_next() => {}
            () = shared.wait_for_phase(Phase::Stopped) => break,
        }
    }
    conns.shutdown().await;
}

/// Logs a failed accept and waits. Returns whether the node is still running.
async fn pause_after(shared: &Shared, e: &std::io::Error) -> bool {
    log::warn!(event = "accept_failed", error:% = e; "could not accept a connection; accepting again after a pause");
    sleep_unless_stopped(shared, ACCEPT_BACKOFF).await
}

/// Accepts connections, `max` at a time, until the node stops. Returns the tasks that still serve
/// connections.
pub(crate) async fn accept_until<F>(
    shared: &Arc<Shared>,
    listener: TcpListener,
    max: usize,
    serve: fn(Arc<Shared>, TcpStream) -> F,
) -> JoinSet<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut conns = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept(), if conns.len() < max => match accepted {
                Ok((tcp, _)) => {
                    conns.spawn(serve(shared.clone(), tcp));
                }
                Err(e) => if !pause_after(shared, &e).await { return conns },
            },
            Some(_) = conns.join_next() => {}
            () = shared.wait_for_phase(Phase::Stopped) => return conns,
        }
    }
}
