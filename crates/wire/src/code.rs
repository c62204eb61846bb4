//! Numbered result codes. The table for operators is `docs/codes.md`.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a refused request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// No part of the request was handed over to a target.
    No,
    /// The request was handed over to a target, and the request's outcome isn't known.
    Unknown,
    /// The request completed, under this request or an earlier one with the same key.
    Yes,
}

impl Executed {
    /// Returns the value of the `executed` member and of the `briarlug-executed` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Executed::No => "no",
            Executed::Unknown => "unknown",
            Executed::Yes => "yes",
        }
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $num:literal, $http:expr, $exec:expr, $title:literal;)*) => {
        /// A numbered result code.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[repr(u16)]
        pub enum Code { $($(#[$doc])* $name = $num,)* }

        impl Code {
            /// All codes in ascending order of their numbers.
            pub const ALL: &'static [Code] = &[$(Code::$name),*];

            /// Returns the HTTP status of a refusal with this code, or `None` if the code is never
            /// sent to callers.
            pub const fn http_status(self) -> Option<u16> {
                match self { $(Code::$name => $http,)* }
            }

            /// Returns whether the refused request has run, or `None` if the code is never
            /// sent to callers.
            pub const fn executed(self) -> Option<Executed> {
                match self { $(Code::$name => $exec,)* }
            }

            /// Returns a short description, sent to callers as the title of a refusal.
            pub const fn title(self) -> &'static str {
                match self { $(Code::$name => $title,)* }
            }
        }
    };
}

const NO: Option<Executed> = Some(Executed::No);
const UNKNOWN: Option<Executed> = Some(Executed::Unknown);
const YES: Option<Executed> = Some(Executed::Yes);

codes! {
    /// The node has no configuration in force, or only one older than its floor, the lowest version
    /// that it may use.
    NotReady = 101, Some(503), NO, "not ready";
    /// No route matches the request.
    NoRoute = 102, Some(404), NO, "no route";
    /// The route's service is outside this node's scope.
    OutOfScope = 103, Some(421), NO, "out of scope";
    /// No instance of the service can accept the request.
    NoInstance = 104, Some(503), NO, "no instance";
    /// The deadline passed before the request was handed over to a target.
    DeadlinePassed = 105, Some(504), NO, "deadline passed before hand-over";
    /// A request header is malformed.
    BadHeader = 106, Some(400), NO, "bad request header";
    /// Every allowed attempt was refused or failed before the hand-over.
    AttemptsUsedUp = 107, Some(503), NO, "attempts used up";
    /// The request is quarantined because it crashed targets.
    Quarantined = 108, Some(422), NO, "quarantined request";
    /// The request's body exceeds the size limit.
    BodyTooLarge = 109, Some(413), NO, "body too large";
    /// The head of a request did not arrive in time.
    HeadTimeout = 110, Some(408), NO, "request head not received in time";
    /// The head of a request exceeds the size limit.
    HeadTooLarge = 111, Some(431), NO, "request head too large";
    /// The key of the request belongs to no organisation.
    UnknownKey = 112, Some(401), NO, "unknown key";
    /// The node can't tell whether the key has been taken away, since it has not heard of the newest
    /// version for too long.
    KeyNotConfirmed = 113, Some(503), NO, "key not confirmed";
    /// The target's queue is full.
    QueueFull = 201, Some(429), NO, "queue full";
    /// The request can't start before its deadline.
    CannotStartInTime = 202, Some(503), NO, "cannot start before the deadline";
    /// The target or its node is draining.
    Draining = 203, Some(503), NO, "draining";
    /// The target is down.
    TargetDown = 204, Some(503), NO, "target down";
    /// The caller exceeds its fair share of the target.
    OverFairShare = 205, Some(429), NO, "over fair share";
    /// A roll-out of the service does not let the target's software version run the request.
    NotReleased = 206, Some(503), NO, "version not released";
    /// The organisation has used up its limit.
    OverUsageLimit = 207, Some(429), NO, "over the usage limit";
    /// The target's connection broke after the hand-over.
    TargetLost = 301, Some(502), UNKNOWN, "target lost after hand-over";
    /// The target didn't respond in time after the hand-over.
    TargetTimeout = 302, Some(504), UNKNOWN, "target timed out after hand-over";
    /// The target-side node was lost after the request was sent to it.
    PeerLost = 303, Some(502), UNKNOWN, "peer lost after hand-over";
    /// The claim log didn't decide the claim in time.
    ClaimUnavailable = 401, Some(503), NO, "claim log unavailable";
    /// Another request with the same key is running.
    ClaimHeld = 402, Some(409), UNKNOWN, "claim held by another request";
    /// An earlier request with the same key has no known outcome.
    OutcomeUnknown = 403, Some(409), UNKNOWN, "outcome unknown";
    /// The time encoded in the key is outside the claim window.
    KeyExpired = 404, Some(422), NO, "key expired";
    /// The key was used for a different request.
    KeyMismatch = 405, Some(422), NO, "key used for another request";
    /// The route requires a key.
    KeyMissing = 406, Some(428), NO, "key missing";
    /// The request has run; its response was too large to retain for a replay.
    AlreadyRun = 407, Some(409), YES, "already run, answer not kept";
    /// The publication is based on a version that is no longer current.
    StaleBase = 501, None, None, "stale base";
    /// The configuration text isn't TOML of the expected format.
    TextUnreadable = 502, None, None, "text not readable";
    /// The configuration text violates a rule.
    TextInvalid = 503, None, None, "text not valid";
    /// The configuration text exceeds the size limit.
    TextTooLarge = 504, None, None, "text too large";
    /// The configuration text names another mesh.
    TextForeign = 505, None, None, "text for another mesh";
    /// An order of a roll-out can't be read or has a value out of range.
    OrderInvalid = 506, None, None, "roll-out order not valid";
    /// A control message has an invalid MAC or an unknown key number.
    BadMac = 601, None, None, "bad MAC or unknown key";
    /// A control message belongs to another mesh.
    ForeignMesh = 602, None, None, "foreign mesh";
    /// A control message has an unknown wire version.
    WireVersion = 603, None, None, "unknown wire version";
    /// A control message can't be decoded.
    Malformed = 604, None, None, "malformed message";
    /// A control message exceeds the size limit.
    Oversized = 605, None, None, "oversized message";
    /// The settings aren't TOML of the expected shape.
    SettingsUnreadable = 701, None, None, "settings not readable";
    /// A setting is out of range or unsafe.
    SettingsInvalid = 702, None, None, "setting not valid";
}

impl Code {
    /// Returns the number of the code, as callers and operators see it.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the code with the number `n`, or `None` if there is none.
    pub fn from_number(n: u16) -> Option<Code> {
        Code::ALL.iter().copied().find(|c| c.number() == n)
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.title())
    }
}

/// A refusal of a request, with its result code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Result code that says why the request was refused.
    pub code: Code,
    /// Time from now after which a repeat may succeed; `None` if no time can be given.
    pub retry_after: Option<Duration>,
}

impl From<Code> for Refusal {
    fn from(code: Code) -> Refusal {
        Refusal {
            code,
            retry_after: None,
        }
    }
}
