//! Lookup of routes by path and method.

use crate::snapshot::Route;

const ROOT: u32 = 0;

#[derive(Debug, Default)]
struct TrieNode {
    /// Next path segment and the index of its node, sorted by segment.
    children: Vec<(Box<str>, u32)>,
    /// Index of the last route whose prefix ends at this node.
    last_route: Option<u32>,
}

/// A trie of the path segments of the prefixes. A lookup costs one binary search per matching
/// segment and allocates nothing, whatever the length of the path.
#[derive(Debug)]
pub(crate) struct RouteTable {
    nodes: Vec<TrieNode>,
    /// For each route, the index of the previous route with the same prefix. This linked list
    /// avoids the allocation per prefix that a list in each node would need.
    previous_with_same_prefix: Vec<Option<u32>>,
}

impl Default for RouteTable {
    fn default() -> RouteTable {
        RouteTable {
            nodes: vec![TrieNode::default()],
            previous_with_same_prefix: Vec::new(),
        }
    }
}

impl RouteTable {
    /// Builds the table of `routes`, or returns `None` if two of them have the same prefix and a
    /// common method.
    pub(crate) fn new(routes: &[Route]) -> Option<RouteTable> {
        let mut table = RouteTable::default();
        let is_valid = (1..=routes.len()).all(|n| table.insert_last(&routes[..n]));
        is_valid.then_some(table)
    }

    /// Adds the last of `routes` to a table of the others. Returns false if one of the others has
    /// the same prefix and a common method; the table must then be discarded.
    #[must_use]
    pub(crate) fn insert_last(&mut self, routes: &[Route]) -> bool {
        let Some((last, others)) = routes.split_last() else {
            return true;
        };
        let at = segments(&last.prefix).fold(ROOT, |at, seg| self.child_or_insert(at, seg));
        let is_free = |i: usize| !others[i].methods.overlaps(last.methods);
        let is_valid = self.routes_ending_at(at).all(is_free);
        let node = &mut self.nodes[at as usize];
        self.previous_with_same_prefix.push(node.last_route);
        node.last_route = u32::try_from(others.len()).ok();
        is_valid
    }

    /// Iterates over the indices of the routes whose prefix ends at `node`, last route first.
    fn routes_ending_at(&self, node: u32) -> impl Iterator<Item = usize> {
        let last = self.nodes[node as usize].last_route;
        std::iter::successors(last, |i| self.previous_with_same_prefix[*i as usize])
            .map(|i| i as usize)
    }

    /// Returns the route with the longest matching prefix among those that match the method.
    /// `routes` are the routes of the table; a query in `path` is ignored.
    pub(crate) fn find<'a>(
        &self,
        routes: &'a [Route],
        method: &str,
        path: &str,
    ) -> Option<&'a Route> {
        let path = path.split(['?', '#']).next().unwrap_or("");
        if !path.starts_with('/') {
            return None;
        }
        let mut node = ROOT;
        let mut longest_match = self.route_at(routes, node, method);
        for seg in path[1..].split('/') {
            let children = &self.nodes[node as usize].children;
            let Ok(i) = find_child(children, seg) else {
                break;
            };
            node = children[i].1;
            longest_match = self.route_at(routes, node, method).or(longest_match);
        }
        longest_match
    }

    /// Returns the route whose prefix ends at `node` and that matches the method.
    fn route_at<'a>(&self, routes: &'a [Route], node: u32, method: &str) -> Option<&'a Route> {
        let mut routes_here = self.routes_ending_at(node).map(|i| &routes[i]);
        routes_here.find(|r| r.methods.contains(method))
    }

    /// Returns the child of node `at` for a segment; adds the child if it is missing.
    fn child_or_insert(&mut self, at: u32, seg: &str) -> u32 {
        let new = self.nodes.len() as u32;
        let children = &mut self.nodes[at as usize].children;
        match find_child(children, seg) {
            Ok(i) => children[i].1,
            Err(i) => {
                children.insert(i, (seg.into(), new));
                self.nodes.push(TrieNode::default());
                new
            }
        }
    }
}

fn find_child(children: &[(Box<str>, u32)], seg: &str) -> Result<usize, usize> {
    children.binary_search_by(|(s, _)| (**s).cmp(seg))
}

fn segments(prefix: &str) -> impl Iterator<Item = &str> {
    prefix.split('/').filter(|s| !s.is_empty())
}
