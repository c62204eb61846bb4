//! Rejection of a configuration text.

use snafu::Snafu;
use wire::Code;

/// The first fault found in a configuration text, with its position.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{code} at line {line}, column {column}: {reason}"))]
pub struct Rejection {
    /// Result code, one of 502 to 505.
    pub code: Code,
    /// Line of the fault, from 1.
    pub line: usize,
    /// Column of the fault in characters, from 1.
    pub column: usize,
    /// Description of the fault for operators.
    pub reason: String,
}

impl Rejection {
    /// Creates a rejection for a fault at byte offset `at` of `text`.
    pub(crate) fn at(code: Code, text: &str, at: usize, reason: impl Into<String>) -> Rejection {
        let before = text.get(..at).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |i| i + 1);
        Rejection {
            code,
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            reason: reason.into(),
        }
    }
}
