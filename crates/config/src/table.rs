//! Look-up of routes by path.

use crate::snapshot::Route;

const ROOT: usize = 0;

#[derive(Debug, Default)]
struct Node {
    /// Next segment and node, in order of segment.
    children: Vec<(Box<str>, usize)>,
    /// Routes whose prefix ends here.
    routes: Vec<usize>,
}

/// A tree of path segments. A look-up costs one binary search per matching segment and allocates
/// nothing, whatever the length of the path.
#[derive(Debug)]
pub(crate) struct Table {
    nodes: Vec<Node>,
}

impl Default for Table {
    fn default() -> Table {
        Table {
            nodes: vec![Node::default()],
        }
    }
}

impl Table {
    /// Makes the table of `routes`, or nothing if two of them take the same requests.
    pub(crate) fn new(routes: &[Route]) -> Option<Table> {
        let mut table = Table::default();
        let valid = (1..=routes.len()).all(|n| table.insert_last(&routes[..n]));
        valid.then_some(table)
    }

    /// Adds the last of `routes` to a table of the others. Returns false if one of them has the
    /// same prefix and a common method.
    #[must_use]
    pub(crate) fn insert_last(&mut self, routes: &[Route]) -> bool {
        let Some((last, others)) = routes.split_last() else {
            return true;
        };
        let at = segments(&last.prefix).fold(ROOT, |at, seg| self.child_or_insert(at, seg));
        let routes = &mut self.nodes[at].routes;
        let free = |i: &usize| !others[*i].methods.overlaps(last.methods);
        let valid = routes.iter().all(free);
        routes.push(others.len());
        valid
    }

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
        let mut node = &self.nodes[ROOT];
        let mut best = route_at(routes, node, method);
        for seg in path[1..].split('/') {
            let Some(next) = child(node, seg) else { break };
            node = &self.nodes[next];
            best = route_at(routes, node, method).or(best);
        }
        best
    }

    fn child_or_insert(&mut self, at: usize, seg: &str) -> usize {
        let new = self.nodes.len();
        let children = &mut self.nodes[at].children;
        match children.binary_search_by(|(s, _)| (**s).cmp(seg)) {
            Ok(i) => children[i].1,
            Err(i) => {
                children.insert(i, (seg.into(), new));
                self.nodes.push(Node::default());
                new
            }
        }
    }
}

fn segments(prefix: &str) -> impl Iterator<Item = &str> {
    prefix.split('/').filter(|s| !s.is_empty())
}

fn child(node: &Node, seg: &str) -> Option<usize> {
    let i = node.children.binary_search_by(|(s, _)| (**s).cmp(seg));
    i.ok().map(|i| node.children[i].1)
}

fn route_at<'a>(routes: &'a [Route], node: &Node, method: &str) -> Option<&'a Route> {
    let mut at = node.routes.iter().map(|i| &routes[*i]);
    at.find(|r| r.methods.contains(method))
}
