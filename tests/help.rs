//! `briarlug help`, and the argument handling shared by all commands.

mod common;

use std::process::{Command, Stdio};

use common::{Workdir, stderr, stdout};
use googletest::prelude::*;

const COMMANDS: [&str; 6] = ["node", "publish", "check", "status", "demo", "fake"];

fn run(args: &[&str]) -> std::process::Output {
    let mut cmd = Command::new(env!("CARGO_BIN_EXE_briarlug"));
    cmd.args(args).output().unwrap()
}

/// Guards against a command that is missing from the overview or from `help`.
#[gtest]
fn each_command_has_a_usage_text() {
    let overview = run(&[]);
    expect_that!(overview.status.code(), some(eq(0)));
    expect_that!(stdout(&run(&["help"])), eq(&stdout(&overview)));
    expect_that!(stdout(&run(&["--help"])), eq(&stdout(&overview)));
    for name in COMMANDS {
        expect_that!(
            stdout(&overview),
            contains_substring(format!("\n    {name} "))
        );
        let help = run(&["help", name]);
        expect_that!(help.status.code(), some(eq(0)), "{name}");
        expect_that!(
            stdout(&help),
            contains_substring(format!("Usage:\n    briarlug {name} "))
        );
        expect_that!(stdout(&run(&[name, "--help"])), eq(&stdout(&help)));
        expect_that!(stdout(&run(&[name, "-h"])), eq(&stdout(&help)));
    }
}

/// Guards against wrong arguments that are accepted, exit with a code other than 2, or give no
/// reason on standard error.
#[gtest]
fn wrong_usage_exits_with_2_and_names_the_error() {
    const CASES: [(&[&str], &str); 20] = [
        (
            &["stauts"],
            "unknown command 'stauts'; did you mean 'status'?",
        ),
        (&["zzz"], "unknown command 'zzz'; see"),
        (
            &["help", "chekc"],
            "unknown command 'chekc'; did you mean 'check'?",
        ),
        (&["help", "check", "more"], "unexpected argument 'more'"),
        (
            &["--versoin"],
            "unknown option '--versoin'; did you mean '--version'?; see",
        ),
        (&["check"], "a FILE is needed"),
        (&["check", "a", "b", "c"], "unexpected argument 'c'"),
        (
            &["check", "--setings", "a"],
            "'--setings'; did you mean '--settings'?",
        ),
        (&["check", "--settings"], "'--settings' option doesn't have"),
        (
            &["check", "/nonexistent/text.toml"],
            "cannot read /nonexistent/text.toml",
        ),
        (
            &["check", "--settings", "/nonexistent/node.toml"],
            "cannot read /nonexistent/node.toml",
        ),
        (&["publish", "a"], "'--log' option must be set"),
        (
            &["publish", "a", "--lgo", "x"],
            "'--lgo'; did you mean '--log'?",
        ),
        (
            &["publish", "a", "--log", "x", "--base", "two"],
            "--base: 'two': invalid digit",
        ),
        (&["publish", "a", "--log", "x", "--wait", "-1"], "--wait: "),
        (
            &["status", "--operator", "nowhere"],
            "--operator: 'nowhere' is not an http:// URL",
        ),
        (
            &["status", "--operator", "a", "--operator", "b"],
            "'--operator' option is given twice",
        ),
        (&["node"], "'--settings' option must be set"),
        (
            &["demo", "--request", "1"],
            "'--request'; did you mean '--requests'?",
        ),
        (
            &["fake", "log", "--lisen", "x"],
            "'--lisen'; did you mean '--listen'?",
        ),
    ];
    for (args, reason) in CASES {
        let out = run(args);
        expect_that!(out.status.code(), some(eq(2)), "{args:?}");
        expect_that!(stderr(&out), contains_substring(reason), "{args:?}");
        expect_that!(stderr(&out), starts_with("briarlug: "), "{args:?}");
        expect_that!(stdout(&out), eq(""), "{args:?}");
    }
}

/// Guards against a panic on EPIPE when the reader of standard output has closed its end, as with
/// `| head`.
#[gtest]
fn closed_stdout_pipe_exits_with_0() {
    let wrk = Workdir::new("help-pipe");
    let text = wrk.create("text.toml", common::CONFIG_TEXT);
    let text = text.to_str().unwrap();
    for args in [&["help"][..], &[], &["check", text], &["help", "publish"]] {
        let (reader, writer) = std::io::pipe().unwrap();
        drop(reader);
        let mut cmd = Command::new(env!("CARGO_BIN_EXE_briarlug"));
        let out = cmd
            .args(args)
            .stdout(writer)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap()
            .wait_with_output()
            .unwrap();
        expect_that!(out.status.code(), some(eq(0)), "{args:?}");
        expect_that!(stderr(&out), eq(""), "{args:?}");
    }
}

/// Guards against a panic, or an exit code other than 2, when the error message can't be written
/// because the reader of standard error has closed its end.
#[gtest]
fn closed_stderr_pipe_keeps_the_exit_code() {
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let mut cmd = Command::new(env!("CARGO_BIN_EXE_briarlug"));
    let status = cmd.arg("stauts").stderr(writer).status().unwrap();
    expect_that!(status.code(), some(eq(2)));
}

/// Guards against builds whose version can't be identified.
#[gtest]
fn the_version_is_printed() {
    let wrk = Workdir::new("help-version");
    let out = wrk.command("--version").output().unwrap();
    expect_that!(out.status.code(), some(eq(0)));
    let expected = concat!("briarlug ", env!("CARGO_PKG_VERSION"), "\n");
    expect_that!(stdout(&out).as_str(), eq(expected));
}
