//! Settings, events and actions of the state machine.

use std::net::SocketAddr;
use std::sync::Arc;

use snafu::Snafu;
use wire::{Digest, Domain, InstanceId, Version};

/// Settings of a node, fixed when its process starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Identifier of the instance that this node belongs to.
    pub me: InstanceId,
    /// Failure domain of the node.
    pub domain: Domain,
    /// Addresses of nodes to send join requests to, without the node's own address.
    pub seeds: Vec<SocketAddr>,
}

/// Another node as recorded in the membership view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Identifier of its instance.
    pub id: InstanceId,
    /// Failure domain.
    pub domain: Domain,
    /// Whether the node accepts requests, i.e. is ready and not draining.
    pub is_ready: bool,
}

/// An accepted configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigText {
    /// Version number; 0 is the empty configuration of a new mesh.
    pub version: Version,
    /// Digest of `text`. The text of a fetch is discarded if it does not match.
    pub digest: Digest,
    /// Configuration text, opaque to this crate.
    pub text: Arc<str>,
}

impl Default for ConfigText {
    /// Returns version 0, the empty configuration.
    fn default() -> ConfigText {
        ConfigText {
            version: Version(0),
            digest: Digest::of(b""),
            text: "".into(),
        }
    }
}

/// Recipient of a join request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Contact {
    /// An address of [`Settings::seeds`].
    Seed(SocketAddr),
    /// A node of the membership view.
    Peer(InstanceId),
}

/// Answer to a join request, reduced to what the distribution of configuration needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JoinAnswer {
    /// The answering node. Equal to the own identifier if a seed address leads back to this node.
    pub from: InstanceId,
    /// Version that is active on the answering node.
    pub version: Version,
    /// Digest of `version`.
    pub digest: Digest,
    /// Newest version that was active on the asking instance, also before its restart, as far as
    /// the answering node knows.
    pub version_floor: Version,
    /// Whether the answering node follows the log, so that it can answer an [`Action::Confirm`].
    pub follows_log: bool,
}

/// Kind of message that carried the version of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// An [`Action::Announce`] of the peer.
    Announcement,
    /// A membership probe or its acknowledgement.
    Probe,
}

/// Reason why a fetch gave no configuration text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum FetchError {
    /// The peer holds no newer version than the active one of this node.
    #[snafu(display("the peer holds no newer configuration version"))]
    NothingNewer,
    /// The peer did not answer, or its answer held no usable configuration text.
    #[snafu(display(
        "the configuration fetch failed: no answer, or no usable configuration text in it"
    ))]
    Failed,
}

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Advances timers. The caller sends it every [`crate::TICK_INTERVAL`].
    Tick,
    /// The membership view changed. The event carries the whole view.
    Peers(Vec<Peer>),
    /// The replay of the log has reached this version.
    LogTail {
        /// Newest version of the replayed state.
        snapshot: ConfigText,
        /// Whether the replay has reached the end of the log, i.e. `snapshot` includes each record.
        /// `false` while the replay lacks expired records, so that it needs a checkpoint.
        at_end: bool,
    },
    /// The log can't be read.
    LogUnavailable,
    /// The replay stopped at a record of a later build, whose format this build can't read.
    LogFormatUnsupported {
        /// Format number of the record.
        format: u8,
    },
    /// A peer reported its active version.
    VersionReported {
        /// The peer.
        from: InstanceId,
        /// Version that is active on the peer.
        version: Version,
        /// Digest of `version`.
        digest: Digest,
        /// Kind of message that carried the version.
        origin: Origin,
    },
    /// An [`Action::Fetch`] ended.
    Fetched {
        /// The peer that was asked.
        from: InstanceId,
        /// Configuration that is active on the peer, or the reason why there is none.
        result: Result<ConfigText, FetchError>,
    },
    /// An [`Action::Join`] was answered.
    Joined {
        /// Recipient of the request.
        to: Contact,
        /// Answer of the recipient.
        answer: JoinAnswer,
    },
    /// An [`Action::Join`] got no answer.
    JoinFailed {
        /// Recipient of the request.
        to: Contact,
    },
    /// An [`Action::Confirm`] ended.
    Confirmed {
        /// Recipient of the request.
        from: InstanceId,
        /// Version that is active on the recipient, if the recipient has read the log since the
        /// request arrived and found no newer one. `None` if the recipient can't confirm or did not
        /// reply.
        current: Option<(Version, Digest)>,
    },
    /// The version of an [`Action::Apply`] is active.
    Applied(Version),
    /// The configuration of an [`Action::Apply`] can't be compiled by this build.
    ApplyFailed(Version),
}

/// Output of the state machine, to be performed by the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start (`true`) or stop (`false`) reading the log.
    ReadLog(bool),
    /// Send a join request, which asks for the active version of the recipient and for the floor of
    /// this node; answered by [`Event::Joined`] or [`Event::JoinFailed`].
    Join {
        /// Recipient of the request.
        to: Contact,
    },
    /// Ask a node that follows the log whether its active version is current; answered by
    /// [`Event::Confirmed`]. The recipient has to read the log after it received the request.
    Confirm {
        /// Recipient of the request.
        to: InstanceId,
    },
    /// Announce the active version to a peer, in a datagram that may get lost.
    Announce {
        /// Recipient of the announcement.
        to: InstanceId,
        /// Active version of this node.
        version: Version,
        /// Digest of `version`.
        digest: Digest,
    },
    /// Fetch the active configuration of a peer; answered by [`Event::Fetched`].
    Fetch {
        /// The peer to fetch from.
        from: InstanceId,
        /// Active version of this node, the base for a delta.
        version: Version,
        /// Digest of `version`.
        digest: Digest,
    },
    /// Compile and activate a configuration; answered by [`Event::Applied`] or
    /// [`Event::ApplyFailed`].
    Apply(ConfigText),
    /// Accept requests.
    Ready,
    /// Refuse requests, with refusal code 101.
    NotReady,
}
