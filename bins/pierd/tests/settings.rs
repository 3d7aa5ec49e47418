//! Settings files: defaults, and the message for each kind of error.

use std::fs;
use std::process;
use std::time;

use pierd::errors::SettingError;
use pierd::settings::{Settings, rows};

const HASH: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

/// A valid settings file with `extra` as its last lines.
fn settings_text(extra: &str) -> String {
    format!(
        r#"{{
            // Who the host is.
            host: "host-1",
            availability_zone: "brno-1",
            caller_address: "127.0.0.1:8080",
            peer_address: "127.0.0.1:8081",
            log_url: "http://127.0.0.1:7400",
            host_list_url: "http://127.0.0.1:7400",
            peer_token: "a-secret-of-the-cell",
            operator_token_sha256: ["{HASH}"],
            {extra}
        }}"#
    )
}

fn error_lines(text: &str) -> Vec<String> {
    let mut lines = Vec::new();
    for fault in Settings::parse(text).expect_err("an invalid file") {
        lines.push(fault.to_string());
    }
    lines
}

/// Guards against defaults that are lost when a file does not set them, and against values that are
/// stored in the wrong field.
#[test]
fn values_are_read_and_others_have_defaults() {
    let settings = Settings::parse(&settings_text("")).expect("a valid file");
    assert_eq!(&*settings.host, "host-1");
    assert_eq!(settings.peer_address.port(), 8081);
    assert_eq!(settings.peer_listen_address, settings.peer_address);
    assert_eq!(settings.state.max_waiting, 10_000);
    let text = settings_text(
        "state: { suspect_after_ms: 3000, worker_fencing: false, max_attempts: 7 }, \
         callers: { max_body_bytes: 4096 }, links: { peer_max_connections: 9 }, tick_interval_ms: 30, \
         peer_listen_address: '127.0.0.1:9091'",
    );
    let settings = Settings::parse(&text).expect("a valid file");
    assert_eq!(settings.state.suspect_after, time::Duration::from_secs(3));
    assert!(!settings.state.worker_fencing);
    assert_eq!(settings.state.max_attempts, 7);
    assert_eq!(settings.callers.max_body_bytes, 4096);
    assert_eq!(settings.links.peer.max_connections, 9);
    assert_eq!(settings.tick_interval, time::Duration::from_millis(30));
    let me = settings.to_identity(5);
    assert_eq!((&*me.peer_address, me.incarnation), ("127.0.0.1:8081", 5));
    assert_eq!(settings.peer_listen_address.port(), 9091);
}

/// Guards against an invalid setting that is accepted, or reported without its key, its value or
/// what is allowed.
#[test]
fn each_invalid_setting_is_reported() {
    let cases = [
        (
            "tick_interval_ms: 60",
            "tick_interval_ms: found 60; allowed is a whole number from 5 to 50",
        ),
        ("tick_interval_ms: 1.5", "tick_interval_ms: found 1.5; allowed is"),
        ("tick_interval_ms: -1", "tick_interval_ms: found -1; allowed is"),
        ("tick_interval_ms: '30'", "tick_interval_ms: found \"30\"; allowed is"),
        ("tick_interval_ms: null", "tick_interval_ms: found null; allowed is"),
        ("state: { worker_fencing: 1 }", "state.worker_fencing: found 1; allowed is true or false"),
        ("state: 7", "state: found 7; allowed is an object"),
        (
            "state: { lease_ms: 7 }",
            "state.lease_ms: unknown key; allowed in this place are heartbeat_interval_ms",
        ),
        ("hosts: 7", "hosts: unknown key; allowed in this place are host, availability_zone"),
        ("log_filter: 'pierd=loud=x'", "log_filter: found"),
        (
            "state: { heartbeat_interval_ms: 2000 }",
            "state.heartbeat_interval_ms: found 2000; it must be below state.suspect_after_ms, which is 2000",
        ),
        (
            "callers: { drain_grace_ms: 30000 }",
            "callers.drain_grace_ms: found 30000; it must be below state.drain_limit_ms, which is 30000",
        ),
    ];
    for (extra, expected) in cases {
        let lines = error_lines(&settings_text(extra));
        assert_eq!(lines.len(), 1, "{extra}: {lines:?}");
        assert!(lines[0].starts_with(expected), "{extra}: {}", lines[0]);
    }
}

/// Guards against an invalid name, address, token or hash that is accepted or reported in the wrong
/// way.
#[test]
fn each_invalid_text_is_reported() {
    let cases = [
        ("\"host-1\"", "\"host 1\"", "host: found \"host 1\"; allowed is a name"),
        ("\"host-1\"", "7", "host: found 7; allowed is a name"),
        (
            "127.0.0.1:8080",
            "127.0.0.1",
            "caller_address: found \"127.0.0.1\"; allowed is 'ip:port'",
        ),
        ("127.0.0.1:8081", "0.0.0.0:8081", "peer_address: found"),
        ("127.0.0.1:8081", "host-1:8081", "peer_address: found"),
        ("log_url: \"http://", "log_url: \"https://", "log_url: found"),
        (
            "a-secret-of-the-cell",
            "short",
            "peer_token: found a text of 5 bytes; allowed is a secret",
        ),
        (HASH, "12", "operator_token_sha256: found"),
    ];
    for (old, new, expected) in cases {
        let lines = error_lines(&settings_text("").replacen(old, new, 1));
        assert_eq!(lines.len(), 1, "{new}: {lines:?}");
        assert!(lines[0].starts_with(expected), "{new}: {}", lines[0]);
    }
}

/// Guards against a message that leaks a secret.
#[test]
fn messages_do_not_quote_the_peer_token() {
    let text = settings_text("").replace("a-secret-of-the-cell", "tok en");
    assert!(!error_lines(&text).concat().contains("tok en"));
}

/// Guards against a report of only the first of several errors.
#[test]
fn all_errors_are_reported_at_once() {
    let found = Settings::parse("{ host: 'a b', colour: 1 }").expect_err("an invalid file");
    let missing =
        found.iter().filter(|fault| matches!(fault, SettingError::Missing { .. })).count();
    assert_eq!((missing, found.len()), (7, 9));
}

/// Guards against a default outside its limits, and against a constraint on a setting that does not
/// exist.
#[test]
fn defaults_are_within_their_limits() {
    let mut defaults = Settings::default();
    for row in rows::all() {
        let Some(value) = rows::value(&mut defaults, row.key) else {
            continue;
        };
        assert!((row.min..=row.max).contains(&value), "{}: {value}", row.key);
    }
    for constraint in rows::CONSTRAINTS {
        assert!(rows::value(&mut defaults, constraint.key).is_some(), "{}", constraint.key);
        assert!(
            rows::value(&mut defaults, constraint.other_key).is_some(),
            "{}",
            constraint.other_key
        );
    }
}

/// Guards against a daemon that starts with invalid settings, or exits without naming the file.
#[test]
fn the_daemon_exits_with_code_2_on_invalid_settings() {
    let directory = tempfile::tempdir().expect("a directory");
    let invalid = directory.path().join("wrong.json5");
    fs::write(&invalid, settings_text("colour: 1")).expect("the file is written");
    let valid = directory.path().join("right.json5");
    fs::write(&valid, settings_text("")).expect("the file is written");
    let missing = directory.path().join("missing.json5");
    for (path, code) in [(&invalid, 2), (&missing, 2), (&valid, 0)] {
        let output = process::Command::new(env!("CARGO_BIN_EXE_pierd"))
            .args(["--check", "--settings"])
            .arg(path)
            .output()
            .expect("the daemon runs");
        assert_eq!(output.status.code(), Some(code), "{}", path.display());
        let message = String::from_utf8(output.stderr).expect("text");
        assert_eq!(message.contains(&path.display().to_string()), code != 0, "{message}");
    }
}

/// Guards against a docs/operators.md that lacks a setting or shows other values for it.
#[test]
fn the_operators_page_has_every_setting() {
    let page = include_str!("../../../docs/operators.md");
    for line in rows::to_markdown().lines() {
        assert!(page.contains(line), "docs/operators.md lacks: {line}");
    }
}
