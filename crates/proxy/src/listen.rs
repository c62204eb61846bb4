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
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let mut conns = accept_until(&shared, listener, Phase::Stopped, caller::serve).await;
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
