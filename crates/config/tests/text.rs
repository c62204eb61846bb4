//! Rules of configuration text format 1, and the example texts.

use config::{MAX_TEXT_BYTES, Methods, Rejection, Repeat, Snapshot};
use googletest::prelude::*;
use wire::{Code, ServiceName, Version};

const HEAD: &str = "format = 1\nmesh = \"m\"\n";
/// A service `a`.
const A: &str = "[[service]]\nname = \"a\"\nslots = 6\nconnections = 130\n";
/// A route to the service `a`.
const R: &str = "[[route]]\nprefix = \"/x\"\nservice = \"a\"\n";

fn compile(text: &str) -> std::result::Result<Snapshot, Rejection> {
    Snapshot::compile(Version(1), "m", text)
}

/// Columns: name; blocks of the text, by their letters in [`block`]; `old => new` for a replacement
/// in the text or `+ line` for a line added at its end; code, line and column of the expected
/// rejection.
const FAULTS: &str = r#"
not TOML            | H    | 1 =>                     | 502 1:10
unknown key         | H    | + color = 1              | 502 3:1
unknown service key | HA   | + colour = 1             | 502 7:1
unknown route key   | HAR  | + retry = 1              | 502 10:1
key twice           | H    | + mesh = "m"             | 502 3:1
type                | HA   | + queue = "9"            | 502 7:9
missing key         | HA   | slots = 6 => # none      | 502 3:1
other text format   | HN   | 1 => 2                   | 502 1:10
enum                | H    | + scope = "some"         | 502 3:9
column after é      | H    | "m" => "é" x             | 502 2:12
mesh                | HA   | "m" => "n"               | 505 2:8
claim window        | H    | + claim_window_s = 59    | 503 3:18
service twice       | HAA  |                          | 503 8:8
service name        | HA   | "a" => "A"               | 503 4:8
slots               | HA   | 6 => 0                   | 503 5:9
connections         | HA   | 130 => 5                 | 503 6:15
queue               | HA   | + queue = -1             | 503 7:9
dangling depends    | HA   | + depends = ["b"]        | 503 7:12
depends twice       | HAB  | + depends = ["a", "a"]   | 503 11:17
cycle               | HA   | + depends = ["a"]        | 503 4:8
dangling service    | HR   |                          | 503 5:11
route twice         | HARR |                          | 503 11:10
method in two       | HAGR |                          | 503 12:10
prefix              | HAR  | /x => /x/                | 503 8:10
dot segment         | HAR  | /x => /x/..              | 503 8:10
method              | HAR  | + methods = ["get"]      | 503 10:12
method twice        | HAR  | + methods = ["PUT","PUT"] | 503 10:18
no methods          | HAR  | + methods = []           | 503 10:11
timeout             | HAR  | + timeout_ms = 0         | 503 10:14
unsafe hedge        | HAR  | + hedge = true           | 503 10:9
"#;

/// Returns the block of a letter: the head, a service, a route, or (`N`) a line with an unknown
/// key.
fn block(letter: char) -> String {
    match letter {
        'H' => HEAD.to_owned(),
        'A' => A.to_owned(),
        'B' => A.replace("\"a\"", "\"b\""),
        'R' => R.to_owned(),
        'G' => format!("{R}methods = [\"GET\"]\n"),
        _ => "new = 1\n".to_owned(),
    }
}

/// Guards against an invalid text that is accepted, or rejected with a wrong code or position.
#[gtest]
fn invalid_texts_are_rejected_with_code_and_position() {
    for row in FAULTS.lines().skip(1) {
        let columns: Vec<&str> = row.split('|').map(str::trim).collect();
        let mut text: String = columns[1].chars().map(block).collect();
        if let Some((old, new)) = columns[2].split_once("=>") {
            text = text.replacen(old.trim(), new.trim(), 1);
        } else if let Some(line) = columns[2].strip_prefix("+ ") {
            text = format!("{text}{line}\n");
        }
        let r = compile(&text).expect_err(row);
        let seen = format!("{} {}:{}", r.code.number(), r.line, r.column);
        expect_that!(seen, eq(columns[3]), "{row}: {r}");
    }
}

/// Guards against a text over the size limit that reaches the parser, and against an off-by-one
/// limit.
#[gtest]
fn text_size_is_bounded() {
    let pad = |n: usize| format!("{HEAD}#{}\n", "x".repeat(n - HEAD.len() - 2));
    expect_that!(compile(&pad(MAX_TEXT_BYTES)).is_ok(), eq(true));
    let r = compile(&pad(MAX_TEXT_BYTES + 1)).expect_err("over the limit");
    expect_that!(r.code, eq(Code::TextTooLarge));
}

/// Guards against dependency chains that are deeper than the attempt and latency budgets allow, and
/// against cycles that are not detected.
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

/// Guards against a default that allows retries of a request that may not be idempotent.
#[gtest]
fn only_get_and_head_are_safe_by_default() {
    let repeat = |methods: &str| {
        let s = compile(&format!("{HEAD}{A}{R}{methods}\n")).expect("valid text");
        s.routes()[0].repeat
    };
    expect_that!(repeat("methods = [\"GET\", \"HEAD\"]"), eq(Repeat::Safe));
    expect_that!(repeat("methods = [\"GET\", \"POST\"]"), eq(Repeat::Never));
    expect_that!(repeat(""), eq(Repeat::Never));
}

/// Guards against a prefix that matches within a path segment, a shorter prefix that hides a longer
/// one, and a route that matches a method it doesn't list.
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

/// Guards against example texts that don't compile or whose capacities drift.
#[gtest]
fn examples_compile() {
    let vale = include_str!("../../../examples/indus-vale.toml");
    let kilimanjaro = include_str!("../../../examples/kilimanjaro.toml");
    for (mesh, text, slots, connections) in [
        ("indus-vale", vale, 6, 130),
        ("kilimanjaro", kilimanjaro, 18, 120),
    ] {
        let s = Snapshot::compile(Version(1), mesh, text).expect(mesh);
        expect_that!(s.services().count(), eq(3));
        for svc in s.services() {
            expect_that!((svc.slots, svc.connections), eq((slots, connections)));
        }
    }
}

/// Guards against a `depends` scope that omits a direct dependency or includes other services.
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
