//! Runs the tool as a process against files and an operator interface with fixed answers.

use std::fs;
use std::path;
use std::process;
use std::sync;
use std::time;

use persimmonpier::core::caller::{Refusal, RefusalKind};
use persimmonpier::core::{Resources, clock};
use persimmonpier::link::{operator, options, server};
use persimmonpier::state::effect::OperatorAnswer;
use persimmonpier::state::event::OperatorRequest;
use persimmonpier::state::{cluster, record, report};
use tokio::sync::oneshot;

const TOKEN: &str = "token-of-an-operator";
const DECLARATION: &str = r#"{ cell: "brno", teams: [{ name: "retail", share: 2 }] }"#;
/// The version in force on the host. An apply is accepted if it is based on this version.
const VERSION: u64 = 4;

/// Answers operators as a host would. An apply that is not based on the version in force gets a
/// conflict, and an apply by `nobody` gets no answer.
struct FixedHandler {
    /// The address of the host that owns `job-3`. None if this host owns it.
    owner: Option<sync::Arc<str>>,
}

impl operator::Handler for FixedHandler {
    fn is_operator(&self, token: &str) -> bool {
        token == TOKEN
    }

    fn handle(&self, request: OperatorRequest) -> oneshot::Receiver<OperatorAnswer> {
        let (sender, receiver) = oneshot::channel();
        if let Some(answer) = answer(request, &self.owner) {
            let _ = sender.send(answer);
        }
        receiver
    }
}

fn audit_record() -> record::AuditRecord {
    record::AuditRecord {
        version: VERSION,
        base_version: 3,
        author: "shift-2".into(),
        wall_ms: 1_769_847_300_000,
        changes: vec!["teams.retail.share: 1 -> 2".to_owned()],
    }
}

fn answer(request: OperatorRequest, owner: &Option<sync::Arc<str>>) -> Option<OperatorAnswer> {
    Some(match request {
        OperatorRequest::Show => {
            OperatorAnswer::Declaration { version: VERSION, text: DECLARATION.into() }
        }
        OperatorRequest::Apply { author, .. } if &*author == "nobody" => return None,
        OperatorRequest::Apply { base_version: VERSION, .. } => {
            OperatorAnswer::Applied { version: 5, changes: vec!["a change".to_owned()] }
        }
        OperatorRequest::Apply { .. } => OperatorAnswer::Conflict(Box::new(report::Conflict {
            version: VERSION,
            theirs: vec![audit_record()],
            ours: vec!["teams.retail.share: 2 -> 3".to_owned()],
        })),
        OperatorRequest::Restart { author, .. } if &*author == "shift-3" => {
            OperatorAnswer::Refused(Refusal::not_run(RefusalKind::Conflict, "not lost"))
        }
        OperatorRequest::Restart { .. } => {
            OperatorAnswer::Applied { version: 91, changes: vec!["begins anew".to_owned()] }
        }
        OperatorRequest::Status => OperatorAnswer::Status(Box::new(report::Status {
            host: "host-1".into(),
            epoch: 7,
            is_member: true,
            version: VERSION,
            fold_offset: 40,
            authority: cluster::Authority::Fresh,
            authority_left_ms: 2_000,
            log_unreachable: false,
            leaving: false,
            members: Vec::new(),
            workers: Vec::new(),
            teams: Vec::new(),
            queues: Vec::new(),
            requests: 3,
            waiting: 2,
            jobs: 1,
        })),
        OperatorRequest::Audit => OperatorAnswer::Audit(vec![audit_record()]),
        OperatorRequest::Explain { task } if &*task == "job-1/0" => {
            OperatorAnswer::Explanation(Box::new(report::Explanation {
                task,
                state: "waits for room".into(),
                worker: None,
                waits_for: Some(RefusalKind::NoRoom),
                limit: None,
                tried: vec!["host-2 refused: no_room".to_owned()],
                ask_address: None,
            }))
        }
        OperatorRequest::Explain { task } if &*task == "job-3/0" => {
            let state = if owner.is_none() { "waits at its owner" } else { "owned by host-2" };
            OperatorAnswer::Explanation(Box::new(report::Explanation {
                task,
                state: state.into(),
                ask_address: owner.clone(),
                ..report::Explanation::default()
            }))
        }
        OperatorRequest::Explain { task } if &*task == "job-2/0" => {
            let slots = |slots| Resources { slots, ..Resources::ZERO };
            OperatorAnswer::Explanation(Box::new(report::Explanation {
                task,
                state: "waits at this host for 10 ms".into(),
                worker: None,
                waits_for: None,
                limit: Some(Box::new(report::LimitCause {
                    team: "red".into(),
                    limit: slots(4),
                    used: slots(4),
                    held_here: slots(3),
                    needed: slots(1),
                })),
                tried: Vec::new(),
                ask_address: None,
            }))
        }
        OperatorRequest::Explain { .. } => {
            OperatorAnswer::Refused(Refusal::not_run(RefusalKind::UnknownJob, "no such task"))
        }
    })
}

/// An operator interface with fixed answers, and a directory with input files.
struct TestHost {
    _runtime: tokio::runtime::Runtime,
    _server: server::RpcServer,
    address: String,
    directory: tempfile::TempDir,
}

impl TestHost {
    fn start() -> Self {
        Self::start_with_owner(None)
    }

    fn start_with_owner(owner: Option<&str>) -> Self {
        let owner = owner.map(sync::Arc::from);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let clock = sync::Arc::new(clock::SystemClock::start());
        let timeout = time::Duration::from_millis(300);
        let methods = operator::module(sync::Arc::new(FixedHandler { owner }), clock, timeout)
            .expect("the methods");
        let options = options::PeerOptions::default();
        let address = "127.0.0.1:0".parse().expect("an address");
        let server = runtime
            .block_on(server::RpcServer::start(address, &options, methods))
            .expect("a free port");
        let address = server.local_address().to_string();
        let directory = tempfile::tempdir().expect("a directory");
        let host = Self { _runtime: runtime, _server: server, address, directory };
        host.write("token", TOKEN);
        host.write("good.json5", DECLARATION);
        host
    }

    fn write(&self, name: &str, text: &str) -> path::PathBuf {
        let file = self.directory.path().join(name);
        fs::write(&file, text).expect("the file is written");
        file
    }

    /// Runs a command and returns its exit code, stdout and stderr. `@` stands for the directory of
    /// the files and `HOST` for the address of the host.
    fn run(&self, arguments: &str) -> (i32, String, String) {
        let directory = self.directory.path().display().to_string();
        let mut command = process::Command::new(env!("CARGO_BIN_EXE_pierctl"));
        for argument in arguments.split(' ') {
            command.arg(argument.replace('@', &directory).replace("HOST", &self.address));
        }
        let output = command.output().expect("the tool runs");
        let text = |bytes| String::from_utf8(bytes).expect("text");
        let code = output.status.code().expect("a code");
        (code, text(output.stdout), text(output.stderr))
    }
}

/// Guards against an exit code that does not match the outcome, and against output that lacks
/// required content.
#[test]
fn each_command_has_its_output_and_exit_code() {
    let host = TestHost::start();
    host.write("wrong.json5", "{\n  teams: [{ name: \"a b\", share: 1 }],\n}");
    host.write("other.json5", &DECLARATION.replace("share: 2", "share: 3"));
    host.write("empty", "\n");
    host.write("bad-token", "another-token");
    let host_options = "--host HOST --token-file @/token";
    let cases: &[(&str, i32, &str)] = &[
        ("check @/good.json5", 0, "1 teams, 0 queues"),
        ("check --json @/good.json5", 0, "\"errors\": []"),
        ("check @/wrong.json5", 1, "line 2, column"),
        ("check --json @/wrong.json5", 1, "\"line\": 2"),
        ("check @/missing.json5", 2, "cannot be read"),
        ("check", 2, "FILE"),
        ("diff {} @/good.json5", 0, "no difference to version 4"),
        ("diff {} @/other.json5", 7, "share: 2 -> 3"),
        ("diff --json {} @/other.json5", 7, "\"version\": 4"),
        ("apply {} --author shift-1 @/other.json5", 0, "version 5 is in force"),
        ("apply {} --author shift-1 --base-version 4 @/other.json5", 0, "version 5 is in force"),
        (
            "apply {} --author shift-1 --base-version 3 @/other.json5",
            3,
            "by shift-2 at 2026-01-31T08:15:00Z",
        ),
        (
            "apply {} --author shift-1 --base-version 3 @/other.json5",
            3,
            "teams.retail.share: 2 -> 3",
        ),
        (
            "apply --json {} --author shift-1 --base-version 3 @/other.json5",
            3,
            "\"result\": \"conflict\"",
        ),
        ("apply {} --author shift-1 --after-lost-history @/other.json5", 0, "  begins anew"),
        ("apply {} --author shift-3 --after-lost-history @/other.json5", 4, "not lost"),
        ("apply {} --author shift-1 @/wrong.json5", 1, "line 2, column"),
        ("apply {} @/other.json5", 2, "--author"),
        ("apply {} --author nobody @/other.json5", 6, "did not answer"),
        ("show {}", 0, "// version 4\n{ cell: \"brno\""),
        ("show --json {}", 0, "\"version\": 4"),
        ("status {}", 0, "requests 3, waiting tasks 2, jobs 1"),
        ("status --json {}", 0, "\"authority\": \"fresh\""),
        ("audit {}", 0, "version 4 from 3 by shift-2"),
        ("audit --json {}", 0, "\"author\": \"shift-2\""),
        ("explain {} job-1/0", 0, "waits for: no_room"),
        ("explain --json {} job-1/0", 0, "\"waits_for\": \"no_room\""),
        (
            "explain {} job-2/0",
            0,
            "waits for: the limit of team red (0/0/0/4/0); in use 0/0/0/4/0, \
             held by this host 0/0/0/3/0, needed 0/0/0/1/0",
        ),
        ("explain {} job-9/0", 4, "no such task"),
        ("explain --json {} job-9/0", 4, "\"outcome\": \"not_run\""),
        ("show --host HOST --token-file @/bad-token", 4, "bad_operator"),
        ("show --host HOST --token-file @/empty", 2, "token is needed"),
        ("show --host HOST --token-file @/nothing", 2, "cannot be read"),
        ("show --host localhost --token-file @/token", 2, "invalid socket address"),
        ("show {} --timeout-ms 0", 2, "1 to 3600000"),
        ("--help", 0, "Exit codes: 0 done"),
    ];
    for (arguments, code, expected) in cases {
        let (found_code, out, err) = host.run(&arguments.replace("{}", host_options));
        assert_eq!(found_code, *code, "{arguments}\n{out}\n{err}");
        assert!(out.contains(expected) || err.contains(expected), "{arguments}\n{out}\n{err}");
        assert_eq!(out.is_empty(), code != &0 && !err.is_empty(), "{arguments}\n{out}\n{err}");
    }
}

/// Guards against an apply that is reported with an unknown outcome although the host was never
/// reached.
#[test]
fn an_unreachable_host_is_reported_as_no_change() {
    let host = TestHost::start();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let (code, _, err) = host
        .run(&format!("apply --host {address} --token-file @/token --author shift-1 @/good.json5"));
    assert_eq!(code, 5, "{err}");
}

/// Guards against an `explain` that does not ask the owner of the job, and against one that fails
/// when the owner does not answer.
#[test]
fn explain_asks_the_owner_of_a_job() {
    let owner = TestHost::start();
    let first = TestHost::start_with_owner(Some(&owner.address));
    let (code, out, err) = first.run("explain --host HOST --token-file @/token job-3/0");
    assert_eq!((code, out.contains("waits at its owner")), (0, true), "{out}{err}");

    let owner_address = owner.address.clone();
    drop(owner);
    let (code, out, err) = first.run("explain --host HOST --token-file @/token job-3/0");
    assert_eq!(code, 0, "{err}");
    assert!(out.contains("owned by host-2"), "{out}");
    assert!(out.contains(&format!("more is known at: {owner_address}")), "{out}");
}
