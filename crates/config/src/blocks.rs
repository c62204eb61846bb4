//! The blocks of a text: its head and the part from each header of a service or a route to the
//! next.
//!
//! TOML is read from left to right, and an expression ends at the end of a line unless it is inside
//! a string, an array or an inline table, which then lacks its end. So when each block is a
//! document of its own, the text is the sequence of their expressions. A cut inside a string or an
//! array leaves a block that isn't a document.

use std::collections::HashMap;
use std::sync::Arc;

use wire::ServiceName;

/// A text cut into blocks.
#[derive(Debug)]
pub(crate) struct Cut<'a> {
    pub(crate) head: &'a str,
    pub(crate) blocks: Vec<&'a str>,
}

/// Cuts `text` at the headers of services and routes. Returns nothing if it has another line that
/// may be a header: its block would turn out to define something else, at the cost of reading it.
pub(crate) fn cut(text: &str) -> Option<Cut<'_>> {
    let starts = starts(text)?;
    let ends = starts.iter().skip(1).copied().chain([text.len()]);
    Some(Cut {
        head: &text[..starts.first().copied().unwrap_or(text.len())],
        blocks: starts.iter().zip(ends).map(|(s, e)| &text[*s..e]).collect(),
    })
}

fn starts(text: &str) -> Option<Vec<usize>> {
    let mut starts = Vec::new();
    let mut at = 0;
    for line in text.split_inclusive('\n') {
        let trimmed = line.trim_start_matches([' ', '\t']);
        if trimmed.starts_with('[') {
            if !is_block_header(trimmed) {
                return None;
            }
            starts.push(at);
        }
        at += line.len();
    }
    Some(starts)
}

/// Returns whether a line starts with the header of a service or a route. What follows the header
/// is left to the parser.
fn is_block_header(line: &str) -> bool {
    let space = [' ', '\t'];
    let Some(name) = line.strip_prefix("[[").map(|l| l.trim_start_matches(space)) else {
        return false;
    };
    let end = name
        .strip_prefix("service")
        .or_else(|| name.strip_prefix("route"));
    end.is_some_and(|e| e.trim_start_matches(space).starts_with("]]"))
}

/// What a block defines: the n-th service or route of its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Item {
    Service(u32),
    Route(u32),
}

/// The blocks of a compiled text that were read one by one, so that the next version can keep what
/// they define. Empty if the text was read as a whole.
#[derive(Debug, Default)]
pub(crate) struct Layout {
    /// Start of each block in bytes, with what it defines.
    pub(crate) blocks: Vec<(u32, Item)>,
    /// Services in the order of the text.
    pub(crate) services: Arc<Vec<ServiceName>>,
}

/// Looks up blocks of a new text among those of an earlier one.
#[derive(Debug)]
pub(crate) struct Kept<'a> {
    layout: &'a Layout,
    /// Blocks that are equal at the start of both texts.
    before: usize,
    /// Blocks that are equal at the end of both texts.
    after: usize,
    blocks: usize,
    /// The other blocks of the earlier text.
    between: HashMap<&'a str, Item>,
}

impl<'a> Kept<'a> {
    pub(crate) fn new(text: &'a str, layout: &'a Layout, blocks: &[&str]) -> Kept<'a> {
        let (old, count) = (&layout.blocks, layout.blocks.len());
        let block = |i: usize| {
            let end = old.get(i + 1).map_or(text.len(), |b| b.0 as usize);
            &text[old[i].0 as usize..end]
        };
        let shorter = count.min(blocks.len());
        let equal = |(i, b): &(usize, &&str)| block(*i) == **b;
        let before = blocks
            .iter()
            .enumerate()
            .take(shorter)
            .take_while(equal)
            .count();
        let rest = shorter - before;
        let from_end = (0..count).rev().zip(blocks.iter().rev());
        let after = from_end.take(rest).take_while(equal).count();
        let between = (before..count - after)
            .map(|i| (block(i), old[i].1))
            .collect();
        Kept {
            layout,
            before,
            after,
            blocks: blocks.len(),
            between,
        }
    }

    /// Returns what the earlier text defines by the block that is `text`, the `i`-th of the new
    /// text.
    pub(crate) fn find(&self, i: usize, text: &str) -> Option<Item> {
        let old = &self.layout.blocks;
        if i < self.before {
            return Some(old[i].1);
        }
        if i >= self.blocks - self.after {
            return Some(old[old.len() - (self.blocks - i)].1);
        }
        self.between.get(text).copied()
    }
}
