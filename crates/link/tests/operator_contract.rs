//! Contract tests of the RPC interface for operators.

mod support;

use std::sync;
use std::time;

use pier_core::caller;
use pier_link::{Error, operator, options, server};
use pier_state::effect::OperatorAnswer;
use pier_state::event::OperatorRequest;
use pier_state::report;
use tokio::sync::oneshot;

/// Answers requests with fixed data. For requests about the task `lost` the channel is closed
/// without an answer, for those about the task `slow` it stays open without one.
struct FixedHandler {
    open_senders: sync::Mutex<Vec<oneshot::Sender<OperatorAnswer>>>,
}

impl operator::Handler for FixedHandler {
    fn is_operator(&self, token: &str) -> bool {
        token == "right"
    }

    fn handle(&self, request: OperatorRequest) -> oneshot::Receiver<OperatorAnswer> {
        let (sender, receiver) = oneshot::channel();
        let answer = match request {
            OperatorRequest::Show => OperatorAnswer::Declaration { version: 3, text: "{}".into() },
            OperatorRequest::Apply { base_version: 3, wall_ms, .. } => {
                assert_eq!(wall_ms, 1_700_000_000_000);
                OperatorAnswer::Applied { version: 4, changes: vec!["+ team".to_owned()] }
            }
            OperatorRequest::Apply { .. } => {
                let conflict = report::Conflict { version: 3, theirs: vec![], ours: vec![] };
                OperatorAnswer::Conflict(Box::new(conflict))
            }
            OperatorRequest::Restart { author, wall_ms, text } => {
                assert_eq!(wall_ms, 1_700_000_000_000);
                OperatorAnswer::Applied { version: 9, changes: vec![format!("{author}: {text}")] }
            }
            OperatorRequest::Audit => OperatorAnswer::Audit(Vec::new()),
            OperatorRequest::Explain { task } if &*task == "lost" => return receiver,
            OperatorRequest::Explain { task } if &*task == "slow" => {
                self.open_senders.lock().unwrap().push(sender);
                return receiver;
            }
            // An answer of an unexpected kind. The next arm answers with a refusal.
            OperatorRequest::Explain { .. } => OperatorAnswer::Audit(Vec::new()),
            OperatorRequest::Status => {
                let kind = caller::RefusalKind::ShuttingDown;
                OperatorAnswer::Refused(caller::Refusal::not_run(kind, "bye"))
            }
        };
        sender.send(answer).unwrap();
        receiver
    }
}

async fn serve() -> server::RpcServer {
    let handler = sync::Arc::new(FixedHandler { open_senders: sync::Mutex::default() });
    let clock = sync::Arc::new(support::ManualClock::default());
    let timeout = time::Duration::from_millis(300);
    let methods = operator::module(handler, clock, timeout).unwrap();
    let options = options::PeerOptions::default();
    server::RpcServer::start("127.0.0.1:0".parse().unwrap(), &options, methods).await.unwrap()
}

fn client(server: &server::RpcServer, token: &str) -> operator::OperatorClient {
    let address = server.local_address().to_string();
    operator::OperatorClient::new(&address, token, time::Duration::from_secs(5)).unwrap()
}

fn outcome(error: &Error) -> Option<(caller::RefusalKind, caller::Outcome)> {
    let Error::Refused { refusal } = error else { return None };
    Some((refusal.kind, refusal.outcome))
}

/// Guards against incomplete responses and against conflicts that are reported as success.
#[tokio::test(flavor = "multi_thread")]
async fn responses_are_complete() {
    let server = serve().await;
    let client = client(&server, "right");
    let expected =
        operator::ApplyResponse::Applied { version: 9, changes: vec!["me: {}".to_owned()] };
    assert_eq!(client.restart("me", "{}").await.unwrap(), expected);
    let shown = client.show().await.unwrap();
    assert_eq!((shown.version, &*shown.text), (3, "{}"));
    let applied = client.apply(3, "ann", "{}").await.unwrap();
    let changes = vec!["+ team".to_owned()];
    assert_eq!(applied, operator::ApplyResponse::Applied { version: 4, changes });
    let conflict = client.apply(2, "ann", "{}").await.unwrap();
    assert!(matches!(conflict, operator::ApplyResponse::Conflict { .. }));
    assert!(client.audit().await.unwrap().is_empty());
}

/// Guards against an operator method that accepts an invalid token.
#[tokio::test(flavor = "multi_thread")]
async fn every_method_refuses_an_invalid_token() {
    let server = serve().await;
    let client = client(&server, "wrong");
    let errors = [
        client.restart("ann", "{}").await.unwrap_err(),
        client.show().await.unwrap_err(),
        client.apply(3, "ann", "{}").await.unwrap_err(),
        client.status().await.unwrap_err(),
        client.audit().await.unwrap_err(),
        client.explain("t").await.unwrap_err(),
    ];
    let expected = (caller::RefusalKind::BadOperator, caller::Outcome::NotRun);
    for error in errors {
        assert_eq!(outcome(&error), Some(expected), "{error}");
    }
}

/// Guards against an unknown outcome that is reported as certain.
#[tokio::test(flavor = "multi_thread")]
async fn a_missing_answer_is_an_unknown_outcome() {
    let server = serve().await;
    let client = client(&server, "right");
    for task in ["lost", "slow"] {
        let error = client.explain(task).await.unwrap_err();
        let outcome = outcome(&error).map(|(_, outcome)| outcome);
        assert_eq!(outcome, Some(caller::Outcome::Unknown), "{task}");
    }
    let other = client.explain("other").await.unwrap_err();
    assert!(matches!(other, Error::InvalidResponse { .. }), "{other}");
    let refused = client.status().await.unwrap_err();
    let expected = (caller::RefusalKind::ShuttingDown, caller::Outcome::NotRun);
    assert_eq!(outcome(&refused), Some(expected));
}
