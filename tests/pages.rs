//! Checks the reference pages on settings and configuration text against the parsers and examples.

use std::collections::{BTreeMap, BTreeSet};

use config::Snapshot;
use googletest::prelude::*;
use node::Settings;
use toml::{Table, Value};
use wire::Version;

const SETTINGS_PAGE: &str = include_str!("../docs/settings.md");
const CONFIG_PAGE: &str = include_str!("../docs/text.md");
const NODE_EXAMPLE: &str = include_str!("../examples/node.toml");
const CONFIG_EXAMPLES: [&str; 2] = [
    include_str!("../examples/indus-vale.toml"),
    include_str!("../examples/kilimanjaro.toml"),
];

/// Returns the rows of the first table of a page by key: unit, default, range and meaning.
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

/// Returns a numeric range and whether it is of integers; `None` if the row has no range or a range
/// of lengths (`1 to 64 of ...`, or in bytes).
fn range_of(row: &[&str]) -> Option<(f64, f64, bool)> {
    let (low, rest) = row[2].split_once(" to ")?;
    let high = rest.split([',', ' ']).next().unwrap();
    let is_length = rest.contains(" of ") || rest.contains("bytes");
    let range = (low.parse().ok()?, high.parse().ok()?);
    (!is_length).then_some((range.0, range.1, !low.contains('.')))
}

/// Returns the dotted keys of all values; arrays of tables count as tables.
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

/// Returns the table that holds a dotted key, and the last part of the key.
fn parent<'a, 'k>(root: &'a mut Table, key: &'k str) -> (&'a mut Table, &'k str) {
    let Some((head, rest)) = key.split_once('.') else {
        return (root, key);
    };
    match root.get_mut(head).unwrap() {
        Value::Table(t) => parent(t, rest),
        Value::Array(a) => parent(a[0].as_table_mut().unwrap(), rest),
        _ => panic!("the parent of {key} is not a table"),
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

/// Returns the keys that a parser accepts: an unknown key in each table makes it list them in its
/// error message.
fn accepted_keys(
    root: &Table,
    tables: &[&str],
    error: impl Fn(&str) -> String,
) -> BTreeSet<String> {
    let mut all = BTreeSet::new();
    for table in tables {
        let unknown = format!("{table}zzz");
        let error = error(&with(root, &unknown, Value::Boolean(true)).to_string());
        let (_, names) = error.split_once("expected ").expect(&error);
        let names = names.split('`').skip(1).step_by(2);
        all.extend(names.map(|n| format!("{table}{n}")));
    }
    let is_table = |k: &String| tables.contains(&format!("{k}.").as_str());
    all.into_iter().filter(|k| !is_table(k)).collect()
}

/// Checks that the limits of each range are accepted and the values next to them are not. Returns
/// the number of ranges checked.
fn expect_ranges(
    root: &Table,
    rows: &BTreeMap<&str, Vec<&str>>,
    accepts: impl Fn(&str) -> bool,
) -> usize {
    let mut checked = 0;
    for (key, row) in rows {
        let Some((low, high, is_integer)) = range_of(row) else {
            continue;
        };
        let step = if is_integer { 1.0 } else { 0.01 };
        let value = |n: f64| {
            if is_integer {
                Value::Integer(n as i64)
            } else {
                Value::Float(n)
            }
        };
        // An f64 can't represent the largest 64-bit integer, and TOML can't represent a larger one.
        let top = if high > 1e15 {
            vec![]
        } else {
            vec![(high, true), (high + step, false)]
        };
        for (n, is_valid) in [(low, true), (low - step, false)].into_iter().chain(top) {
            let text = with(root, key, value(n)).to_string();
            expect_that!(accepts(&text), eq(is_valid), "{key} = {n}");
        }
        checked += 1;
    }
    checked
}

fn settings_error(text: &str) -> String {
    Settings::try_from(text).map_or_else(|e| e.to_string(), |_| String::new())
}

fn compile(text: &str) -> Result<Snapshot, config::Rejection> {
    Snapshot::compile(Version(1), "indus-vale", text)
}

fn config_error(text: &str) -> String {
    compile(text).map_or_else(|e| e.to_string(), |_| String::new())
}

/// Guards against a setting that is missing from the page or the complete example, and against one
/// that the parser no longer accepts.
#[gtest]
fn settings_page_lists_the_keys_of_the_parser() {
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
    expect_that!(settings_error(NODE_EXAMPLE), eq(""));
    let root: Table = toml::from_str(NODE_EXAMPLE).unwrap();
    let on_page: BTreeSet<_> = rows(SETTINGS_PAGE).keys().map(|k| k.to_string()).collect();
    expect_that!(keys(&root, ""), eq(&on_page));
    let accepted_keys = accepted_keys(&root, &TABLES, settings_error);
    expect_that!(accepted_keys, eq(&on_page));
}

/// Guards against wrong defaults and ranges on the page on settings.
#[gtest]
fn settings_page_states_defaults_and_ranges() {
    let root: Table = toml::from_str(NODE_EXAMPLE).unwrap();
    let rows = rows(SETTINGS_PAGE);
    let debug = |t: &Table| format!("{:?}", Settings::try_from(t.to_string().as_str()).unwrap());
    for (key, row) in &rows {
        let without_key = without(&root, key);
        match default_of(row) {
            None => expect_that!(
                settings_error(&without_key.to_string()),
                contains_substring("701")
            ),
            Some(default) => {
                let value = toml::from_str::<Table>(&format!("v = {default}")).unwrap();
                let given = with(&root, key, value["v"].clone());
                expect_that!(debug(&without_key), eq(&debug(&given)), "{key}");
            }
        }
    }
    let accepts = |text: &str| Settings::try_from(text).is_ok();
    // Several ports may be 0. `seeds` has to be absent: it names the node's own RPC port, which is
    // varied here.
    let root = without(&root, "seeds");
    expect_that!(expect_ranges(&root, &rows, accepts), eq(12));
}

/// Guards against a key of the configuration text that is missing from the page, and against an
/// example with a key that the page doesn't have.
#[gtest]
fn config_page_lists_the_keys_of_the_parser_and_the_examples() {
    let block = CONFIG_PAGE.split("```toml\n").nth(1).unwrap();
    let complete = block.split("```").next().unwrap();
    expect_that!(config_error(complete), eq(""));
    let root: Table = toml::from_str(complete).unwrap();
    let on_page: BTreeSet<_> = rows(CONFIG_PAGE).keys().map(|k| k.to_string()).collect();
    expect_that!(keys(&root, ""), eq(&on_page));
    let accepted_keys = accepted_keys(&root, &["", "service.", "route."], config_error);
    expect_that!(accepted_keys, eq(&on_page));
    for text in CONFIG_EXAMPLES {
        let used = keys(&toml::from_str(text).unwrap(), "");
        expect_that!(used.difference(&on_page).collect::<Vec<_>>(), is_empty());
    }
}

/// Guards against wrong defaults and ranges on the page on the configuration text.
#[gtest]
fn config_page_states_defaults_and_ranges() {
    let block = CONFIG_PAGE.split("```toml\n").nth(1).unwrap();
    let root: Table = toml::from_str(block.split("```").next().unwrap()).unwrap();
    let rows = rows(CONFIG_PAGE);
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
        let without_key = without(&root, key);
        match (default_of(row), row[1]) {
            (None, "-") => {
                let error = config_error(&without_key.to_string());
                expect_that!(error, contains_substring("missing field"), "{key}");
            }
            (None, _) => expect_that!(compile(&without_key.to_string()).is_ok(), eq(true), "{key}"),
            (Some(default), _) => {
                let value = toml::from_str::<Table>(&format!("v = {default}")).unwrap();
                let value = match (*key, &value["v"]) {
                    // The route of the example accepts POST, for which the default is `never`.
                    ("route.repeat", _) => Value::String("never".to_owned()),
                    (_, v) => v.clone(),
                };
                let given = with(&root, key, value);
                expect_that!(debug(&without_key), eq(&debug(&given)), "{key}");
            }
        }
    }
    // `slots` may not exceed `connections`: a high or low value of one lets the other take its
    // whole range.
    let many = with(&root, "service.connections", Value::Integer(100_000));
    let few = with(&root, "service.slots", Value::Integer(1));
    let accepts = |text: &str| compile(text).is_ok();
    let (slots, rest): (BTreeMap<_, _>, BTreeMap<_, _>) =
        rows.into_iter().partition(|(k, _)| *k == "service.slots");
    expect_that!(expect_ranges(&many, &slots, accepts), eq(1));
    expect_that!(expect_ranges(&few, &rest, accepts), eq(4));
}
