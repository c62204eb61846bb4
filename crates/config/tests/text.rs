//! Rules of the text and the examples.

use config::{MAX_TEXT_BYTES, Methods, Rejection, Repeat, Snapshot};
use googletest::prelude::*;
use wire::{Code, ServiceName, Version};

const HEAD: &str = "format = 1\nmesh = \"m\"\n";
const A: &str = "[[service]]\nname = \"a\"\nslots = 6\nconnections = 130\n";
const R: &str = "[[route]]\nprefix = \"/x\"\nservice = \"a\"\n";

fn compile(text: &str) -> std::result::Result<Snapshot, Rejection> {
    Snapshot::compile(Version(1), "m", text)
}

/// Guards against an invalid text that is accepted, and against a wrong code or place.
#[gtest]
fn invalid_texts_are_refused_with_code_and_place() {
    use Code::{TextForeign, TextInvalid, TextUnreadable};
    let cases = [
        ("not TOML", "format = ".into(), TextUnreadable, (1, 10)),
        (
            "unknown key",
            format!("{HEAD}color = 1\n"),
            TextUnreadable,
            (3, 1),
        ),
        (
            "unknown service key",
            format!("{HEAD}{A}colour = 1\n"),
            TextUnreadable,
            (7, 1),
        ),
        (
            "unknown route key",
            format!("{HEAD}{A}{R}  retry = 1\n"),
            TextUnreadable,
            (10, 3),
        ),
        (
            "key twice",
            format!("{HEAD}mesh = \"m\"\n"),
            TextUnreadable,
            (3, 1),
        ),
        (
            "type",
            format!("{HEAD}{A}queue = \"9\"\n"),
            TextUnreadable,
            (7, 9),
        ),
        (
            "missing key",
            format!("{HEAD}[[service]]\nname = \"a\"\n"),
            TextUnreadable,
            (3, 1),
        ),
        (
            "text format",
            "format = 2\nnew = 1\n".into(),
            TextUnreadable,
            (1, 10),
        ),
        (
            "enum",
            format!("{HEAD}scope = \"some\"\n"),
            TextUnreadable,
            (3, 9),
        ),
        (
            "mesh",
            "format = 1\nmesh = \"n\"\n".into(),
            TextForeign,
            (2, 8),
        ),
        (
            "window",
            format!("{HEAD}claim_window_s = 59\n"),
            TextInvalid,
            (3, 18),
        ),
        (
            "service twice",
            format!("{HEAD}{A}{A}"),
            TextInvalid,
            (8, 8),
        ),
        (
            "service name",
            format!("{HEAD}{}", A.replace("\"a\"", "\"A\"")),
            TextInvalid,
            (4, 8),
        ),
        (
            "slots",
            format!("{HEAD}{}", A.replace('6', "0")),
            TextInvalid,
            (5, 9),
        ),
        (
            "connections",
            format!("{HEAD}{}", A.replace("130", "5")),
            TextInvalid,
            (6, 15),
        ),
        (
            "queue",
            format!("{HEAD}{A}queue = -1\n"),
            TextInvalid,
            (7, 9),
        ),
        (
            "dangling depends",
            format!("{HEAD}{A}depends = [\"b\"]\n"),
            TextInvalid,
            (7, 12),
        ),
        (
            "cycle",
            format!("{HEAD}{A}depends = [\"a\"]\n"),
            TextInvalid,
            (4, 8),
        ),
        (
            "dangling service",
            format!("{HEAD}{R}"),
            TextInvalid,
            (5, 11),
        ),
        (
            "route twice",
            format!("{HEAD}{A}{R}methods = [\"GET\"]\n{R}"),
            TextInvalid,
            (12, 10),
        ),
        (
            "prefix",
            format!("{HEAD}{A}{}", R.replace("/x", "/x/")),
            TextInvalid,
            (8, 10),
        ),
        (
            "dot segment",
            format!("{HEAD}{A}{}", R.replace("/x", "/x/..")),
            TextInvalid,
            (8, 10),
        ),
        (
            "method",
            format!("{HEAD}{A}{R}methods = [\"get\"]\n"),
            TextInvalid,
            (10, 12),
        ),
        (
            "no methods",
            format!("{HEAD}{A}{R}methods = []\n"),
            TextInvalid,
            (10, 11),
        ),
        (
            "timeout",
            format!("{HEAD}{A}{R}timeout_ms = 0\n"),
            TextInvalid,
            (10, 14),
        ),
        (
            "unsafe hedge",
            format!("{HEAD}{A}{R}hedge = true\n"),
            TextInvalid,
            (10, 9),
        ),
        (
            "non-ASCII",
            "format = 1\nmesh = \"é\" x".into(),
            TextUnreadable,
            (2, 12),
        ),
    ];
    for (name, text, code, place) in cases {
        let r = compile(&text).expect_err(name);
        expect_that!(
            (r.code, (r.line, r.column)),
            eq((code, place)),
            "{name}: {r}"
        );
    }
}

/// Guards against a text over the limit that reaches the parser, and a limit that is off by one.
#[gtest]
fn text_size_is_bounded() {
    let pad = |n: usize| format!("{HEAD}#{}\n", "x".repeat(n - HEAD.len() - 2));
    expect_that!(compile(&pad(MAX_TEXT_BYTES)).is_ok(), eq(true));
    let r = compile(&pad(MAX_TEXT_BYTES + 1)).expect_err("over the limit");
    expect_that!(r.code, eq(Code::TextTooLarge));
}

/// Guards against chains that are deeper than the attempt and latency budgets allow, and against a
/// cycle that is only found from one of its members.
#[gtest]
fn dependency_chains_are_bounded() {
    let chain = |n: usize, last: &str| {
        let service = |i: usize| {
            let dep = if i + 1 < n {
                format!("\"s{}\"", i + 1)
            } else {
                last.to_owned()
            };
            A.replace("\"a\"", &format!("\"s{i}\"")) + &format!("depends = [{dep}]\n")
        };
        compile(&(HEAD.to_owned() + &(0..n).map(service).collect::<String>()))
    };
    expect_that!(chain(9, "").is_ok(), eq(true));
    expect_that!(
        chain(10, "").map_err(|r| r.code).err(),
        some(eq(Code::TextInvalid))
    );
    for n in 1..12 {
        expect_that!(
            chain(n, "\"s0\"").map_err(|r| r.code).err(),
            some(eq(Code::TextInvalid))
        );
    }
}

/// Guards against a default that lets a request run twice.
#[gtest]
fn only_reads_are_safe_by_default() {
    let repeat = |methods: &str| {
        let s = compile(&format!("{HEAD}{A}{R}{methods}\n")).expect("valid text");
        s.routes()[0].repeat
    };
    expect_that!(repeat("methods = [\"GET\", \"HEAD\"]"), eq(Repeat::Safe));
    expect_that!(repeat("methods = [\"GET\", \"POST\"]"), eq(Repeat::Never));
    expect_that!(repeat(""), eq(Repeat::Never));
}

/// Guards against a prefix that matches within a segment, a shorter prefix that hides a longer one,
/// and a route that takes a method it doesn't list.
#[gtest]
fn routes_match_whole_segments_and_the_longest_prefix() {
    let routes = [
        ("/", "[\"GET\"]"),
        ("/t", "[\"GET\", \"POST\"]"),
        ("/t/u", "[\"GET\"]"),
    ];
    let route = |(p, m): &(&str, &str)| R.replace("/x", p) + &format!("methods = {m}\n");
    let text = HEAD.to_owned() + A + &routes.iter().map(route).collect::<String>();
    let s = compile(&text).expect("valid text");
    let cases = [
        ("GET", "/", Some("/")),
        ("GET", "/t", Some("/t")),
        ("GET", "/t/", Some("/t")),
        ("GET", "/t?u=/t/u", Some("/t")),
        ("GET", "/tu", Some("/")),
        ("GET", "/t/uv", Some("/t")),
        ("GET", "/t/u/v?w", Some("/t/u")),
        ("POST", "/t/u", Some("/t")),
        ("GET", "//t", Some("/")),
        ("POST", "/", None),
        ("BREW", "/t", None),
        ("GET", "t", None),
        ("GET", "", None),
    ];
    for (method, path, prefix) in cases {
        let found = s.route_for(method, path).map(|r| &*r.prefix);
        expect_that!(found, eq(prefix), "{method} {path}");
    }
    let all = compile(&format!("{HEAD}{A}{R}")).expect("valid text");
    expect_that!(
        all.route_for("BREW", "/x/y").map(|r| r.methods),
        some(eq(Methods::ALL))
    );
}

/// Guards against examples that don't compile or that drift from the current sizes.
#[gtest]
fn examples_compile() {
    let vale = include_str!("../../../examples/indus-vale.toml");
    let works = include_str!("../../../examples/kilimanjaro.toml");
    for (mesh, text, slots, connections) in [
        ("indus-vale", vale, 6, 130),
        ("kilimanjaro", works, 18, 120),
    ] {
        let s = Snapshot::compile(Version(1), mesh, text).expect(mesh);
        expect_that!(s.services().count(), eq(3));
        for svc in s.services() {
            expect_that!((svc.slots, svc.connections), eq((slots, connections)));
        }
    }
}

/// Guards against a scope that leaves out a direct dependency or keeps unrelated services.
#[gtest]
fn depends_scope_is_own_service_and_direct_dependencies() {
    let vale = include_str!("../../../examples/indus-vale.toml");
    let text = vale.replace("scope = \"all\"", "scope = \"depends\"");
    let s = Snapshot::compile(Version(1), "indus-vale", text).expect("valid text");
    let own = s.services_in_scope(&ServiceName::from("ledger-view"));
    expect_that!(
        own.iter().map(|n| &*n.0).collect::<Vec<_>>(),
        eq(&vec!["gauge-vault", "ledger-view"])
    );
}
