//! Settings, events and actions.

use std::net::SocketAddr;
use std::sync::Arc;

use snafu::Snafu;
use wire::{Digest, Domain, InstanceId, Version};

/// What a node knows about itself when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Identifier of the node's instance.
    pub me: InstanceId,
    /// Failure domain of the node.
    pub domain: Domain,
    /// Addresses to ask for version and floor; the node's own address is left out.
    pub seeds: Vec<SocketAddr>,
}

/// Another node as the membership view has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Identifier.
    pub id: InstanceId,
    /// Failure domain.
    pub domain: Domain,
    /// Whether the node is ready and not draining.
    pub ready: bool,
}

/// An accepted configuration. Its text is opaque to this crate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigText {
    /// Version number.
    pub version: Version,
    /// Digest of the text.
    pub digest: Digest,
    /// Text.
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

/// Whom a starting node asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Contact {
    /// An address of the settings.
    Seed(SocketAddr),
    /// A member.
    Peer(InstanceId),
}

/// The answer to a join, as far as the spread of configuration needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JoinAnswer {
    /// Who answered.
    pub from: InstanceId,
    /// Version that is active there.
    pub version: Version,
    /// Digest of that version.
    pub digest: Digest,
    /// Newest version that was active on the asking instance, as far as the answering one knows.
    pub floor: Version,
    /// Whether the answering node follows the log, so that it can confirm what is current.
    pub follows_log: bool,
}

/// How a version was heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A message sent because the peer adopted the version.
    Announce,
    /// A probe or its acknowledgement.
    Probe,
}

/// Why a fetch gave no text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum FetchError {
    /// The peer has nothing newer.
    #[snafu(display("the peer has nothing newer"))]
    Nothing,
    /// The peer didn't answer, or not with a usable text.
    #[snafu(display("the fetch failed"))]
    Failed,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; due every [`crate::TICK`].
    Tick,
    /// The membership view changed. Each event carries the whole view.
    Peers(Vec<Peer>),
    /// The fold of the log reached this version.
    LogTail {
        /// Current version of the fold.
        snapshot: ConfigText,
        /// Whether the fold has applied each record of the log and needs no checkpoint.
        at_end: bool,
    },
    /// The log can't be read.
    LogDown,
    /// The fold stopped at a record of a later build.
    LogBehind {
        /// Format number of the record.
        format: u8,
    },
    /// A peer's version was heard of.
    Announced {
        /// The peer.
        from: InstanceId,
        /// Version that is active there.
        version: Version,
        /// Digest of that version.
        digest: Digest,
        /// How it was heard of.
        origin: Origin,
    },
    /// A fetch ended.
    Fetched {
        /// The peer that was asked.
        from: InstanceId,
        /// The text that it holds, or why there is none.
        result: Result<ConfigText, FetchError>,
    },
    /// A join was answered.
    Joined {
        /// Whom the node asked.
        to: Contact,
        /// The answer.
        answer: JoinAnswer,
    },
    /// A join got no answer.
    JoinFailed {
        /// Whom the node asked.
        to: Contact,
    },
    /// An [`Action::Confirm`] ended.
    Confirmed {
        /// Whom the node asked.
        from: InstanceId,
        /// Version that is active there, if a read of the log that began after the question found
        /// no newer one.
        current: Option<(Version, Digest)>,
    },
    /// The version of an [`Action::Apply`] is active.
    Applied(Version),
    /// The version of an [`Action::Apply`] can't be compiled by this build.
    ApplyFailed(Version),
}

/// What the node has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start or stop reading the log.
    ReadLog(bool),
    /// Ask for version and floor; answered by [`Event::Joined`] or [`Event::JoinFailed`].
    Join {
        /// Whom to ask.
        to: Contact,
    },
    /// Ask a node that follows the log whether its version is current; answered by
    /// [`Event::Confirmed`]. The node has to read the log after it got the question.
    Confirm {
        /// Whom to ask.
        to: InstanceId,
    },
    /// Send the active version to a peer.
    Announce {
        /// The peer.
        to: InstanceId,
        /// Active version.
        version: Version,
        /// Its digest.
        digest: Digest,
    },
    /// Fetch the newest text of a peer; answered by [`Event::Fetched`].
    Fetch {
        /// The peer.
        from: InstanceId,
        /// Active version, the base for a delta.
        have: Version,
        /// Digest of the active version.
        digest: Digest,
    },
    /// Compile and activate a text; answered by [`Event::Applied`] or [`Event::ApplyFailed`].
    Apply(ConfigText),
    /// Take requests.
    Ready,
    /// Refuse requests with code 101.
    NotReady,
}
