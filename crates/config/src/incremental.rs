//! Compiling a text by reading only the blocks that the previous version doesn't have.
//!
//! This way accepts a text only if the full way does, with an equal snapshot. It gives up without a
//! reason; the full way then decides and names the place of the fault.

use std::sync::Arc;
use std::time::Duration;

use wire::{Digest, Version};

use crate::blocks::{Cut, Item, Kept, Layout, cut};
use crate::check::{Checker, Services, link};
use crate::limits::{MAX_ROUTES, MAX_SERVICES, MAX_TEXT_BYTES};
use crate::raw::{RawBlock, RawRoute};
use crate::snapshot::{Route, Scope, Service, Snapshot};
use crate::table::Table;

/// Compiles `text` after `previous`. Returns nothing if this way doesn't apply or the text is
/// invalid.
pub(crate) fn compile(previous: &Snapshot, version: Version, text: &Arc<str>) -> Option<Snapshot> {
    // The text of version 0 is empty and not valid.
    if !text.is_empty() && *text == previous.text {
        return Some(Snapshot {
            version,
            ..previous.clone()
        });
    }
    if text.len() > MAX_TEXT_BYTES {
        return None;
    }
    let cut = cut(text)?;
    let (scope, claim_window) = read_head(cut.head, &previous.mesh)?;
    let blocks = read_blocks(previous, &cut)?;
    let services = services(previous, &blocks)?;
    let routes = routes(previous, &blocks, &services)?;
    let table = table(previous, &routes)?;
    Some(Snapshot {
        version,
        digest: Digest::of(text.as_bytes()),
        mesh: previous.mesh.clone(),
        scope,
        claim_window,
        layout: Arc::new(layout(&cut, &blocks)?),
        services,
        routes,
        table,
        text: text.clone(),
    })
}

fn read_head(head: &str, mesh: &str) -> Option<(Scope, Duration)> {
    let cx = Checker { text: head };
    let raw = cx.read().ok()?;
    // An array in the head can't be extended by the blocks, not even an empty one.
    if raw.services.is_some() || raw.routes.is_some() {
        return None;
    }
    Some((raw.scope, cx.head(&raw, mesh).ok()?))
}

/// A block of the new text.
#[derive(Debug)]
enum Block<'a> {
    KeptService(&'a Service, u32),
    KeptRoute(&'a Route, u32),
    NewService(Service),
    /// Checked after the services.
    NewRoute(&'a str, RawRoute),
}

fn read_blocks<'a>(previous: &'a Snapshot, cut: &Cut<'a>) -> Option<Vec<Block<'a>>> {
    let kept = Kept::new(&previous.text, &previous.layout, &cut.blocks);
    let read = |(i, text): (usize, &&'a str)| match kept.find(i, text) {
        Some(Item::Service(n)) => {
            let name = &previous.layout.services[n as usize];
            Some(Block::KeptService(previous.service(name)?, n))
        }
        Some(Item::Route(n)) => Some(Block::KeptRoute(&previous.routes[n as usize], n)),
        None => read_block(text),
    };
    cut.blocks.iter().enumerate().map(read).collect()
}

/// Reads a block that defines one service or one route.
fn read_block(text: &str) -> Option<Block<'_>> {
    let cx = Checker { text };
    let mut raw: RawBlock = cx.parse().ok()?;
    match (raw.services.len(), raw.routes.len()) {
        (1, 0) => Some(Block::NewService(cx.service(&raw.services[0]).ok()?)),
        (0, 1) => Some(Block::NewRoute(text, raw.routes.remove(0))),
        _ => None,
    }
}

fn services(previous: &Snapshot, blocks: &[Block<'_>]) -> Option<Arc<Services>> {
    let mut found = Vec::with_capacity(previous.services.len());
    let mut same = true;
    for b in blocks {
        match b {
            Block::KeptService(s, n) => {
                same &= *n as usize == found.len();
                found.push(*s);
            }
            Block::NewService(s) => {
                same = false;
                found.push(s);
            }
            Block::KeptRoute(..) | Block::NewRoute(..) => {}
        }
    }
    if same && found.len() == previous.services.len() {
        return Some(previous.services.clone());
    }
    if found.len() > MAX_SERVICES {
        return None;
    }
    link(&found).map(Arc::new)
}

fn routes(
    previous: &Snapshot,
    blocks: &[Block<'_>],
    services: &Services,
) -> Option<Arc<Vec<Route>>> {
    let same_names = services.keys().eq(previous.services.keys());
    let mut routes = Vec::with_capacity(previous.routes.len());
    let mut same = true;
    for b in blocks {
        match b {
            Block::KeptRoute(r, n) => {
                if !same_names && !services.contains_key(&r.service) {
                    return None;
                }
                same &= *n as usize == routes.len();
                routes.push((*r).clone());
            }
            Block::NewRoute(text, raw) => {
                same = false;
                routes.push(Checker { text }.route(raw, services).ok()?);
            }
            Block::KeptService(..) | Block::NewService(_) => {}
        }
    }
    if same && routes.len() == previous.routes.len() {
        return Some(previous.routes.clone());
    }
    (routes.len() <= MAX_ROUTES).then(|| Arc::new(routes))
}

/// Returns the table of `routes`, or nothing if two routes take the same requests.
fn table(previous: &Snapshot, routes: &Arc<Vec<Route>>) -> Option<Arc<Table>> {
    let old = &previous.routes;
    let same = |(a, b): (&Route, &Route)| a.prefix == b.prefix && a.methods == b.methods;
    if Arc::ptr_eq(routes, old)
        || routes.len() == old.len() && routes.iter().zip(old.iter()).all(same)
    {
        return Some(previous.table.clone());
    }
    Table::new(routes).map(Arc::new)
}

fn layout(cut: &Cut<'_>, blocks: &[Block<'_>]) -> Option<Layout> {
    let mut layout = Layout::default();
    let mut at = u32::try_from(cut.head.len()).ok()?;
    let mut routes = 0;
    for (b, text) in blocks.iter().zip(&cut.blocks) {
        let item = match b {
            Block::KeptService(Service { name, .. }, _)
            | Block::NewService(Service { name, .. }) => {
                layout.services.push(name.clone());
                Item::Service(u32::try_from(layout.services.len() - 1).ok()?)
            }
            Block::KeptRoute(..) | Block::NewRoute(..) => {
                routes += 1;
                Item::Route(routes - 1)
            }
        };
        layout.blocks.push((at, item));
        at += u32::try_from(text.len()).ok()?;
    }
    Some(layout)
}
