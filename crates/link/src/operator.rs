//! The RPC interface for operators: the methods of the server and a client for tools.
//!
//! Every method takes named parameters. The parameter `token`, the operator's secret, is always
//! required.

use std::sync;
use std::time;

use jsonrpsee::core::client::{ClientT, Error as ClientError};
use jsonrpsee::core::params;
use jsonrpsee::http_client;
use jsonrpsee::types;
use jsonrpsee::types::error::ErrorObjectOwned;
use pier_core::{caller, clock, ids};
use pier_state::effect::OperatorAnswer;
use pier_state::event::OperatorRequest;
use pier_state::{record, report};
use serde::de;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::{Error, Result};

/// The JSON-RPC error code of a refusal. The error's `data` is a [`caller::Refusal`].
pub const REFUSED_CODE: i32 = -32_010;

/// Handles operators' requests. Implemented by the process that owns the control state.
pub trait Handler: Send + Sync + 'static {
    /// Whether `token` is the secret of an operator. The comparison must take constant time.
    fn is_operator(&self, token: &str) -> bool;

    /// Submits a request and returns the channel on which its only answer will arrive. If the
    /// channel is closed without an answer, the outcome is reported to the operator as unknown.
    fn handle(&self, request: OperatorRequest) -> oneshot::Receiver<OperatorAnswer>;
}

/// The response to `operator_show`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShowResponse {
    /// The version of the host's current declaration.
    pub version: ids::Version,
    /// The declaration as the operator wrote it.
    pub text: sync::Arc<str>,
}

/// The response to `operator_apply` and `operator_restart`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ApplyResponse {
    /// The declaration was accepted.
    Applied {
        /// The new version.
        version: ids::Version,
        /// The changes, one line each.
        changes: Vec<String>,
    },
    /// Another operator has changed the declaration since its base version.
    Conflict {
        /// The conflicting changes.
        conflict: Box<report::Conflict>,
    },
}

/// The parameters of methods that need only the operator's token.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TokenParams {
    token: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ApplyParams {
    token: String,
    base_version: ids::Version,
    author: sync::Arc<str>,
    text: sync::Arc<str>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RestartParams {
    token: String,
    author: sync::Arc<str>,
    text: sync::Arc<str>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExplainParams {
    token: String,
    task: ids::TaskId,
}

struct Context {
    handler: sync::Arc<dyn Handler>,
    clock: sync::Arc<dyn clock::Clock>,
    timeout: time::Duration,
}

impl Context {
    async fn request(&self, token: &str, request: OperatorRequest) -> RpcResult<OperatorAnswer> {
        if !self.handler.is_operator(token) {
            let refusal = caller::Refusal::not_run(
                caller::RefusalKind::BadOperator,
                "the operator token is invalid",
            );
            return Err(refusal_error(&refusal));
        }
        let answer = self.handler.handle(request);
        let Ok(Ok(answer)) = tokio::time::timeout(self.timeout, answer).await else {
            let refusal = caller::Refusal::unknown(
                caller::RefusalKind::NotStored,
                "the host did not answer in time",
            );
            return Err(refusal_error(&refusal));
        };
        Ok(answer)
    }
}

fn to_apply_response(answer: OperatorAnswer) -> RpcResult<ApplyResponse> {
    match answer {
        OperatorAnswer::Applied { version, changes } => {
            Ok(ApplyResponse::Applied { version, changes })
        }
        OperatorAnswer::Conflict(conflict) => Ok(ApplyResponse::Conflict { conflict }),
        other => Err(error_for_answer(&other)),
    }
}

type RpcResult<T> = std::result::Result<T, ErrorObjectOwned>;

/// Builds the RPC module with the methods `operator_show`, `operator_apply`, `operator_restart`,
/// `operator_status`, `operator_audit` and `operator_explain`, which pass requests to `handler`.
/// The outcome of a request that is not answered within `timeout` is reported as unknown.
///
/// # Errors
/// [`Error::DuplicateMethod`], which would be a bug in this module.
pub fn module(
    handler: sync::Arc<dyn Handler>,
    clock: sync::Arc<dyn clock::Clock>,
    timeout: time::Duration,
) -> Result<jsonrpsee::RpcModule<()>> {
    let context = sync::Arc::new(Context { handler, clock, timeout });
    let mut methods = jsonrpsee::RpcModule::new(());

    let shared = sync::Arc::clone(&context);
    let show = move |params: types::Params<'static>, _, _| {
        let shared = sync::Arc::clone(&shared);
        async move {
            let params: TokenParams = params.parse()?;
            match shared.request(&params.token, OperatorRequest::Show).await? {
                OperatorAnswer::Declaration { version, text } => Ok(ShowResponse { version, text }),
                other => Err(error_for_answer(&other)),
            }
        }
    };
    methods
        .register_async_method("operator_show", show)
        .map_err(|_| duplicate_method("operator_show"))?;

    let shared = sync::Arc::clone(&context);
    let apply = move |params: types::Params<'static>, _, _| {
        let shared = sync::Arc::clone(&shared);
        async move {
            let params: ApplyParams = params.parse()?;
            let request = OperatorRequest::Apply {
                base_version: params.base_version,
                author: params.author,
                wall_ms: shared.clock.wall_ms(),
                text: params.text,
            };
            to_apply_response(shared.request(&params.token, request).await?)
        }
    };
    methods
        .register_async_method("operator_apply", apply)
        .map_err(|_| duplicate_method("operator_apply"))?;

    let shared = sync::Arc::clone(&context);
    let restart = move |params: types::Params<'static>, _, _| {
        let shared = sync::Arc::clone(&shared);
        async move {
            let params: RestartParams = params.parse()?;
            let request = OperatorRequest::Restart {
                author: params.author,
                wall_ms: shared.clock.wall_ms(),
                text: params.text,
            };
            to_apply_response(shared.request(&params.token, request).await?)
        }
    };
    methods
        .register_async_method("operator_restart", restart)
        .map_err(|_| duplicate_method("operator_restart"))?;

    let shared = sync::Arc::clone(&context);
    let status = move |params: types::Params<'static>, _, _| {
        let shared = sync::Arc::clone(&shared);
        async move {
            let params: TokenParams = params.parse()?;
            match shared.request(&params.token, OperatorRequest::Status).await? {
                OperatorAnswer::Status(status) => Ok(*status),
                other => Err(error_for_answer(&other)),
            }
        }
    };
    methods
        .register_async_method("operator_status", status)
        .map_err(|_| duplicate_method("operator_status"))?;

    let shared = sync::Arc::clone(&context);
    let audit = move |params: types::Params<'static>, _, _| {
        let shared = sync::Arc::clone(&shared);
        async move {
            let params: TokenParams = params.parse()?;
            match shared.request(&params.token, OperatorRequest::Audit).await? {
                OperatorAnswer::Audit(records) => Ok(records),
                other => Err(error_for_answer(&other)),
            }
        }
    };
    methods
        .register_async_method("operator_audit", audit)
        .map_err(|_| duplicate_method("operator_audit"))?;

    let explain = move |params: types::Params<'static>, _, _| {
        let shared = sync::Arc::clone(&context);
        async move {
            let params: ExplainParams = params.parse()?;
            let request = OperatorRequest::Explain { task: params.task };
            match shared.request(&params.token, request).await? {
                OperatorAnswer::Explanation(explanation) => Ok(*explanation),
                other => Err(error_for_answer(&other)),
            }
        }
    };
    methods
        .register_async_method("operator_explain", explain)
        .map_err(|_| duplicate_method("operator_explain"))?;
    Ok(methods)
}

fn duplicate_method(name: &'static str) -> Error {
    Error::DuplicateMethod { name }
}

fn refusal_error(refusal: &caller::Refusal) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(REFUSED_CODE, refusal.detail.clone(), Some(refusal))
}

fn error_for_answer(answer: &OperatorAnswer) -> ErrorObjectOwned {
    if let OperatorAnswer::Refused(refusal) = answer {
        return refusal_error(refusal);
    }
    let code = types::error::ErrorCode::InternalError;
    ErrorObjectOwned::owned(
        code.code(),
        "the host returned an answer of an unexpected kind",
        None::<()>,
    )
}

/// A client for operators' tools. It must be used within a tokio runtime.
#[derive(Debug)]
pub struct OperatorClient {
    address: String,
    token: String,
    client: http_client::HttpClient,
}

impl OperatorClient {
    /// Creates a client of the host at `address` (`ip:port`). It does not connect yet.
    ///
    /// # Errors
    /// [`Error::NoConnection`] if the address is invalid.
    pub fn new(address: &str, token: &str, timeout: time::Duration) -> Result<Self> {
        let client = http_client::HttpClientBuilder::default()
            .request_timeout(timeout)
            .build(format!("http://{address}"))
            .map_err(|error| Error::NoConnection {
                address: address.to_owned(),
                detail: error.to_string(),
            })?;
        Ok(Self { address: address.to_owned(), token: token.to_owned(), client })
    }

    /// Reads the declaration and its version.
    ///
    /// # Errors
    /// [`Error::Refused`] or a failed call.
    pub async fn show(&self) -> Result<ShowResponse> {
        self.call("operator_show", params::ObjectParams::new()).await
    }

    /// Applies a declaration that was edited from `base_version`.
    ///
    /// # Errors
    /// [`Error::Refused`] with the outcome, or a failed call, after which the outcome is unknown
    /// unless [`Error::was_not_executed`].
    pub async fn apply(
        &self,
        base_version: ids::Version,
        author: &str,
        text: &str,
    ) -> Result<ApplyResponse> {
        let mut parameters = params::ObjectParams::new();
        self.insert(&mut parameters, "base_version", base_version)?;
        self.insert(&mut parameters, "author", author)?;
        self.insert(&mut parameters, "text", text)?;
        self.call("operator_apply", parameters).await
    }

    /// Restarts the cell from a declaration after its history was lost.
    ///
    /// # Errors
    /// As for [`Self::apply`]; [`Error::Refused`] if the history is not lost.
    pub async fn restart(&self, author: &str, text: &str) -> Result<ApplyResponse> {
        let mut parameters = params::ObjectParams::new();
        self.insert(&mut parameters, "author", author)?;
        self.insert(&mut parameters, "text", text)?;
        self.call("operator_restart", parameters).await
    }

    /// Reads the state of the host and its view of the cell.
    ///
    /// # Errors
    /// [`Error::Refused`] or a failed call.
    pub async fn status(&self) -> Result<report::Status> {
        self.call("operator_status", params::ObjectParams::new()).await
    }

    /// Reads the audit trail, oldest record first.
    ///
    /// # Errors
    /// [`Error::Refused`] or a failed call.
    pub async fn audit(&self) -> Result<Vec<record::AuditRecord>> {
        self.call("operator_audit", params::ObjectParams::new()).await
    }

    /// Reads what the host knows about a task or job.
    ///
    /// # Errors
    /// [`Error::Refused`] or a failed call.
    pub async fn explain(&self, task: &str) -> Result<report::Explanation> {
        let mut parameters = params::ObjectParams::new();
        self.insert(&mut parameters, "task", task)?;
        self.call("operator_explain", parameters).await
    }

    fn insert(
        &self,
        parameters: &mut params::ObjectParams,
        name: &str,
        value: impl Serialize,
    ) -> Result<()> {
        parameters.insert(name, value).map_err(|error| self.invalid_response(error.to_string()))
    }

    async fn call<T: de::DeserializeOwned>(
        &self,
        method: &str,
        mut parameters: params::ObjectParams,
    ) -> Result<T> {
        self.insert(&mut parameters, "token", &self.token)?;
        self.client.request(method, parameters).await.map_err(|error| self.to_error(error))
    }

    fn to_error(&self, error: ClientError) -> Error {
        match error {
            ClientError::Call(object) => {
                let data = object.data().map(|data| data.get());
                let refusal = data.and_then(|data| serde_json::from_str(data).ok());
                match refusal {
                    Some(refusal) => Error::Refused { refusal: Box::new(refusal) },
                    None => self.invalid_response(object.to_string()),
                }
            }
            ClientError::ParseError(error) => self.invalid_response(error.to_string()),
            error => {
                Error::Interrupted { address: self.address.clone(), detail: error.to_string() }
            }
        }
    }

    fn invalid_response(&self, detail: String) -> Error {
        Error::InvalidResponse { address: self.address.clone(), detail }
    }
}
