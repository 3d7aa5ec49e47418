//! Command-line arguments.

use std::env;
use std::path;
use std::time;

use bpaf::Parser;

use crate::{client, exit};

/// A command with its arguments.
#[derive(Debug, Clone)]
pub enum Command {
    /// Sends a request and prints its answer.
    Call {
        /// The host to call and the key for it.
        target: client::Target,
        /// Whether to print JSON.
        json: bool,
        /// The request body; read from standard input if absent.
        body: Option<String>,
        /// The time to the deadline in milliseconds.
        deadline_ms: Option<u64>,
        /// The idempotency key.
        idempotency_key: Option<String>,
        /// Whether the request must run at most once.
        not_repeatable: bool,
        /// The queue that the request is sent to.
        queue: String,
    },
    /// Submits a job and prints its state.
    Submit {
        /// The host to call and the key for it.
        target: client::Target,
        /// Whether to print JSON.
        json: bool,
        /// The idempotency key.
        idempotency_key: Option<String>,
        /// How long to wait for the job to end, in milliseconds; without it the command returns at
        /// once.
        wait_ms: Option<u64>,
        /// The file with the job request; `-` for standard input.
        file: String,
    },
    /// Prints the state of a job.
    Job {
        /// The host to call and the key for it.
        target: client::Target,
        /// Whether to print JSON.
        json: bool,
        /// How long to wait for the job to end, in milliseconds; without it the command returns at
        /// once.
        wait_ms: Option<u64>,
        /// The id of the job.
        job: String,
    },
    /// Cancels a job and prints its state.
    Cancel {
        /// The host to call and the key for it.
        target: client::Target,
        /// Whether to print JSON.
        json: bool,
        /// The id of the job.
        job: String,
    },
    /// Generates load and prints the measurements.
    Load {
        /// Whether to print JSON.
        json: bool,
        /// The file that an HTML report is written to.
        report: Option<path::PathBuf>,
        /// The file with the load profile.
        profile: path::PathBuf,
    },
    /// Prints the summaries of several loads side by side.
    Compare {
        /// The files with the JSON summaries.
        summaries: Vec<path::PathBuf>,
    },
}

/// Returns the parser of the command line.
pub fn parser() -> bpaf::OptionParser<Command> {
    let commands = bpaf::construct!([call(), submit(), job(), cancel(), load(), compare()]);
    commands
        .to_options()
        .descr("Sends requests, manages jobs and generates load for a persimmonpier cell")
        .footer(exit::HELP)
}

fn call() -> impl Parser<Command> {
    let target = target();
    let json = json();
    let body = bpaf::long("body")
        .help("The request body; read from standard input by default")
        .argument::<String>("TEXT")
        .optional();
    let deadline_ms = bpaf::long("deadline-ms")
        .help("The time to the deadline in milliseconds")
        .argument::<u64>("MS")
        .optional();
    let idempotency_key = idempotency_key();
    let not_repeatable = bpaf::long("not-repeatable").help("Run the request at most once").switch();
    let queue = bpaf::positional::<String>("QUEUE").help("The name of the queue");
    bpaf::construct!(Command::Call {
        target,
        json,
        body,
        deadline_ms,
        idempotency_key,
        not_repeatable,
        queue
    })
    .to_options()
    .descr("Sends a request and prints its answer")
    .footer(exit::HELP)
    .command("call")
}

fn submit() -> impl Parser<Command> {
    let target = target();
    let json = json();
    let idempotency_key = idempotency_key();
    let wait_ms = wait_ms();
    let file = bpaf::positional::<String>("FILE")
        .help("The file with the job, in JSON with comments; `-` for standard input");
    bpaf::construct!(Command::Submit { target, json, idempotency_key, wait_ms, file })
        .to_options()
        .descr("Submits a job and prints its state")
        .footer(exit::HELP)
        .command("submit")
}

fn job() -> impl Parser<Command> {
    let target = target();
    let json = json();
    let wait_ms = wait_ms();
    let job = bpaf::positional::<String>("ID").help("The id of the job");
    bpaf::construct!(Command::Job { target, json, wait_ms, job })
        .to_options()
        .descr("Prints the state of a job")
        .footer(exit::HELP)
        .command("job")
}

fn cancel() -> impl Parser<Command> {
    let target = target();
    let json = json();
    let job = bpaf::positional::<String>("ID").help("The id of the job");
    bpaf::construct!(Command::Cancel { target, json, job })
        .to_options()
        .descr("Cancels a job and prints its state")
        .footer(exit::HELP)
        .command("cancel")
}

fn load() -> impl Parser<Command> {
    let json = json();
    let report = bpaf::long("report")
        .help("Write an HTML report to this file")
        .argument::<path::PathBuf>("FILE")
        .optional();
    let profile = bpaf::positional::<path::PathBuf>("PROFILE")
        .help("The file with the load profile, in JSON with comments");
    bpaf::construct!(Command::Load { json, report, profile })
        .to_options()
        .descr("Generates load and prints the measurements")
        .footer(exit::HELP)
        .command("load")
}

fn compare() -> impl Parser<Command> {
    let summaries = bpaf::positional::<path::PathBuf>("SUMMARY")
        .help("A file with the output of `pier load --json`; its name becomes the column header")
        .some("at least one summary is needed");
    bpaf::construct!(Command::Compare { summaries })
        .to_options()
        .descr("Prints the summaries of several loads side by side")
        .footer(exit::HELP)
        .command("compare")
}

fn target() -> impl Parser<client::Target> {
    let host = bpaf::long("host")
        .env("PIER_HOST")
        .help("The address of the host's caller interface")
        .argument::<String>("IP:PORT")
        .fallback("127.0.0.1:8080".to_owned())
        .display_fallback();
    let key = bpaf::long("key")
        .help("The API key of the team; the environment variable PIER_KEY by default")
        .argument::<String>("KEY")
        .optional()
        // Not read with bpaf's `env`, which would print the key in the help text.
        .map(|key| key.or_else(|| env::var("PIER_KEY").ok()));
    let timeout = bpaf::long("timeout-ms")
        .help("The timeout of a call in milliseconds")
        .argument::<u64>("MS")
        .fallback(60_000)
        .display_fallback()
        .map(time::Duration::from_millis);
    bpaf::construct!(client::Target { host, key, timeout })
}

fn json() -> impl Parser<bool> {
    bpaf::long("json").help("Print the output as JSON").switch()
}

fn idempotency_key() -> impl Parser<Option<String>> {
    bpaf::long("idempotency-key")
        .help("A text that identifies this request, so that a retry does not run it again")
        .argument::<String>("TEXT")
        .optional()
}

fn wait_ms() -> impl Parser<Option<u64>> {
    bpaf::long("wait-ms")
        .help("Wait up to this many milliseconds for the job to end")
        .argument::<u64>("MS")
        .optional()
}
