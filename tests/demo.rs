//! `briarlug demo`

mod common;

use std::time::{Duration, Instant};

use common::{Workdir, stderr, stdout};
use googletest::prelude::*;

/// Upper bound on the run time of the demo with 100 requests per site.
const MAX_DEMO_TIME: Duration = Duration::from_secs(15);

/// Guards against a demo that reports a broken guarantee, takes too long, or omits a site.
#[gtest]
fn short_demo_has_no_broken_requests() {
    let wrk = Workdir::new("demo");
    let began = Instant::now();
    let out = wrk
        .command("demo")
        .args(["--requests", "100"])
        .output()
        .unwrap();
    let table = stdout(&out);
    expect_that!(out.status.code(), some(eq(0)), "{table}{}", stderr(&out));
    expect_that!(began.elapsed(), le(MAX_DEMO_TIME));
    expect_that!(stderr(&out), eq(""));
    expect_that!(
        table,
        starts_with("site         requests   whole  refused  broken")
    );
    for (site, nodes) in [("indus-vale", 12), ("kilimanjaro", 10)] {
        let row = table
            .lines()
            .find(|l| l.starts_with(site))
            .unwrap_or_default();
        expect_that!(
            row,
            contains_substring(format!(" 2 on {nodes} ")),
            "{table}"
        );
        let sent: usize = row
            .split_whitespace()
            .nth(1)
            .unwrap_or("")
            .parse()
            .unwrap_or(0);
        expect_that!(sent, ge(100));
    }
    expect_that!(table, not(contains_substring("BROKEN")));
}
