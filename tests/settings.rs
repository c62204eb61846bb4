//! Settings of a node: `briarlug check --settings`, and errors at the start of `briarlug node`.

mod common;

use common::{Workdir, stderr, stdout};
use googletest::prelude::*;

const SETTINGS: &str = r#"mesh = "m"
name = "a-0"
service = "a"
region = "r"
domain = "d"
address = "127.0.0.1"
seeds = ["127.0.0.1:7103", "127.0.0.2:7103"]
drain_timeout_s = 30
[log]
url = "http://127.0.0.1:7000"
checkpoint_s = 3600
[ports]
callers = 7100
peers = 7101
target = 7102
rpc = 7103
gossip = 7104
operator = 7105
[keys.send]
number = 1
secret = "0123456789abcdef"
[keys.also]
number = 2
secret = "fedcba9876543210"
[trace]
endpoint = "http://127.0.0.1:4318/v1/traces"
sample = 0.01
[metrics]
statsd = "127.0.0.1:8125"
[logs]
json = false
"#;

/// Guards against valid settings that are rejected.
#[gtest]
fn valid_settings_pass() {
    let wrk = Workdir::new("settings-good");
    wrk.create("node.toml", SETTINGS);
    let out = wrk
        .command("check")
        .args(["--settings", "node.toml"])
        .output()
        .unwrap();
    expect_that!(out.status.code(), some(eq(0)), "{}", stderr(&out));
    expect_that!(stdout(&out), eq("node.toml: ok, instance a-0 in d of m\n"));
}

/// Guards against invalid settings that are accepted, and against messages that don't name the line
/// and the key to correct.
#[gtest]
fn settings_errors_have_code_line_and_key() {
    // (piece of the valid settings, its replacement, start of the error message)
    const CASES: [(&str, &str, &str); 33] = [
        (
            "region = \"r\"\n",
            "region = \n",
            "701 settings not readable at line 4: ",
        ),
        (
            "region = \"r\"\n",
            "regoin = \"r\"\n",
            "701 settings not readable at line 4: regoin: unknown field",
        ),
        (
            "mesh = \"m\"\n",
            "",
            "701 settings not readable at line 1: missing field `mesh`",
        ),
        (
            "number = 1\n",
            "",
            "701 settings not readable at line 19: keys.send: missing field `number`",
        ),
        (
            "drain_timeout_s = 30",
            "drain_timeout_ms = 30000",
            "701 settings not readable at line 8: drain_timeout_ms: unknown field",
        ),
        (
            "drain_timeout_s = 30",
            "drain_timeout_s = \"30s\"",
            "701 settings not readable at line 8: drain_timeout_s: invalid type",
        ),
        (
            "drain_timeout_s = 30",
            "drain_timeout_s = 1.5",
            "701 settings not readable at line 8: drain_timeout_s: invalid type",
        ),
        (
            "drain_timeout_s = 30",
            "drain_timeout_s = -1",
            "701 settings not readable at line 8: drain_timeout_s: invalid value",
        ),
        (
            "drain_timeout_s = 30",
            "drain_timeout_s = 0",
            "702 setting not valid at line 8: drain_timeout_s: 0 is not within 1 to 3600 seconds",
        ),
        (
            "drain_timeout_s = 30",
            "drain_timeout_s = 3601",
            "702 setting not valid at line 8: drain_timeout_s: 3601 is not",
        ),
        (
            "checkpoint_s = 3600",
            "checkpoint_s = 0",
            "702 setting not valid at line 11: log.checkpoint_s: 0 is not",
        ),
        (
            "checkpoint_s = 3600",
            "checkpoint_s = 86401",
            "702 setting not valid at line 11: log.checkpoint_s: 86401 is not",
        ),
        (
            "name = \"a-0\"",
            "name = \"a 0\"",
            "702 setting not valid at line 2: name: must be 1 to 64",
        ),
        (
            "domain = \"d\"",
            "domain = \"\"",
            "702 setting not valid at line 5: domain: must be 1 to 64",
        ),
        (
            "address = \"127.0.0.1\"",
            "address = \"0.0.0.0\"",
            "702 setting not valid at line 6: address: 0.0.0.0 is not",
        ),
        (
            "address = \"127.0.0.1\"",
            "address = \"::\"",
            "702 setting not valid at line 6: address: :: is not",
        ),
        (
            "address = \"127.0.0.1\"",
            "address = \"224.0.0.1\"",
            "702 setting not valid at line 6: address: 224.0.0.1 is not",
        ),
        (
            "address = \"127.0.0.1\"",
            "address = \"255.255.255.255\"",
            "702 setting not valid at line 6: address: 255",
        ),
        (
            "address = \"127.0.0.1\"",
            "address = \"node-1\"",
            "701 settings not readable at line 6: address: ",
        ),
        (
            "127.0.0.2:7103",
            "0.0.0.0:7103",
            "702 setting not valid at line 7: seeds: 0.0.0.0:7103",
        ),
        (
            "127.0.0.2:7103",
            "127.0.0.2:0",
            "702 setting not valid at line 7: seeds: 127.0.0.2:0",
        ),
        (
            "127.0.0.1:7103",
            "127.0.0.1:7104",
            "702 setting not valid at line 7: seeds: 127.0.0.1:7104 is this instance, but its `ports.rpc` is 7103",
        ),
        (
            "http://127.0.0.1:7000",
            "127.0.0.1:7000",
            "702 setting not valid at line 10: log.url: must be an http:// URL",
        ),
        (
            "http://127.0.0.1:7000",
            "https://127.0.0.1:7000",
            "702 setting not valid at line 10: log.url: must be an http:// URL",
        ),
        (
            "operator = 7105",
            "operator = 7100",
            "702 setting not valid at line 18: ports.operator: port 7100 is used by `ports.callers`",
        ),
        (
            "operator = 7105",
            "operator = 71050",
            "701 settings not readable at line 18: ports.operator: ",
        ),
        (
            "0123456789abcdef",
            "0123456789abcde",
            "702 setting not valid at line 21: keys.send.secret: 15 bytes",
        ),
        (
            "fedcba9876543210",
            "short",
            "702 setting not valid at line 24: keys.also.secret: 5 bytes",
        ),
        (
            "number = 2",
            "number = 1",
            "702 setting not valid at line 23: keys.also.number: 1 is the number of `keys.send`",
        ),
        (
            "number = 2",
            "number = 256",
            "701 settings not readable at line 23: keys.also.number: ",
        ),
        (
            "sample = 0.01",
            "sample = 1.01",
            "702 setting not valid at line 27: trace.sample: 1.01 is not within 0 to 1",
        ),
        (
            "sample = 0.01",
            "sample = nan",
            "702 setting not valid at line 27: trace.sample: NaN is not within 0 to 1",
        ),
        (
            "127.0.0.1:8125",
            "0.0.0.0:8125",
            "702 setting not valid at line 29: metrics.statsd: 0.0.0.0:8125",
        ),
    ];
    let wrk = Workdir::new("settings-bad");
    for (piece, by, fault) in CASES {
        assert_that!(SETTINGS.matches(piece).count(), eq(1), "{piece}");
        wrk.create("node.toml", &SETTINGS.replace(piece, by));
        for command in ["check", "node"] {
            let out = wrk
                .command(command)
                .args(["--settings", "node.toml"])
                .output()
                .unwrap();
            expect_that!(out.status.code(), some(eq(1)), "{by}");
            let wanted = format!("briarlug: node.toml: {fault}");
            expect_that!(stderr(&out), starts_with(wanted), "{by}");
            expect_that!(stderr(&out).lines().count(), eq(1), "{by}");
        }
    }
}

/// Guards against a secret that is printed in an error message.
#[gtest]
fn a_secret_of_the_wrong_type_is_not_shown() {
    let wrk = Workdir::new("settings-secret");
    let text = SETTINGS.replace("\"0123456789abcdef\"", "1122334455667788");
    wrk.create("node.toml", &text);
    let out = wrk
        .command("check")
        .args(["--settings", "node.toml"])
        .output()
        .unwrap();
    expect_that!(
        stderr(&out),
        eq(
            "briarlug: node.toml: 701 settings not readable at line 21: keys.send.secret: must be a string\n"
        )
    );
}

/// Guards against a node that starts with an address that its instance doesn't have.
#[gtest]
fn a_node_refuses_an_address_of_another_instance() {
    let wrk = Workdir::new("settings-address");
    // 192.0.2.0/24 is reserved for documentation, so no instance has an address in it.
    wrk.create(
        "node.toml",
        &SETTINGS.replace("address = \"127.0.0.1\"", "address = \"192.0.2.7\""),
    );
    let out = wrk
        .command("node")
        .args(["--settings", "node.toml"])
        .output()
        .unwrap();
    expect_that!(out.status.code(), some(eq(1)));
    expect_that!(
        stderr(&out),
        starts_with(
            "briarlug: node.toml: 702 setting not valid at line 6: address: 192.0.2.7 is not an address of this instance: "
        )
    );
}
