//! Output of the tool as text and as JSON.

use persimmonpier::core::caller::Refusal;
use persimmonpier::core::ids;
use persimmonpier::link::operator;
use persimmonpier::state::{record, report};
use persimmonpier::{decl, link};
use serde::Serialize;
use serde_json::json;

use crate::errors::{Error, ExitStatus};
use crate::tables;

/// The result of a command.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// The declaration has no errors.
    Checked {
        /// The number of teams.
        teams: usize,
        /// The number of queues.
        queues: usize,
        /// The number of services.
        services: usize,
        /// The number of declared jobs.
        jobs: usize,
    },
    /// What a declaration would change.
    Diff {
        /// The version in force.
        version: ids::Version,
        /// The changes, one line each.
        changes: Vec<String>,
    },
    /// The result of applying a declaration.
    Applied(operator::ApplyResponse),
    /// The declaration in force.
    Declaration(operator::ShowResponse),
    /// The state of the host.
    Status(Box<report::Status>),
    /// The audit trail, oldest first.
    Audit(Vec<record::AuditRecord>),
    /// Why a task or job waits, or where it runs.
    Explanation(report::Explanation),
}

impl Output {
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Applied(operator::ApplyResponse::Conflict { .. }) => ExitStatus::Conflict,
            Self::Diff { changes, .. } if !changes.is_empty() => ExitStatus::Differs,
            _ => ExitStatus::Done,
        }
    }

    /// The output as text for people.
    pub fn to_text(&self) -> String {
        match self {
            Self::Checked { teams, queues, services, jobs } => format!(
                "no errors; {teams} teams, {queues} queues, {services} services, {jobs} jobs\n"
            ),
            Self::Diff { version, changes } if changes.is_empty() => {
                format!("no difference to version {version}\n")
            }
            Self::Diff { version, changes } => {
                format!("against version {version}:\n{}", tables::indent_lines(changes))
            }
            Self::Applied(operator::ApplyResponse::Applied { version, changes }) => {
                format!("version {version} is in force\n{}", tables::indent_lines(changes))
            }
            Self::Applied(operator::ApplyResponse::Conflict { conflict }) => {
                tables::conflict(conflict)
            }
            Self::Declaration(shown) => {
                format!("// version {}\n{}\n", shown.version, shown.text.trim())
            }
            Self::Status(status) => tables::status(status),
            Self::Audit(records) => tables::audit(records),
            Self::Explanation(explanation) => tables::explanation(explanation),
        }
    }

    /// The output as JSON.
    pub fn to_json(&self) -> String {
        match self {
            Self::Checked { teams, queues, services, jobs } => to_pretty_json(&json!({
                "errors": [], "teams": teams, "queues": queues, "services": services, "jobs": jobs
            })),
            Self::Diff { version, changes } => {
                to_pretty_json(&json!({ "version": version, "changes": changes }))
            }
            Self::Applied(applied) => to_pretty_json(applied),
            Self::Declaration(shown) => to_pretty_json(shown),
            Self::Status(status) => to_pretty_json(status),
            Self::Audit(records) => to_pretty_json(records),
            Self::Explanation(explanation) => to_pretty_json(explanation),
        }
    }
}

/// An error of a declaration in JSON output.
#[derive(Debug, Serialize)]
struct DeclarationError {
    line: Option<usize>,
    column: Option<usize>,
    message: String,
}

/// An error as text for people. Each error of a declaration has a line of its own, with its
/// position.
pub fn error_to_text(error: &Error) -> String {
    let Error::BadDeclaration { file, errors } = error else {
        return format!("{error}\n");
    };
    let mut text = String::new();
    for error in errors {
        text.push_str(&format!("{}: {error}\n", file.display()));
    }
    text
}

/// An error as JSON.
pub fn error_to_json(error: &Error) -> String {
    match error {
        Error::BadDeclaration { errors, .. } => {
            let mut entries = Vec::with_capacity(errors.len());
            for error in errors {
                entries.push(to_declaration_error(error));
            }
            to_pretty_json(&json!({ "errors": entries }))
        }
        Error::Call { source: link::Error::Refused { refusal }, .. } => {
            to_pretty_json::<Refusal>(refusal)
        }
        error => to_pretty_json(&json!({ "error": "failed", "detail": error.to_string() })),
    }
}

fn to_declaration_error(error: &decl::Error) -> DeclarationError {
    let position = match error {
        decl::Error::TooLarge { .. } => None,
        decl::Error::Syntax { position, .. } | decl::Error::Invalid { position, .. } => *position,
    };
    let full_message = error.to_string();
    let prefix = position.map(|position| format!("{position}: ")).unwrap_or_default();
    let message = full_message.strip_prefix(&prefix).unwrap_or(&full_message).to_owned();
    DeclarationError {
        line: position.map(|position| position.line),
        column: position.map(|position| position.column),
        message,
    }
}

fn to_pretty_json<T: Serialize + ?Sized>(value: &T) -> String {
    let mut text = serde_json::to_string_pretty(value).expect("all keys are strings");
    text.push('\n');
    text
}
