//! Parsing of the command line.

use bpaf::Args;
use pier::arguments;

const HELP_LINES: [[&str; 2]; 5] = [
    ["call", "--help"],
    ["submit", "--help"],
    ["job", "--help"],
    ["cancel", "--help"],
    ["load", "--help"],
];
const CALL_LINE: [&str; 14] = [
    "call",
    "--json",
    "--host",
    "h:1",
    "--key",
    "k",
    "--body",
    "b",
    "--deadline-ms",
    "5",
    "--idempotency-key",
    "i",
    "--not-repeatable",
    "q",
];

/// Guards against a parser that panics on some arguments, and commands without help text.
#[test]
fn parser_is_valid_and_commands_have_help() {
    arguments::parser().check_invariants(true);
    for line in &HELP_LINES {
        let help = arguments::parser().run_inner(Args::from(line)).unwrap_err();
        assert!(help.unwrap_stdout().contains("Exit codes"), "{line:?}");
    }
}

/// Guards against a flag that sets the field of another one.
#[test]
fn flags_set_their_fields() {
    let command = arguments::parser().run_inner(Args::from(&CALL_LINE)).unwrap();
    let arguments::Command::Call {
        target,
        json,
        body,
        deadline_ms,
        idempotency_key,
        not_repeatable,
        queue,
    } = command
    else {
        panic!("{command:?}");
    };
    assert_eq!((target.host.as_str(), target.key.as_deref()), ("h:1", Some("k")));
    assert_eq!((json, not_repeatable, deadline_ms), (true, true, Some(5)));
    assert_eq!((body.as_deref(), idempotency_key.as_deref()), (Some("b"), Some("i")));
    assert_eq!(queue, "q");
}
