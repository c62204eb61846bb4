//! `briarlug check`

mod common;

use std::process::Output;

use common::{CONFIG_TEXT, Workdir, stderr, stdout};
use googletest::prelude::*;

fn check(wrk: &Workdir, args: &[&str]) -> Output {
    wrk.command("check").args(args).output().unwrap()
}

/// Guards against a summary that omits services or routes.
#[gtest]
fn valid_config_text_prints_a_summary() {
    let wrk = Workdir::new("check-good");
    wrk.create("text.toml", CONFIG_TEXT);
    let out = check(&wrk, &["text.toml"]);
    expect_that!(out.status.code(), some(eq(0)));
    expect_that!(stderr(&out), eq(""));
    let out = stdout(&out);
    expect_that!(
        out,
        starts_with("text.toml: ok, mesh indus-vale, 3 services, 6 routes\n")
    );
    expect_that!(out.lines().count(), eq(7));
    const ROUTES: [&str; 2] = [
        "  /titles                  GET HEAD     ledger-view      repeat=safe class=short \
         timeout_ms=500 hedge=true\n",
        "  /titles                  POST         title-desk       repeat=never class=short \
         timeout_ms=2000 hedge=false\n",
    ];
    for route in ROUTES {
        expect_that!(out, contains_substring(route));
    }
}

/// Guards against a diff in the wrong direction or without one of the changes.
#[gtest]
fn diff_lists_changes_from_the_second_file_to_the_first() {
    let wrk = Workdir::new("check-diff");
    wrk.create("old.toml", CONFIG_TEXT);
    wrk.create(
        "new.toml",
        &CONFIG_TEXT.replacen("queue = 64", "queue = 48", 1),
    );
    let out = check(&wrk, &["new.toml", "old.toml"]);
    expect_that!(out.status.code(), some(eq(0)));
    let out = stdout(&out);
    expect_that!(out, contains_substring("\n-queue = 64\n+queue = 48\n"));
    expect_that!(out.matches("\n-").count(), eq(1));
    expect_that!(out.matches("\n+").count(), eq(1));

    let same = check(&wrk, &["old.toml", "old.toml"]);
    expect_that!(stdout(&same), eq(&stdout(&check(&wrk, &["old.toml"]))));
    let missing = check(&wrk, &["new.toml", "older.toml"]);
    expect_that!(missing.status.code(), some(eq(2)));
    expect_that!(
        stderr(&missing),
        contains_substring("cannot read older.toml")
    );
}

const HEAD: &str = "format = 1\nmesh = \"m\"\n";
const SERVICE: &str = "[[service]]\nname = \"a\"\nslots = 6\nconnections = 9\n";

/// Guards against an invalid configuration text that is accepted, or whose error has the wrong
/// code, line or column.
#[gtest]
fn config_text_errors_have_code_line_and_column() {
    let text = |rest: &str| format!("{HEAD}{SERVICE}{rest}");
    let cases = [
        (
            "format = 1\nmesh = \n".to_owned(),
            "502 text not readable at line 2, column 8",
        ),
        (
            "format = 1\n".to_owned(),
            "502 text not readable at line 1, column 1: missing field `mesh`",
        ),
        (
            "format = 2\nmesh = \"m\"\n".to_owned(),
            "502 text not readable at line 1, column 10: format 2",
        ),
        (
            format!("{HEAD}scop = \"all\"\n"),
            "502 text not readable at line 3, column 1: unknown field `scop`",
        ),
        (
            format!("{HEAD}claim_window_s = 1\n"),
            "503 text not valid at line 3, column 18: 1 is not within",
        ),
        (
            format!("{HEAD}{SERVICE}").replace("6", "\"6\""),
            "502 text not readable at line 5, column 9",
        ),
        (
            text("depends = [\"b\"]\n"),
            "503 text not valid at line 7, column 12: no service `b`",
        ),
        (
            text("depends = [\"a\"]\n"),
            "503 text not valid at line 4, column 8: the dependencies of `a`",
        ),
        (
            text("queue = -1\n"),
            "503 text not valid at line 7, column 9: -1 is not within",
        ),
        (
            text(SERVICE),
            "503 text not valid at line 8, column 8: service `a` is defined twice",
        ),
        (
            text("[[route]]\nprefix = \"x\"\nservice = \"a\"\n"),
            "503 text not valid at line 8, column 10: a prefix",
        ),
        (
            text("[[route]]\nprefix = \"/é\"\nservice = \"b\"\n"),
            "503 text not valid at line 8, column 10: a prefix",
        ),
        (
            text("[[route]]\nprefix = \"/x\"\nservice = \"b\"\n"),
            "503 text not valid at line 9, column 11: no service `b`",
        ),
        (
            text("[[route]]\nprefix = \"/x\"\nservice = \"a\"\nhedge = true\n"),
            "503 text not valid at line 10, column 9: `hedge` needs",
        ),
        (
            text("[[route]]\nprefix = \"/x\"\nservice = \"a\"\ntimeout = 3\n"),
            "502 text not readable at line 10, column 1: unknown field `timeout`",
        ),
        (
            format!("{HEAD}# {}\n", "x".repeat(1 << 20)),
            "504 text too large at line 1, column 1",
        ),
        (
            format!("mesh = \n# {}\n", "x".repeat(1 << 20)),
            "504 text too large at line 1, column 1",
        ),
    ];
    let wrk = Workdir::new("check-bad");
    for (text, fault) in cases {
        wrk.create("bad.toml", &text);
        let out = check(&wrk, &["bad.toml"]);
        let wanted = format!("briarlug: bad.toml: {fault}");
        let shown: String = text.chars().take(200).collect();
        expect_that!(out.status.code(), some(eq(1)), "{shown}");
        expect_that!(stderr(&out), starts_with(wanted), "{shown}");
        expect_that!(stdout(&out), eq(""), "{shown}");
    }
}
