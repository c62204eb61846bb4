//! Result codes: agreement with the table for operators, and `executed` after the hand-over.

use googletest::prelude::*;
use wire::Code;

const CODES_PAGE: &str = include_str!("../../../docs/codes.md");

/// Returns the beginning of the code's row in the table.
fn row(code: Code) -> String {
    let status = code.http_status().map_or("-".to_owned(), |s| s.to_string());
    let executed = code.executed().map_or("-", wire::Executed::as_str);
    format!(
        "| {} | {} | {status} | {executed} |",
        code.number(),
        code.title()
    )
}

/// Guards against a code without a row in the table, or with another title, status or `executed`
/// value there.
#[gtest]
fn every_code_is_documented() {
    for code in Code::ALL {
        expect_that!(CODES_PAGE, contains_substring(row(*code)));
    }
}

/// Guards against rows of codes that were removed or renumbered.
#[gtest]
fn every_documented_code_exists() {
    let numbers = CODES_PAGE
        .lines()
        .filter_map(|l| l.strip_prefix("| ")?.split(' ').next()?.parse().ok());
    for n in numbers {
        expect_that!(Code::from_number(n), some(anything()));
    }
}

/// Guards against a refusal after the hand-over that reports the request as not run: a caller would
/// repeat an operation that may have run.
#[gtest]
fn codes_after_hand_over_report_unknown() {
    for code in Code::ALL
        .iter()
        .filter(|c| (300..400).contains(&c.number()))
    {
        expect_that!(code.executed(), some(eq(wire::Executed::Unknown)));
    }
}
