//! Why a text was refused.

use snafu::Snafu;
use wire::Code;

/// A refused text with the place of the fault.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{code} at line {line}, column {column}: {reason}"))]
pub struct Rejection {
    /// One of the codes 502 to 505.
    pub code: Code,
    /// Line of the fault, from 1.
    pub line: usize,
    /// Column of the fault in characters, from 1.
    pub column: usize,
    /// What is wrong, for operators.
    pub reason: String,
}

impl Rejection {
    /// Makes a rejection for the fault at byte `at` of `text`.
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
