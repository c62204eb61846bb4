//! The code table in the docs.

use googletest::prelude::*;
use wire::Code;

const TABLE: &str = include_str!("../../../docs/codes.md");

fn row(code: Code) -> String {
    let status = code.http_status().map_or("-".to_owned(), |s| s.to_string());
    let executed = code.executed().map_or("-", wire::Executed::as_str);
    format!(
        "| {} | {} | {status} | {executed} |",
        code.number(),
        code.title()
    )
}

/// Guards against a code that operators can't look up, or whose row says something else.
#[gtest]
fn each_code_has_its_row() {
    for code in Code::ALL {
        expect_that!(TABLE, contains_substring(row(*code)));
    }
}

/// Guards against rows of codes that no longer exist.
#[gtest]
fn each_row_has_its_code() {
    let numbers = TABLE
        .lines()
        .filter_map(|l| l.strip_prefix("| ")?.split(' ').next()?.parse().ok());
    for n in numbers {
        expect_that!(Code::from_number(n), some(anything()));
    }
}

/// Guards against a refusal after the hand-over that claims the request was not run.
#[gtest]
fn only_codes_before_the_hand_over_say_not_run() {
    for code in Code::ALL
        .iter()
        .filter(|c| (300..400).contains(&c.number()))
    {
        expect_that!(code.executed(), some(eq(wire::Executed::Unknown)));
    }
}
