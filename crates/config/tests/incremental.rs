//! Incremental compilation gives the same result as full compilation.

use std::cell::Cell;
use std::sync::Arc;

use config::{MAX_CHAIN_SERVICES, MAX_ROUTES, MAX_SERVICES, MAX_TEXT_BYTES, Rejection, Snapshot};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use wire::Version;

/// A mesh name that contains a route block, so that a valid text has a block header inside a
/// string.
const MESH: &str = "m\n[[route]]\nprefix = \"/q\"\nservice = \"a\"\n";
const HEAD: &str =
    "format = 1\nmesh = \"\"\"m\n[[route]]\nprefix = \"/q\"\nservice = \"a\"\n\"\"\"\n";
const PLAIN_HEAD: &str = "# text\nformat = 1\nmesh = \"m\"\n";

/// Blocks of a configuration text, separated by `|`.
const BLOCKS: &str = r#"[[service]]
name = "a"
slots = 6
connections = 130
|[[service]]
name = "b"
depends = ["a"]
slots = 3
connections = 40 # each
queue = 7
|[[route]]
prefix = "/a"
service = "a"
methods = ["GET"]
repeat = "safe"
hedge = true
|# writes
[[route]]
prefix = "/a"
service = "a"
methods = [
  "POST",
  "PUT",
]
class = "long"
|[[route]]
prefix = "/b/c"
service = "b"
timeout_ms = 900
|[[service]]
name = "c"
depends = ["a", "b"]
slots = 1
connections = 1
|[[route]]
prefix = "/b"
service = "c"
"#;

/// Lines and blocks that the split into blocks could misread, separated by `|`. `\n`, `\r` and
/// `\u{feff}` are escapes.
const SNIPPETS: &str = r#"[[route]]|[[service]]|[[ route ]]|  [[service]]|	[[route]] # x|[["route"]]|[['service']]
|[[route]]x|[[route|[route]]|[ [route]]|[[route.x]]|[[service.depends]]|[service.x]|[route.class]|[service]|[x]
|service = []|route = []|service = [{ name = "z", slots = 1, connections = 1 }]|service.x = 1|route.prefix = "/z"
|class = """\nlong"""|class = '''\nlong'''|class = """\n[[route]]\n"""|mesh = """\n[[route]]|"""|'''|]|["GET"]
|# [[route]]|  # [[service]]| |\r|\u{feff}|methods = [\n"GET",\n]|methods = [\n[[route]]\n]|depends = ["b"]|depends = []
|queue = 9|timeout_ms = 8|slots = 0|hedge = true|scope = "depends"|claim_window_s = 70|class."x" = 1|"class" = 'short'
|[[route]]\nprefix = "/z"\nservice = "b"|[[ route ]]\nprefix = "/z/y"\nservice = "c"|[["route"]]\nprefix = "/y"\nservice = "a"
|[[service]]\nname = "d"\nslots = 1\nconnections = 2|[[service]]\nname = "e"\nslots = 1\nconnections = 2\ndepends = ["c"]
|[[route]]\nprefix = "/w"\nservice = "b"\n[[ service ]]\nname = "f"\nslots = 1\nconnections = 1
|[[route]]\nprefix = "/w"\nservice = "b"\n[["route"]]\nprefix = "/v"\nservice = "b""#;

/// An edit: the operation, the index of a line or block, a second index or a variant of the
/// operation, and the index of a snippet.
type Edit = (
    u8,
    prop::sample::Index,
    prop::sample::Index,
    prop::sample::Index,
);

/// Splits at lines that look like headers, including those inside strings.
fn blocks(text: &str) -> Vec<String> {
    let mut blocks = vec![String::new()];
    for line in text.split_inclusive('\n') {
        if line.trim_start().starts_with("[[") {
            blocks.push(String::new());
        }
        blocks.last_mut().expect("not empty").push_str(line);
    }
    blocks
}

/// Returns the text of a snippet.
fn snippet(i: prop::sample::Index) -> String {
    let all: Vec<&str> = SNIPPETS.split('|').collect();
    let raw = all[i.index(all.len())].trim_end_matches('\n');
    let text = raw.replace("\\n", "\n").replace("\\r", "\r");
    text.replace("\\u{feff}", "\u{feff}") + "\n"
}

/// Quotes the key of a line and writes its string value in another TOML notation.
fn requote(line: &str, notation: usize) -> String {
    let Some((key, value)) = line.trim_end().split_once(" = \"") else {
        return line.to_owned();
    };
    let v = value.trim_end_matches('"');
    let quoted = ["'V'", "\"\"\"\nV\"\"\"", "'''\nV'''", "\"\"\"\\\n  V\"\"\""][notation % 4];
    format!("\"{key}\" = {}\n", quoted.replace('V', v))
}

/// Replaces the last digit of a line.
fn change_digit(line: &str, to: usize) -> String {
    let digit = line.rfind(|c: char| c.is_ascii_digit());
    digit.map_or_else(
        || line.to_owned(),
        |i| format!("{}{}{}", &line[..i], to % 10, &line[i + 1..]),
    )
}

/// Applies one edit to the lines or blocks of `text`.
fn edit(text: &str, (op, at, to, with): &Edit) -> String {
    let mut parts = match op % 16 {
        0..8 => text.split_inclusive('\n').map(str::to_owned).collect(),
        _ => blocks(text),
    };
    if parts.is_empty() {
        parts.push(String::new());
    }
    let (i, j) = (at.index(parts.len()), to.index(parts.len()));
    match op % 16 {
        0 | 8 => drop(parts.remove(i)),
        1 | 9 => parts.insert(j, parts[i].clone()),
        2 | 10 => parts.swap(i, j),
        3 => parts[i] = format!("\t {}", parts[i]),
        4 => parts[i] = parts[i].replace('\n', "\r\n"),
        5 => parts[i] = requote(&parts[i], j),
        6 => parts[i] = change_digit(&parts[i], j),
        7 => parts[i] = snippet(*with),
        11 => return text.replace("\r\n", "\n").replace('\n', "\r\n"),
        12 => parts[i] = parts[i].replace("/b", "/b/d").replace("\"a\"", "\"b\""),
        13 => drop(parts[i].pop()),
        14 => parts.insert(i, snippet(*with)),
        _ => parts.push(snippet(*with)),
    }
    parts.concat()
}

type Compiled = std::result::Result<Snapshot, Rejection>;

/// Checks that two compilations give equal snapshots, including their lookups, or equal rejections.
fn assert_equal(one: &Compiled, other: &Compiled) -> std::result::Result<(), TestCaseError> {
    let (a, b) = match (one, other) {
        (Ok(a), Ok(b)) => (a, b),
        _ => {
            prop_assert_eq!(one.as_ref().err(), other.as_ref().err());
            return Ok(());
        }
    };
    let head = |s: &Snapshot| {
        (
            s.version(),
            s.digest(),
            s.text().clone(),
            s.mesh().to_owned(),
        )
    };
    prop_assert_eq!(head(a), head(b));
    prop_assert_eq!((a.scope(), a.claim_window()), (b.scope(), b.claim_window()));
    prop_assert!(a.services().eq(b.services()), "services");
    prop_assert_eq!(a.routes(), b.routes());
    let paths = a.routes().iter().map(|r| format!("{}/x", r.prefix));
    for path in paths.chain(["/", "/a", "/b", "/b/c", "/b/d", "/q", "/z/y/x"].map(str::to_owned)) {
        for method in ["GET", "POST", "PUT", "BREW"] {
            prop_assert_eq!(a.route_for(method, &path), b.route_for(method, &path));
        }
    }
    Ok(())
}

/// Returns whether the snapshots share the memory of at least one route.
fn shares_a_route(one: &Snapshot, other: &Snapshot) -> bool {
    let shared = |r: &config::Route| {
        let mut others = other.routes().iter();
        others.any(|o| Arc::ptr_eq(&o.prefix, &r.prefix))
    };
    one.routes().iter().any(shared)
}

/// Guards against a text whose incremental compilation differs from full compilation: accepted by
/// only one of them, or with another rejection or other services, routes or lookups.
#[gtest]
fn incremental_compilation_equals_full_compilation() {
    let cfg = ProptestConfig {
        cases: 3_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5eed_0002),
        ..ProptestConfig::default()
    };
    let edits = prop::collection::vec(any::<Edit>(), 0..3);
    let versions = prop::collection::vec((edits, any::<bool>()), 1..8);
    let (accepted, rejected, shared) = (Cell::new(0), Cell::new(0), Cell::new(0));
    let count = |c: &Cell<u32>| c.set(c.get() + 1);
    let result = TestRunner::new(cfg).run(&(0..4, versions), |(kind, versions)| {
        let (mesh, head) = if kind == 0 {
            (MESH, HEAD)
        } else {
            ("m", PLAIN_HEAD)
        };
        let mut text = format!("{head}{}", BLOCKS.replace('|', ""));
        let mut previous = Snapshot::empty(mesh);
        for (n, (edits, keep_invalid)) in versions.iter().enumerate() {
            text = edits.iter().fold(text, |t, e| edit(&t, e));
            let version = Version(n as u64 + 1);
            let full = Snapshot::compile(version, mesh, text.as_str());
            let after = Snapshot::compile_after(&previous, version, text.as_str());
            assert_equal(&after, &full)?;
            match after {
                Ok(next) => {
                    count(&accepted);
                    if shares_a_route(&next, &previous) {
                        count(&shared);
                    }
                    previous = next;
                }
                Err(_) => {
                    count(&rejected);
                    // Most edits leave an invalid text invalid, so half of the cases go back to the
                    // last valid one.
                    if !*keep_invalid && previous.version() != Version(0) {
                        text = previous.text().to_string();
                    }
                }
            }
        }
        Ok(())
    });
    expect_that!(result, ok(anything()));
    let counts = (accepted.get(), rejected.get(), shared.get());
    expect_that!(
        counts,
        (gt(3_000), gt(3_000), gt(2_000)),
        "too few versions accepted, rejected or with shared routes"
    );
}

fn service(i: usize, depends: &str) -> String {
    format!("[[service]]\nname = \"s{i}\"\nslots = 1\nconnections = 1\ndepends = [{depends}]\n")
}

/// Makes the blocks of a text that has the given number of items or bytes.
type Body<'a> = &'a dyn Fn(usize) -> String;

/// Guards against a limit that incremental compilation doesn't check, so that a text can exceed it
/// by growing from version to version.
#[gtest]
fn incremental_compilation_enforces_limits() {
    let services = |n: usize| (0..n).map(|i| service(i, "")).collect::<String>();
    let route = |i: usize| format!("[[route]]\nprefix = \"/{i}\"\nservice = \"s0\"\n");
    let routes = |n: usize| service(0, "") + &(0..n).map(route).collect::<String>();
    let depends = |i: usize| {
        i.checked_sub(1)
            .map_or_else(String::new, |d| format!("\"s{d}\""))
    };
    let chain = |n: usize| (0..n).map(|i| service(i, &depends(i))).collect::<String>();
    let pad = |n: usize| format!("{}#{}", service(0, ""), "x".repeat(n));
    let room = MAX_TEXT_BYTES - PLAIN_HEAD.len() - pad(0).len();
    let cases: [(&str, Body<'_>, usize); 4] = [
        ("services", &services, MAX_SERVICES),
        ("routes", &routes, MAX_ROUTES),
        ("chain", &chain, MAX_CHAIN_SERVICES),
        ("bytes", &pad, room),
    ];
    for (name, body, limit) in cases {
        let text = |n| format!("{PLAIN_HEAD}{}", body(n));
        let empty = Snapshot::empty("m");
        let last = Snapshot::compile_after(&empty, Version(1), text(limit)).expect(name);
        let after = Snapshot::compile_after(&last, Version(2), text(limit + 1));
        let full = Snapshot::compile(Version(2), "m", text(limit + 1));
        expect_that!(full.is_err(), eq(true), "{name}");
        expect_that!(after.err(), eq(&full.err()), "{name}");
    }
}

/// Guards against accepting an empty text as unchanged from version 0, whose empty text is not
/// valid.
#[gtest]
fn empty_text_is_rejected_after_version_0() {
    let after = Snapshot::compile_after(&Snapshot::empty("m"), Version(1), "");
    let full = Snapshot::compile(Version(1), "m", "");
    expect_that!(full.is_err(), eq(true));
    expect_that!(after.err(), eq(&full.err()));
}
