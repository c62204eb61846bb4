//! Publication identifiers.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

const ID_BYTES: usize = 16;

/// A 128-bit random identifier of a publication, assigned by the publisher. Retried appends of a
/// publication carry the same identifier and are recognised by it. Displayed and parsed as 32
/// hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PublicationId([u8; ID_BYTES]);

impl PublicationId {
    /// Creates an identifier from random bytes; the caller provides the randomness.
    pub const fn from_random(bytes: [u8; ID_BYTES]) -> PublicationId {
        PublicationId(bytes)
    }
}

impl fmt::Display for PublicationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for PublicationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The parsed string is not a publication id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a publication id must be 32 hexadecimal digits"))]
pub struct ParseIdError;

impl FromStr for PublicationId {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<PublicationId, ParseIdError> {
        let is_valid = s.len() == 2 * ID_BYTES && s.bytes().all(|b| b.is_ascii_hexdigit());
        let n = is_valid.then(|| u128::from_str_radix(s, 16).ok()).flatten();
        Ok(PublicationId(n.context(ParseIdSnafu)?.to_be_bytes()))
    }
}
