//! Splits a configuration text into its top-level keys and one block per service or route.
//!
//! A block starts at the header line of a service or route and ends before the next one. If every
//! block parses as a TOML document, parsing the blocks one by one gives the same expressions as
//! parsing the whole text: a TOML expression ends at the end of a line unless it is inside a
//! string, an array or an inline table, and a split inside one of those leaves a block that doesn't
//! parse.

use std::collections::HashMap;
use std::sync::Arc;

use wire::ServiceName;

/// A configuration text split into blocks.
#[derive(Debug)]
pub(crate) struct SplitText<'a> {
    /// Text before the first block.
    pub(crate) top_level: &'a str,
    pub(crate) blocks: Vec<&'a str>,
}

/// Splits `text` at the headers of services and routes. Returns `None` if any other line starts
/// with a bracket: the line may be the header of another table, whose block would be parsed in
/// vain.
pub(crate) fn split_blocks(text: &str) -> Option<SplitText<'_>> {
    let offsets = header_offsets(text)?;
    let ends = offsets.iter().skip(1).copied().chain([text.len()]);
    Some(SplitText {
        top_level: &text[..offsets.first().copied().unwrap_or(text.len())],
        blocks: offsets
            .iter()
            .zip(ends)
            .map(|(s, e)| &text[*s..e])
            .collect(),
    })
}

/// Returns the byte offset of each header line, or `None` as [`split_blocks`] does.
fn header_offsets(text: &str) -> Option<Vec<usize>> {
    let mut offsets = Vec::new();
    let mut at = 0;
    for line in text.split_inclusive('\n') {
        let trimmed = line.trim_start_matches([' ', '\t']);
        if trimmed.starts_with('[') {
            if !is_block_header(trimmed) {
                return None;
            }
            offsets.push(at);
        }
        at += line.len();
    }
    Some(offsets)
}

/// Returns whether a line without its indentation starts with the header of a service or a route.
/// The rest of the line is not checked here; the TOML parser rejects invalid trailing characters.
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

/// The service or route that a block defines, by its index among those of the configuration text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Item {
    Service(u32),
    Route(u32),
}

/// Blocks of a text that was compiled block by block. The compilation of the next version reuses
/// the unchanged ones. Empty if the text was compiled as a whole.
#[derive(Debug, Default)]
pub(crate) struct Layout {
    /// Byte offset at which each block starts, and the service or route that it defines.
    pub(crate) blocks: Vec<(u32, Item)>,
    /// Names of the services in the order of the text; resolves [`Item::Service`].
    pub(crate) services: Arc<Vec<ServiceName>>,
}

/// Finds the blocks of a new text that are unchanged from the previous text.
#[derive(Debug)]
pub(crate) struct BlockMatcher<'a> {
    layout: &'a Layout,
    /// Number of equal blocks at the start of both texts.
    common_prefix: usize,
    /// Number of equal blocks at the end of both texts.
    common_suffix: usize,
    /// Number of blocks in the new text.
    block_count: usize,
    /// Blocks of the previous text between the equal start and the equal end.
    changed: HashMap<&'a str, Item>,
}

impl<'a> BlockMatcher<'a> {
    /// Compares `blocks`, those of the new text, with the previous text, given as `text` and
    /// `layout`.
    pub(crate) fn new(text: &'a str, layout: &'a Layout, blocks: &[&str]) -> BlockMatcher<'a> {
        let (old, old_count) = (&layout.blocks, layout.blocks.len());
        let block = |i: usize| {
            let end = old.get(i + 1).map_or(text.len(), |b| b.0 as usize);
            &text[old[i].0 as usize..end]
        };
        let shorter = old_count.min(blocks.len());
        let equal = |(i, b): &(usize, &&str)| block(*i) == **b;
        let common_prefix = blocks
            .iter()
            .enumerate()
            .take(shorter)
            .take_while(equal)
            .count();
        let rest = shorter - common_prefix;
        let from_end = (0..old_count).rev().zip(blocks.iter().rev());
        let common_suffix = from_end.take(rest).take_while(equal).count();
        let changed = (common_prefix..old_count - common_suffix)
            .map(|i| (block(i), old[i].1))
            .collect();
        BlockMatcher {
            layout,
            common_prefix,
            common_suffix,
            block_count: blocks.len(),
            changed,
        }
    }

    /// Looks up the `i`-th block of the new text, which is `text`. Returns the item that an equal
    /// block of the previous text defines, or `None` if the previous text lacks this block.
    pub(crate) fn find(&self, i: usize, text: &str) -> Option<Item> {
        let old = &self.layout.blocks;
        if i < self.common_prefix {
            return Some(old[i].1);
        }
        if i >= self.block_count - self.common_suffix {
            return Some(old[old.len() - (self.block_count - i)].1);
        }
        self.changed.get(text).copied()
    }
}
