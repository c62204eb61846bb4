//! Transfers between nodes over tarpc: joins, member tables and configuration texts.
//!
//! Requests and replies are encoded with postcard and authenticated with the keys of the mesh. A
//! client opens a connection for each transfer: transfers are rare, so keeping connections to all
//! peers isn't worth it.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use member::{JoinAnswer, Scope, Table};
use ops::Metric;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use tarpc::ChannelError;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::codec::LengthDelimitedCodecError;
use wire::{Digest, InstanceId, KeyRing, Version};

use crate::datagram::ActiveVersion;
use crate::shared::Shared;
use crate::{control, gossip};

/// Largest frame. A configuration text has at most 1 MiB, a member table of 19,000 records about
/// 2.5 MiB.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// Connections served concurrently; more wait in the listener's accept queue. Bounds memory when many
/// nodes start.
const MAX_CONNECTIONS: usize = 64;
/// Longest time for one transfer, connecting included; also the longest time for which a connection
/// is served.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for the first byte of a connection. Peers send their request right after connecting;
/// idle connections must not occupy the places of others.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(200);
/// Overhead of TCP, tarpc and the authentication per request or reply, for the traffic metrics.
const FRAME_OVERHEAD_BYTES: u64 = 120;

/// Error of a transfer, on the requesting side.
#[derive(Debug, Snafu)]
pub(crate) enum RpcError {
    #[snafu(display("cannot connect to the peer: {source}"))]
    Connect { source: std::io::Error },
    #[snafu(display("RPC to the peer failed: {source}"))]
    Call { source: client::RpcError },
    #[snafu(display("peer did not reply within the call timeout"))]
    Timeout,
    #[snafu(display("request or reply not authentic or malformed"))]
    Malformed,
}

/// A postcard-encoded message with its message authentication code. The code also covers the
/// purpose of the message, so that a message of one kind can't pass for another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Sealed {
    mac: String,
    body: Vec<u8>,
}

impl Sealed {
    fn new<T: Serialize>(keys: &KeyRing, purpose: &str, msg: &T) -> Result<Sealed, RpcError> {
        let body = postcard::to_stdvec(msg).map_err(|_| RpcError::Malformed)?;
        Ok(Sealed {
            mac: keys.sign(&[purpose.as_bytes(), &body]),
            body,
        })
    }

    fn open<T: DeserializeOwned>(&self, keys: &KeyRing, purpose: &str) -> Result<T, RpcError> {
        if !keys.verify(&[purpose.as_bytes(), &self.body], &self.mac) {
            return Err(RpcError::Malformed);
        }
        postcard::from_bytes(&self.body).map_err(|_| RpcError::Malformed)
    }

    fn wire_bytes(&self) -> u64 {
        self.body.len() as u64 + FRAME_OVERHEAD_BYTES
    }
}

/// Request to join the mesh.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct JoinRequest {
    pub(crate) id: InstanceId,
    pub(crate) scope: Scope,
    /// Whether the reply has to include the member table.
    pub(crate) wants_members: bool,
}

/// Reply to a [`JoinRequest`].
#[derive(Debug, kameo::Reply, Serialize, Deserialize)]
pub(crate) struct JoinReply {
    pub(crate) from: InstanceId,
    pub(crate) active: ActiveVersion,
    pub(crate) answer: JoinAnswer,
    /// Whether the replying node follows the publication stream up to its end.
    pub(crate) follows_log: bool,
}

/// Request for the current version, confirmed by a read of the log that begins after the request
/// arrives.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ConfirmRequest {
    pub(crate) id: InstanceId,
}

/// Reply to a [`ConfirmRequest`]; `current` is `None` if the replying node can't confirm that its
/// active version is current.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ConfirmReply {
    pub(crate) current: Option<ActiveVersion>,
}

/// Request for a configuration newer than `version`, which the requesting node has.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct FetchRequest {
    pub(crate) version: Version,
    pub(crate) digest: Digest,
}

/// Reply to a [`FetchRequest`]: the active configuration of the replying node.
#[derive(Debug, kameo::Reply, Serialize, Deserialize)]
pub(crate) struct FetchReply {
    pub(crate) version: Version,
    pub(crate) digest: Digest,
    pub(crate) payload: Payload,
}

/// Encoding of the configuration text in a [`FetchReply`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Payload {
    /// The replying node has no newer version.
    NoneNewer,
    /// Delta from the version in the request.
    Delta(config::Delta),
    /// Full text.
    Full(String),
}

#[tarpc::service]
trait Transfer {
    /// Like all methods, returns `None` if the request isn't authentic or the actor that handles it
    /// isn't running.
    async fn join(req: Sealed) -> Option<Sealed>;
    async fn confirm(req: Sealed) -> Option<Sealed>;
    async fn exchange(req: Sealed) -> Option<Sealed>;
    async fn fetch(req: Sealed) -> Option<Sealed>;
}

#[derive(Clone)]
struct Server {
    shared: Arc<Shared>,
}

impl Server {
    fn open<T: DeserializeOwned>(&self, req: &Sealed, purpose: &str) -> Option<T> {
        self.shared
            .metrics
            .add(Metric::ControlBytesIn, req.wire_bytes());
        let opened = req.open(&self.shared.settings.keys, purpose);
        if opened.is_err() {
            self.shared.metrics.count(Metric::DroppedBadMac);
        }
        opened.ok()
    }

    fn reply<T: Serialize>(&self, msg: &T, purpose: &str) -> Option<Sealed> {
        let sealed = Sealed::new(&self.shared.settings.keys, purpose, msg).ok()?;
        self.shared
            .metrics
            .add(Metric::ControlBytesOut, sealed.wire_bytes());
        Some(sealed)
    }
}

impl Transfer for Server {
    async fn join(self, _: context::Context, req: Sealed) -> Option<Sealed> {
        let req: JoinRequest = self.open(&req, "join")?;
        let actors = self.shared.actors.get()?;
        let reply = actors.gossip.ask(gossip::MakeJoinReply(req)).await.ok()?;
        self.reply(&reply, "joined")
    }

    async fn confirm(self, _: context::Context, req: Sealed) -> Option<Sealed> {
        let ConfirmRequest { .. } = self.open(&req, "confirm")?;
        let end_version = self
            .shared
            .log_end
            .confirmed_version(&*self.shared.log)
            .await;
        let active = self.shared.active_version();
        let current = end_version
            .filter(|version| active.version >= *version)
            .map(|_| active);
        self.reply(&ConfirmReply { current }, "confirmed")
    }

    async fn exchange(self, _: context::Context, req: Sealed) -> Option<Sealed> {
        let (scope, table): (Scope, Table) = self.open(&req, "exchange")?;
        let actors = self.shared.actors.get()?;
        let own = actors
            .gossip
            .ask(gossip::TableExchange(scope, table))
            .await
            .ok()?;
        self.reply(&own.0, "exchanged")
    }

    async fn fetch(self, _: context::Context, req: Sealed) -> Option<Sealed> {
        let req: FetchRequest = self.open(&req, "fetch")?;
        let actors = self.shared.actors.get()?;
        let reply = actors
            .control
            .ask(control::MakeFetchReply(req))
            .await
            .ok()?;
        self.reply(&reply, "fetched")
    }
}

/// Serves transfers until `stop`, then waits for those in progress.
pub(crate) async fn serve(
    shared: Arc<Shared>,
    listener: tokio::net::TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    let mut transfers = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            a = listener.accept(), if transfers.len() < MAX_CONNECTIONS => a,
            Some(_) = transfers.join_next() => continue,
            _ = stop.wait_for(|s| *s) => break,
        };
        let Ok((tcp, _)) = accepted else { continue };
        let server = Server {
            shared: shared.clone(),
        };
        transfers.spawn(tokio::time::timeout(
            CALL_TIMEOUT,
            serve_connection(server, tcp),
        ));
    }
    while transfers.join_next().await.is_some() {}
}

async fn serve_connection(server: Server, tcp: tokio::net::TcpStream) {
    let first = tokio::time::timeout(FIRST_BYTE_TIMEOUT, tcp.readable());
    if !matches!(first.await, Ok(Ok(()))) {
        return;
    }
    let metrics = server.shared.metrics.clone();
    let transport = tarpc::serde_transport::new(framed(tcp), Bincode::default());
    let mut requests = Box::pin(BaseChannel::with_defaults(transport).requests());
    while let Some(request) = requests.next().await {
        match request {
            Ok(request) => request.execute(server.clone().serve()).await,
            Err(ChannelError::Read(e)) => return metrics.count(read_error_metric(&*e)),
            Err(_) => return,
        }
    }
}

/// Returns the drop metric for an error of the transport: oversized frame or malformed message.
fn read_error_metric(e: &(dyn Error + 'static)) -> Metric {
    let mut cause = Some(e);
    while let Some(e) = cause {
        if e.is::<LengthDelimitedCodecError>() {
            return Metric::DroppedOversized;
        }
        // `source` of an I/O error skips the wrapped error, which is therefore taken by `get_ref`.
        let inner = e
            .downcast_ref::<std::io::Error>()
            .and_then(std::io::Error::get_ref);
        cause = inner.map_or(e.source(), |e| Some(e));
    }
    Metric::DroppedMalformed
}

type Framed =
    tokio_util::codec::Framed<tokio::net::TcpStream, tokio_util::codec::LengthDelimitedCodec>;

fn framed(tcp: tokio::net::TcpStream) -> Framed {
    let _ = tcp.set_nodelay(true);
    tokio_util::codec::LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(tcp)
}

/// Requests to join the mesh through the node at `to`.
pub(crate) async fn join(
    shared: &Shared,
    to: SocketAddr,
    scope: Scope,
    wants_members: bool,
) -> Result<JoinReply, RpcError> {
    let req = JoinRequest {
        id: shared.id,
        scope,
        wants_members,
    };
    let call = async |c: TransferClient, req| c.join(context::current(), req).await;
    call_peer(shared, to, &req, ("join", "joined"), call).await
}

/// Requests the current version, confirmed by a read of the log, from the node at `to`.
pub(crate) async fn confirm(shared: &Shared, to: SocketAddr) -> Result<ConfirmReply, RpcError> {
    let req = ConfirmRequest { id: shared.id };
    let call = async |c: TransferClient, req| c.confirm(context::current(), req).await;
    call_peer(shared, to, &req, ("confirm", "confirmed"), call).await
}

/// Exchanges member tables with the node at `to` (anti-entropy).
pub(crate) async fn exchange(
    shared: &Shared,
    to: SocketAddr,
    scope: Scope,
    table: Table,
) -> Result<Table, RpcError> {
    let call = async |c: TransferClient, req| c.exchange(context::current(), req).await;
    call_peer(shared, to, &(scope, table), ("exchange", "exchanged"), call).await
}

/// Fetches a newer configuration from the node at `to`.
pub(crate) async fn fetch(
    shared: &Shared,
    to: SocketAddr,
    req: FetchRequest,
) -> Result<FetchReply, RpcError> {
    let call = async |c: TransferClient, req| c.fetch(context::current(), req).await;
    call_peer(shared, to, &req, ("fetch", "fetched"), call).await
}

async fn call_peer<Q, R>(
    shared: &Shared,
    to: SocketAddr,
    req: &Q,
    (request_purpose, reply_purpose): (&str, &str),
    call: impl AsyncFnOnce(TransferClient, Sealed) -> Result<Option<Sealed>, client::RpcError>,
) -> Result<R, RpcError>
where
    Q: Serialize,
    R: DeserializeOwned,
{
    if shared.settings.faults.is_cut(to) {
        return Err(RpcError::Timeout);
    }
    let keys = &shared.settings.keys;
    let sealed = Sealed::new(keys, request_purpose, req)?;
    shared
        .metrics
        .add(Metric::ControlBytesOut, sealed.wire_bytes());
    let exchange = async {
        let tcp = tokio::net::TcpStream::connect(to)
            .await
            .map_err(|source| RpcError::Connect { source })?;
        let transport = tarpc::serde_transport::new(framed(tcp), Bincode::default());
        let client::NewClient { client, dispatch } =
            TransferClient::new(client::Config::default(), transport);
        tokio::select! {
            reply = call(client, sealed) => reply.map_err(|source| RpcError::Call { source }),
            _ = dispatch => Err(RpcError::Malformed),
        }
    };
    let reply = tokio::time::timeout(CALL_TIMEOUT, exchange)
        .await
        .map_err(|_| RpcError::Timeout)??
        .ok_or(RpcError::Malformed)?;
    shared
        .metrics
        .add(Metric::ControlBytesIn, reply.wire_bytes());
    reply.open(keys, reply_purpose)
}
