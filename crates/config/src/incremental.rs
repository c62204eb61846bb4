//! Incremental compilation: parses only the blocks that the previous version doesn't have.
//!
//! Incremental compilation accepts a configuration text only if full compilation does, and gives an
//! equal snapshot. The functions of this module return `None`, without a reason, if the text is
//! invalid or can't be compiled block by block. Full compilation then decides, and reports the
//! position of a fault.

use std::sync::Arc;
use std::time::Duration;

use wire::{Digest, ServiceName, Version};

use crate::blocks::{BlockMatcher, Item, Layout, SplitText, split_blocks};
use crate::check::{Checker, Services, link_services};
use crate::limits::{MAX_ROUTES, MAX_SERVICES, MAX_TEXT_BYTES};
use crate::raw::{RawBlock, RawTextRoute};
use crate::snapshot::{Route, Scope, Service, Snapshot};
use crate::table::RouteTable;

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
    let split = split_blocks(text)?;
    let (scope, claim_window) = read_top_level(split.top_level, &previous.mesh)?;
    let items = TextItems::collect(previous, &split)?;
    let (services, service_names) = resolve_services(previous, &items.services)?;
    let routes = resolve_routes(previous, &items.routes, &services)?;
    let table = resolve_table(previous, &routes)?;
    let layout = Layout {
        blocks: items.blocks,
        services: service_names,
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

/// Returns the scope and the claim window of the top-level keys.
fn read_top_level(top_level: &str, mesh: &str) -> Option<(Scope, Duration)> {
    let cx = Checker { text: top_level };
    let raw = cx.parse_text().ok()?;
    // In TOML, `[[service]]` can't extend an array that a key defined, not even an empty one.
    if raw.services.is_some() || raw.routes.is_some() {
        return None;
    }
    Some((raw.scope, cx.check_top_level(&raw, mesh).ok()?))
}

/// Origin of a service or route of the new text.
#[derive(Debug)]
enum Origin<T> {
    /// Unchanged: the index among the services or routes of the previous text.
    Unchanged(u32),
    /// Parsed from the new text.
    Parsed(T),
}

/// Returns whether the new text has the same items as the previous text, of which there are
/// `count`, in the same order.
fn is_unchanged<T>(origins: &[Origin<T>], count: usize) -> bool {
    let in_place =
        |(i, s): (usize, &Origin<T>)| matches!(s, Origin::Unchanged(n) if *n as usize == i);
    origins.len() == count && origins.iter().enumerate().all(in_place)
}

/// A parsed block that the previous text doesn't have.
#[derive(Debug)]
enum ParsedBlock<'a> {
    Service(Box<Service>),
    Route(ParsedRoute<'a>),
}

/// A parsed route and its block. The route can be validated only when all services of the new text
/// are known.
#[derive(Debug)]
struct ParsedRoute<'a> {
    text: &'a str,
    raw: Box<RawTextRoute>,
}

/// Parses a block. Returns `None` unless it defines exactly one service or one route.
fn parse_block(text: &str) -> Option<ParsedBlock<'_>> {
    let cx = Checker { text };
    let mut raw: RawBlock = cx.parse().ok()?;
    match (raw.services.len(), raw.routes.len()) {
        (1, 0) => Some(ParsedBlock::Service(
            cx.check_service(&raw.services[0]).ok()?.into(),
        )),
        (0, 1) => {
            let raw = raw.routes.remove(0).into();
            Some(ParsedBlock::Route(ParsedRoute { text, raw }))
        }
        _ => None,
    }
}

/// Parsed and reused blocks of the new text, in the order of the text.
#[derive(Debug)]
struct TextItems<'a> {
    blocks: Vec<(u32, Item)>,
    services: Vec<Origin<Box<Service>>>,
    routes: Vec<Origin<ParsedRoute<'a>>>,
}

impl<'a> TextItems<'a> {
    fn collect(previous: &Snapshot, split: &SplitText<'a>) -> Option<TextItems<'a>> {
        let matcher = BlockMatcher::new(&previous.text, &previous.layout, &split.blocks);
        let mut items = TextItems {
            blocks: Vec::with_capacity(split.blocks.len()),
            services: Vec::with_capacity(previous.services.len()),
            routes: Vec::with_capacity(previous.routes.len()),
        };
        let mut start = u32::try_from(split.top_level.len()).ok()?;
        for (i, text) in split.blocks.iter().enumerate() {
            let item = match matcher.find(i, text) {
                Some(Item::Service(n)) => items.add_service(Origin::Unchanged(n)),
                Some(Item::Route(n)) => items.add_route(Origin::Unchanged(n)),
                None => match parse_block(text)? {
                    ParsedBlock::Service(s) => items.add_service(Origin::Parsed(s)),
                    ParsedBlock::Route(r) => items.add_route(Origin::Parsed(r)),
                },
            };
            items.blocks.push((start, item?));
            start += u32::try_from(text.len()).ok()?;
        }
        Some(items)
    }

    fn add_service(&mut self, origin: Origin<Box<Service>>) -> Option<Item> {
        self.services.push(origin);
        (self.services.len() <= MAX_SERVICES).then(|| Item::Service(self.services.len() as u32 - 1))
    }

    fn add_route(&mut self, origin: Origin<ParsedRoute<'a>>) -> Option<Item> {
        self.routes.push(origin);
        (self.routes.len() <= MAX_ROUTES).then(|| Item::Route(self.routes.len() as u32 - 1))
    }
}

/// Returns the validated services, and their names in the order of the text.
fn resolve_services(
    previous: &Snapshot,
    origins: &[Origin<Box<Service>>],
) -> Option<(Arc<Services>, Arc<Vec<ServiceName>>)> {
    let old_names = &previous.layout.services;
    if is_unchanged(origins, old_names.len()) && old_names.len() == previous.services.len() {
        return Some((previous.services.clone(), old_names.clone()));
    }
    let mut list = Vec::with_capacity(origins.len());
    for origin in origins {
        list.push(match origin {
            Origin::Unchanged(n) => previous.service(&old_names[*n as usize])?,
            Origin::Parsed(s) => &**s,
        });
    }
    let names = list.iter().map(|s| s.name.clone()).collect();
    Some((Arc::new(link_services(&list)?), Arc::new(names)))
}

/// Returns the validated routes in the order of the text.
fn resolve_routes(
    previous: &Snapshot,
    origins: &[Origin<ParsedRoute<'_>>],
    services: &Services,
) -> Option<Arc<Vec<Route>>> {
    let old = &previous.routes;
    let has_same_names = services.keys().eq(previous.services.keys());
    if !has_same_names && !unchanged_routes_have_services(old, origins, services) {
        return None;
    }
    if is_unchanged(origins, old.len()) {
        return Some(old.clone());
    }
    let to_route = |origin: &Origin<ParsedRoute<'_>>| match origin {
        Origin::Unchanged(n) => Some(old[*n as usize].clone()),
        Origin::Parsed(r) => Checker { text: r.text }.check_route(&r.raw, services).ok(),
    };
    let mut routes = Vec::with_capacity(origins.len());
    for origin in origins {
        routes.push(to_route(origin)?);
    }
    Some(Arc::new(routes))
}

fn unchanged_routes_have_services(
    old: &[Route],
    origins: &[Origin<ParsedRoute<'_>>],
    services: &Services,
) -> bool {
    let has_service = |origin: &Origin<ParsedRoute<'_>>| match origin {
        Origin::Unchanged(n) => services.contains_key(&old[*n as usize].service),
        Origin::Parsed(_) => true,
    };
    origins.iter().all(has_service)
}

/// Returns the lookup table of `routes`, or `None` if two routes have the same prefix and a common
/// method.
fn resolve_table(previous: &Snapshot, routes: &Arc<Vec<Route>>) -> Option<Arc<RouteTable>> {
    let old = &previous.routes;
    let is_equal = |(a, b): (&Route, &Route)| a.prefix == b.prefix && a.methods == b.methods;
    if Arc::ptr_eq(routes, old)
        || routes.len() == old.len() && routes.iter().zip(old.iter()).all(is_equal)
    {
        return Some(previous.table.clone());
    }
    RouteTable::new(routes).map(Arc::new)
}
