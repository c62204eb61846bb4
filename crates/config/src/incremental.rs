//! Incremental compilation: parses only the blocks that the previous version doesn't have.
//!
//! It accepts a configuration text only if full compilation does, and gives an equal snapshot. It
//! returns `None` without a reason when it does not apply or the text is invalid; full compilation
//! then decides and reports the position of the fault.

use std::sync::Arc;
use std::time::Duration;

use wire::{Digest, ServiceName, Version};

use crate::blocks::{Cut, Item, Kept, Layout, cut};
use crate::check::{Checker, Services, link};
use crate::limits::{MAX_ROUTES, MAX_SERVICES, MAX_TEXT_BYTES};
use crate::raw::{RawBlock, RawRoute};
use crate::snapshot::{Route, Scope, Service, Snapshot};
use crate::table::Table;

/// Compiles `text` with the unchanged parts of `previous`. Returns `None` if the text is invalid or
/// can't be compiled block by block.
pub(crate) fn compile(previous: &Snapshot, version: Version, text: &Arc<str>) -> Option<Snapshot> {
    // Version 0 has an empty text, which is not valid for any later version.
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
    let read = Read::blocks(previous, &cut)?;
    let (services, order) = services(previous, &read.services)?;
    let routes = routes(previous, &read.routes, &services)?;
    let table = table(previous, &routes)?;
    let layout = Layout {
        blocks: read.blocks,
        services: order,
    };
    Some(Snapshot {
        version,
        digest: Digest::of(text.as_bytes()),
        mesh: previous.mesh.clone(),
        scope,
        claim_window,
        services,
        routes,
        table,
        layout: Arc::new(layout),
        text: text.clone(),
    })
}

fn read_head(head: &str, mesh: &str) -> Option<(Scope, Duration)> {
    let cx = Checker { text: head };
    let raw = cx.read().ok()?;
    // In TOML, `[[service]]` can't extend an array that a key defined, not even an empty one.
    if raw.services.is_some() || raw.routes.is_some() {
        return None;
    }
    Some((raw.scope, cx.head(&raw, mesh).ok()?))
}

/// Origin of a service or route of the new text.
#[derive(Debug)]
enum Source<T> {
    /// Unchanged: the index among the services or routes of the previous text.
    Kept(u32),
    /// Parsed from the new text.
    New(T),
}

/// Returns whether the new text has exactly the `count` items of the previous text in their order.
fn is_same<T>(sources: &[Source<T>], count: usize) -> bool {
    let in_place = |(i, s): (usize, &Source<T>)| matches!(s, Source::Kept(n) if *n as usize == i);
    sources.len() == count && sources.iter().enumerate().all(in_place)
}

/// A parsed block that the previous text doesn't have.
#[derive(Debug)]
enum Block<'a> {
    Service(Box<Service>),
    Route(NewRoute<'a>),
}

/// A parsed route; it can be validated only when all services of the new text are known.
#[derive(Debug)]
struct NewRoute<'a> {
    text: &'a str,
    raw: Box<RawRoute>,
}

/// Parses a block. Returns `None` unless it defines exactly one service or one route.
fn read_block(text: &str) -> Option<Block<'_>> {
    let cx = Checker { text };
    let mut raw: RawBlock = cx.parse().ok()?;
    match (raw.services.len(), raw.routes.len()) {
        (1, 0) => Some(Block::Service(cx.service(&raw.services[0]).ok()?.into())),
        (0, 1) => {
            let raw = raw.routes.remove(0).into();
            Some(Block::Route(NewRoute { text, raw }))
        }
        _ => None,
    }
}

/// Parsed and reused blocks of the new text, in the order of the text.
#[derive(Debug)]
struct Read<'a> {
    blocks: Vec<(u32, Item)>,
    services: Vec<Source<Box<Service>>>,
    routes: Vec<Source<NewRoute<'a>>>,
}

impl<'a> Read<'a> {
    fn blocks(previous: &Snapshot, cut: &Cut<'a>) -> Option<Read<'a>> {
        let kept = Kept::new(&previous.text, &previous.layout, &cut.blocks);
        let mut read = Read {
            blocks: Vec::with_capacity(cut.blocks.len()),
            services: Vec::with_capacity(previous.services.len()),
            routes: Vec::with_capacity(previous.routes.len()),
        };
        let mut start = u32::try_from(cut.head.len()).ok()?;
        for (i, text) in cut.blocks.iter().enumerate() {
            let item = match kept.find(i, text) {
                Some(Item::Service(n)) => read.add_service(Source::Kept(n)),
                Some(Item::Route(n)) => read.add_route(Source::Kept(n)),
                None => match read_block(text)? {
                    Block::Service(s) => read.add_service(Source::New(s)),
                    Block::Route(r) => read.add_route(Source::New(r)),
                },
            };
            read.blocks.push((start, item?));
            start += u32::try_from(text.len()).ok()?;
        }
        Some(read)
    }

    fn add_service(&mut self, source: Source<Box<Service>>) -> Option<Item> {
        self.services.push(source);
        (self.services.len() <= MAX_SERVICES).then(|| Item::Service(self.services.len() as u32 - 1))
    }

    fn add_route(&mut self, source: Source<NewRoute<'a>>) -> Option<Item> {
        self.routes.push(source);
        (self.routes.len() <= MAX_ROUTES).then(|| Item::Route(self.routes.len() as u32 - 1))
    }
}

/// Returns the validated services, and their names in the order of the text.
fn services(
    previous: &Snapshot,
    sources: &[Source<Box<Service>>],
) -> Option<(Arc<Services>, Arc<Vec<ServiceName>>)> {
    let order = &previous.layout.services;
    if is_same(sources, order.len()) && order.len() == previous.services.len() {
        return Some((previous.services.clone(), order.clone()));
    }
    let mut list = Vec::with_capacity(sources.len());
    for s in sources {
        list.push(match s {
            Source::Kept(n) => previous.service(&order[*n as usize])?,
            Source::New(s) => &**s,
        });
    }
    let names = list.iter().map(|s| s.name.clone()).collect();
    Some((Arc::new(link(&list)?), Arc::new(names)))
}

fn routes(
    previous: &Snapshot,
    sources: &[Source<NewRoute<'_>>],
    services: &Services,
) -> Option<Arc<Vec<Route>>> {
    let old = &previous.routes;
    let same_names = services.keys().eq(previous.services.keys());
    if !same_names && !kept_have_services(old, sources, services) {
        return None;
    }
    if is_same(sources, old.len()) {
        return Some(old.clone());
    }
    let make = |s: &Source<NewRoute<'_>>| match s {
        Source::Kept(n) => Some(old[*n as usize].clone()),
        Source::New(r) => Checker { text: r.text }.route(&r.raw, services).ok(),
    };
    let mut routes = Vec::with_capacity(sources.len());
    for s in sources {
        routes.push(make(s)?);
    }
    Some(Arc::new(routes))
}

fn kept_have_services(
    old: &[Route],
    sources: &[Source<NewRoute<'_>>],
    services: &Services,
) -> bool {
    let exists = |s: &Source<NewRoute<'_>>| match s {
        Source::Kept(n) => services.contains_key(&old[*n as usize].service),
        Source::New(_) => true,
    };
    sources.iter().all(exists)
}

/// Returns the lookup table of `routes`, or `None` if two routes have the same prefix and a common
/// method.
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
