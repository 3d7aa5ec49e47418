//! Parsing, validation and comparison of declarations.

use pier_core::keys;
use pier_decl::{Error, Problem};

fn text(sections: &str) -> String {
    format!("{{\n  // The cell.\n  cell: \"c\",\n{sections}\n}}")
}

fn first_error(sections: &str) -> Error {
    pier_decl::parse(&text(sections)).expect_err("the declaration is wrong").remove(0)
}

const TEAM: &str = "teams: [{ name: \"a\", share: 1, limit: { slots: 4 } }],";
const QUEUE: &str = "queues: [{ name: \"q\", class: \"urgent\", resources: { slots: 1 } }],";

/// The line and column of the first `needle` in `text`, counted from one.
fn position_of(text: &str, needle: &str) -> String {
    let offset = text.find(needle).expect("the text contains the needle");
    let before = &text[..offset];
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    format!("line {line}, column {column}: ")
}

/// Guards against errors that are accepted, or reported at the wrong position.
#[test]
fn each_error_is_reported_with_line_and_column() {
    // The sections of the declaration, the text at the position of the error, and the start of the
    // message after the position.
    let cases: &[(&str, &str, &str)] = &[
        ("teams: [{ name: \"a b\", share: 1 }]", "\"a b\"", "teams[0].name: a name must have"),
        ("teams: [{ name: \"a\", share: 0 }]", "0 }", "teams[0].share: the value is 0"),
        ("teams: [{ name: \"a\", shares: 1 }]", "shares", "unknown field `shares`"),
        (
            "teams: [{ name: \"a\", share: 1 },\n { name: \"a\" , share: 1 }]",
            "\"a\" ,",
            "teams[1].name: the name is already used in this list",
        ),
        (
            "queues: [{ name: \"q\", class: \"soon\", resources: {} }]",
            "\"soon\"",
            "unknown variant `soon`",
        ),
        (
            "queues: [{ name: \"q\", class: \"urgent\", resources: {} }]",
            "{} }",
            "queues[0].resources: the resources are all zero",
        ),
        (
            "queues: [{ name: \"q\", class: \"urgent\", resources: {slots: 1}, teams: [\"x\"] }]",
            "\"x\"",
            "queues[0].teams[0]: the team is not declared",
        ),
        ("policy: { name: \"best\" }", "\"best\"", "policy.name: no policy has this name"),
        ("policy: { waiting_weight_percent: 101 }", "101", "policy.waiting_weight_percent: the"),
        (
            "services: [{ name: \"s\", team: \"x\", replicas: 1, resources: {slots: 1} }]",
            "\"x\"",
            "services[0].team: the team is not declared",
        ),
        ("teams: 7", "7", "expected opening bracket"),
    ];
    for (sections, needle, expected) in cases {
        let expected = position_of(&text(sections), needle) + expected;
        let message = first_error(sections).to_string();
        assert!(message.starts_with(&expected), "{sections}: {message}, expected {expected}");
    }
}

/// Guards against declared work that could never run.
#[test]
fn work_that_can_never_run_is_rejected() {
    let job = |queue: &str, slots: u32| {
        format!(
            "{TEAM} {QUEUE} jobs: [{{ name: \"j\", team: \"a\", job: {{ queue: \"{queue}\", \
             tasks: 1, resources: {{ slots: {slots} }} }} }}]"
        )
    };
    let problem = |sections: &str| match first_error(sections) {
        Error::Invalid { problem, .. } => problem,
        other => panic!("{other}"),
    };
    assert_eq!(problem(&job("none", 1)), Problem::UnknownQueue);
    assert!(matches!(problem(&job("q", 1)), Problem::WrongClass { .. }));
    assert_eq!(problem(&job("none", 5)), Problem::OverLimit);
}

/// Guards against an unbounded text that exhausts memory, and against a panic on malformed input.
#[test]
fn malformed_texts_are_errors() {
    let large = " ".repeat(pier_decl::MAX_TEXT_BYTES + 1);
    for text in ["", "{", "[]", "{cell:", "\u{feff}", "{cell: \"c\"} x", &large] {
        assert!(pier_decl::parse(text).is_err());
    }
}

/// Guards against a key that is accepted for a team that does not have it.
#[test]
fn a_key_belongs_to_the_team_that_declares_it() {
    let hash = keys::KeyHash::of("secret").to_hex();
    let sections = format!(
        "teams: [{{ name: \"a\", share: 1 }}, \
         {{ name: \"b\", share: 1, keys: [{{ id: \"k\", sha256: \"{hash}\" }}] }}]"
    );
    let declaration = pier_decl::parse(&text(&sections)).expect("the declaration is right");
    let (team, key) = pier_decl::team_of_key(&declaration, "secret").expect("the key is declared");
    assert_eq!((&**team, &**key), ("b", "k"));
    assert_eq!(pier_decl::team_of_key(&declaration, "Secret"), None);
}

/// Guards against a change that the audit trail omits, and against key hashes in it.
#[test]
fn a_diff_names_every_change_and_no_hash() {
    let hash = keys::KeyHash::of("secret").to_hex();
    let old = pier_decl::parse(&text(TEAM)).expect("right");
    let sections = format!(
        "availability_zones: [{{ name: \"z\", status: \"out\" }}], \
         teams: [{{ name: \"a\", share: 2, keys: [{{ id: \"k\", sha256: \"{hash}\" }}] }}]"
    );
    let new = pier_decl::parse(&text(&sections)).expect("right");
    let lines = pier_decl::diff(&old, &new);
    let all = lines.join("\n");
    for expected in ["availability_zones.z.status", "teams.a.keys.k.id", "teams.a.share: 1 -> 2"] {
        assert!(all.contains(expected), "{expected} in {all}");
    }
    assert!(all.contains("teams.a.limit.slots: 4 removed"), "{all}");
    assert!(!all.contains(&hash), "{all}");
    assert!(pier_decl::diff(&new, &new).is_empty());
}
