//! Deltas between configuration texts: [`Delta`] for nodes, [`diff`] for operators.

use serde::{Deserialize, Serialize};
use similar::{Algorithm, DiffOp, TextDiff, capture_diff_slices};
use snafu::{OptionExt, Snafu, ensure};
use wire::Digest;

use crate::limits::MAX_TEXT_BYTES;

/// Maximum number of lines, in the old and in the new text, of a changed range that is compared
/// line by line. The comparison is quadratic in the worst case; a larger range is sent whole.
const MAX_COMPARED_LINES: usize = 2_000;
/// Number of unchanged lines around a change in the output of [`diff`].
const CONTEXT_LINES: usize = 3;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Edit {
    /// Copies this many lines from the base.
    Copy(u32),
    /// Skips this many lines of the base.
    Skip(u32),
    /// Inserts this text, which may span lines.
    Insert(String),
}

/// Line-based edits that turn one configuration text, the base, into another, the result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    base: Digest,
    result: Digest,
    edits: Vec<Edit>,
}

/// Reason why a delta can't be applied. The whole configuration text has to be fetched instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum DeltaError {
    /// The digest of the given text is not that of the delta's base.
    #[snafu(display("delta does not apply: its base is another configuration text"))]
    BaseMismatch,
    /// The edits take more lines than the base has, or the text that results is too large or has
    /// another digest than expected.
    #[snafu(display("delta is corrupt: its edits don't give the expected configuration text"))]
    ResultMismatch,
}

impl Delta {
    /// Computes the edits that turn `old` into `new`.
    pub fn between(old: &str, new: &str) -> Delta {
        Delta {
            base: Digest::of(old.as_bytes()),
            result: Digest::of(new.as_bytes()),
            edits: edits(&lines(old), &lines(new)),
        }
    }

    /// Returns the digest of the text that the delta applies to.
    pub fn base(&self) -> Digest {
        self.base
    }

    /// Returns the digest of the text that results from the delta.
    pub fn result(&self) -> Digest {
        self.result
    }

    /// Applies the edits to `base` and returns the resulting text.
    ///
    /// # Errors
    ///
    /// Fails when the digest of `base` or of the result is not the expected one, or when the result
    /// exceeds [`MAX_TEXT_BYTES`].
    pub fn apply(&self, base: &str) -> Result<String, DeltaError> {
        ensure!(Digest::of(base.as_bytes()) == self.base, BaseMismatchSnafu);
        let mut rest = lines(base).into_iter();
        let mut out = String::new();
        for e in &self.edits {
            match e {
                Edit::Copy(n) => {
                    for _ in 0..*n {
                        out.push_str(rest.next().context(ResultMismatchSnafu)?);
                    }
                }
                Edit::Skip(n) => {
                    for _ in 0..*n {
                        rest.next().context(ResultMismatchSnafu)?;
                    }
                }
                Edit::Insert(text) => out.push_str(text),
            }
            ensure!(out.len() <= MAX_TEXT_BYTES, ResultMismatchSnafu);
        }
        ensure!(
            Digest::of(out.as_bytes()) == self.result,
            ResultMismatchSnafu
        );
        Ok(out)
    }
}

fn lines(text: &str) -> Vec<&str> {
    text.split_inclusive('\n').collect()
}

/// Returns the edits between two texts, given as lines. Only the range between the equal lines at
/// the start and at the end is compared.
fn edits(old: &[&str], new: &[&str]) -> Vec<Edit> {
    let is_equal = |(a, b): &(&&str, &&str)| a == b;
    let head = old.iter().zip(new).take_while(is_equal).count();
    let (old, new) = (&old[head..], &new[head..]);
    let tail = old
        .iter()
        .rev()
        .zip(new.iter().rev())
        .take_while(is_equal)
        .count();
    let (old, new) = (&old[..old.len() - tail], &new[..new.len() - tail]);

    let mut out = Vec::new();
    push_count(&mut out, Edit::Copy, head);
    if old.len().max(new.len()) > MAX_COMPARED_LINES {
        push_count(&mut out, Edit::Skip, old.len());
        out.push(Edit::Insert(new.concat()));
    } else {
        for op in capture_diff_slices(Algorithm::Myers, old, new) {
            push_op(&mut out, &op, new);
        }
    }
    push_count(&mut out, Edit::Copy, tail);
    out
}

fn push_op(out: &mut Vec<Edit>, op: &DiffOp, new: &[&str]) {
    if let DiffOp::Equal { len, .. } = op {
        return push_count(out, Edit::Copy, *len);
    }
    push_count(out, Edit::Skip, op.old_range().len());
    let added = new[op.new_range()].concat();
    if !added.is_empty() {
        out.push(Edit::Insert(added));
    }
}

fn push_count(out: &mut Vec<Edit>, edit: fn(u32) -> Edit, n: usize) {
    if n > 0 {
        // The line count of a text of at most 1 MiB fits a u32.
        out.push(edit(u32::try_from(n).unwrap_or(u32::MAX)));
    }
}

/// Returns the line differences of two texts in unified diff format; empty if the texts are equal.
pub fn diff(old: &str, new: &str) -> String {
    TextDiff::from_lines(old, new)
        .unified_diff()
        .context_radius(CONTEXT_LINES)
        .to_string()
}
