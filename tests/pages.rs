//! The pages on settings and text against the parsers and the examples.

use std::collections::{BTreeMap, BTreeSet};

use config::Snapshot;
use googletest::prelude::*;
use node::Settings;
use toml::{Table, Value};
use wire::Version;

const SETTINGS_PAGE: &str = include_str!("../docs/settings.md");
const TEXT_PAGE: &str = include_str!("../docs/text.md");
const NODE: &str = include_str!("../examples/node.toml");
const TEXTS: [&str; 2] = [
    include_str!("../examples/indus-vale.toml"),
    include_str!("../examples/kilimanjaro.toml"),
];

/// Rows of the first table of a page by key: unit, default, range and meaning.
fn rows(page: &str) -> BTreeMap<&str, Vec<&str>> {
    let table = page.lines().skip_while(|l| !l.starts_with("|---")).skip(1);
    let rows = table.take_while(|l| l.starts_with('|'));
    let cells = rows.map(|l| {
        l.trim_matches('|')
            .split('|')
            .map(str::trim)
            .collect::<Vec<_>>()
    });
    cells.map(|c| (c[0], c[1..].to_vec())).collect()
}

/// Returns the default of a row as TOML, if it has one.
fn default_of<'a>(row: &[&'a str]) -> Option<&'a str> {
    let code = row[1].strip_prefix('`')?;
    Some(code.split('`').next().unwrap())
}

/// Returns a numeric range, with whether it is of whole numbers.
fn range_of(row: &[&str]) -> Option<(f64, f64, bool)> {
    let (low, rest) = row[2].split_once(" to ")?;
    let high = rest.split([',', ' ']).next().unwrap();
    let of_words = rest.contains(" of ") || rest.contains("bytes");
    let range = (low.parse().ok()?, high.parse().ok()?);
    (!of_words).then_some((range.0, range.1, !low.contains('.')))
}

fn keys(table: &Table, prefix: &str) -> BTreeSet<String> {
    let below = |(k, v): (&String, &Value)| match v {
        Value::Table(t) => keys(t, &format!("{prefix}{k}.")),
        Value::Array(a) if a.iter().all(Value::is_table) && !a.is_empty() => {
            let each = a.iter().filter_map(Value::as_table);
            each.flat_map(|t| keys(t, &format!("{prefix}{k}.")))
                .collect()
        }
        _ => BTreeSet::from([format!("{prefix}{k}")]),
    };
    table.iter().flat_map(below).collect()
}

/// Returns the table in which the last part of a dotted key is, and that part.
fn parent<'a, 'k>(root: &'a mut Table, key: &'k str) -> (&'a mut Table, &'k str) {
    let Some((head, rest)) = key.split_once('.') else {
        return (root, key);
    };
    match root.get_mut(head).unwrap() {
        Value::Table(t) => parent(t, rest),
        Value::Array(a) => parent(a[0].as_table_mut().unwrap(), rest),
        _ => panic!("{key} is no table"),
    }
}

fn without(root: &Table, key: &str) -> Table {
    let mut root = root.clone();
    let (table, last) = parent(&mut root, key);
    table.remove(last).unwrap();
    root
}

fn with(root: &Table, key: &str, value: Value) -> Table {
    let mut root = root.clone();
    let (table, last) = parent(&mut root, key);
    table.insert(last.to_owned(), value);
    root
}

/// Asks the parser which keys it knows, by giving it an unknown one in each table.
fn accepted(root: &Table, tables: &[&str], fault: impl Fn(&str) -> String) -> BTreeSet<String> {
    let mut all = BTreeSet::new();
    for table in tables {
        let unknown = format!("{table}zzz");
        let fault = fault(&with(root, &unknown, Value::Boolean(true)).to_string());
        let (_, names) = fault.split_once("expected ").expect(&fault);
        let names = names.split('`').skip(1).step_by(2);
        all.extend(names.map(|n| format!("{table}{n}")));
    }
    let is_table = |k: &String| tables.contains(&format!("{k}.").as_str());
    all.into_iter().filter(|k| !is_table(k)).collect()
}

fn expect_ranges(
    root: &Table,
    rows: &BTreeMap<&str, Vec<&str>>,
    accepts: impl Fn(&str) -> bool,
) -> usize {
    let mut checked = 0;
    for (key, row) in rows {
        let Some((low, high, whole)) = range_of(row) else {
            continue;
        };
        let step = if whole { 1.0 } else { 0.01 };
        let value = |n: f64| {
            if whole {
                Value::Integer(n as i64)
            } else {
                Value::Float(n)
            }
        };
        // A double can't hold the largest 64-bit number, nor can TOML one above it.
        let top = if high > 1e15 {
            vec![]
        } else {
            vec![(high, true), (high + step, false)]
        };
        for (n, good) in [(low, true), (low - step, false)].into_iter().chain(top) {
            let text = with(root, key, value(n)).to_string();
            expect_that!(accepts(&text), eq(good), "{key} = {n}");
        }
        checked += 1;
    }
    checked
}

fn settings_fault(text: &str) -> String {
    Settings::try_from(text).map_or_else(|e| e.to_string(), |_| String::new())
}

fn compile(text: &str) -> Result<Snapshot, config::Rejection> {
    Snapshot::compile(Version(1), "indus-vale", text)
}

fn text_fault(text: &str) -> String {
    compile(text).map_or_else(|e| e.to_string(), |_| String::new())
}

/// Guards against a setting that the page or the complete example lacks, and against one that the
/// parser no longer knows.
#[gtest]
fn the_page_on_settings_has_the_keys_of_the_parser() {
    const TABLES: [&str; 9] = [
        "",
        "log.",
        "ports.",
        "keys.",
        "keys.send.",
        "keys.also.",
        "trace.",
        "metrics.",
        "logs.",
    ];
    expect_that!(settings_fault(NODE), eq(""));
    let root: Table = toml::from_str(NODE).unwrap();
    let on_page: BTreeSet<_> = rows(SETTINGS_PAGE).keys().map(|k| k.to_string()).collect();
    expect_that!(keys(&root, ""), eq(&on_page));
    let accepted = accepted(&root, &TABLES, settings_fault);
    expect_that!(accepted, eq(&on_page));
}

/// Guards against defaults and ranges of settings that the page states wrongly.
#[gtest]
fn the_page_on_settings_has_the_defaults_and_ranges() {
    let root: Table = toml::from_str(NODE).unwrap();
    let rows = rows(SETTINGS_PAGE);
    let debug = |t: &Table| format!("{:?}", Settings::try_from(t.to_string().as_str()).unwrap());
    for (key, row) in &rows {
        let left_out = without(&root, key);
        match default_of(row) {
            None => expect_that!(
                settings_fault(&left_out.to_string()),
                contains_substring("701")
            ),
            Some(default) => {
                let value = toml::from_str::<Table>(&format!("v = {default}")).unwrap();
                let given = with(&root, key, value["v"].clone());
                expect_that!(debug(&left_out), eq(&debug(&given)), "{key}");
            }
        }
    }
    let accepts = |text: &str| Settings::try_from(text).is_ok();
    // Port 0 may be repeated; `seeds` name the own rpc port, which has to stay.
    let root = without(&root, "seeds");
    expect_that!(expect_ranges(&root, &rows, accepts), eq(12));
}

/// Guards against a key of the text that the page lacks, and against an example that uses another.
#[gtest]
fn the_page_on_the_text_has_the_keys_of_the_parser_and_the_examples() {
    let block = TEXT_PAGE.split("```toml\n").nth(1).unwrap();
    let complete = block.split("```").next().unwrap();
    expect_that!(text_fault(complete), eq(""));
    let root: Table = toml::from_str(complete).unwrap();
    let on_page: BTreeSet<_> = rows(TEXT_PAGE).keys().map(|k| k.to_string()).collect();
    expect_that!(keys(&root, ""), eq(&on_page));
    let accepted = accepted(&root, &["", "service.", "route."], text_fault);
    expect_that!(accepted, eq(&on_page));
    for text in TEXTS {
        let used = keys(&toml::from_str(text).unwrap(), "");
        expect_that!(used.difference(&on_page).collect::<Vec<_>>(), is_empty());
    }
}

/// Guards against defaults and ranges of the text that the page states wrongly.
#[gtest]
fn the_page_on_the_text_has_the_defaults_and_ranges() {
    let block = TEXT_PAGE.split("```toml\n").nth(1).unwrap();
    let root: Table = toml::from_str(block.split("```").next().unwrap()).unwrap();
    let rows = rows(TEXT_PAGE);
    let debug = |t: &Table| {
        let s = compile(&t.to_string()).unwrap();
        let services: Vec<_> = s.services().collect();
        format!(
            "{services:?} {:?} {:?} {:?}",
            s.routes(),
            s.scope(),
            s.claim_window()
        )
    };
    for (key, row) in &rows {
        let left_out = without(&root, key);
        match (default_of(row), row[1]) {
            (None, "-") => {
                let fault = text_fault(&left_out.to_string());
                expect_that!(fault, contains_substring("missing field"), "{key}");
            }
            (None, _) => expect_that!(compile(&left_out.to_string()).is_ok(), eq(true), "{key}"),
            (Some(default), _) => {
                let value = toml::from_str::<Table>(&format!("v = {default}")).unwrap();
                let value = match (*key, &value["v"]) {
                    // The route of the example takes POST, to which the other default applies.
                    ("route.repeat", _) => Value::String("never".to_owned()),
                    (_, v) => v.clone(),
                };
                let given = with(&root, key, value);
                expect_that!(debug(&left_out), eq(&debug(&given)), "{key}");
            }
        }
    }
    // Room for the ranges of slots and connections, which are compared with each other.
    let many = with(&root, "service.connections", Value::Integer(100_000));
    let few = with(&root, "service.slots", Value::Integer(1));
    let accepts = |text: &str| compile(text).is_ok();
    let (slots, rest): (BTreeMap<_, _>, BTreeMap<_, _>) =
        rows.into_iter().partition(|(k, _)| *k == "service.slots");
    expect_that!(expect_ranges(&many, &slots, accepts), eq(1));
    expect_that!(expect_ranges(&few, &rest, accepts), eq(4));
}
