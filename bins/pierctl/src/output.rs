//! What the tool prints.

use persimmonpier::core::caller::Refusal;
use persimmonpier::core::ids;
use persimmonpier::link::operator;
use persimmonpier::state::{record, report};
use persimmonpier::{decl, link};
use serde::Serialize;
use serde_json::json;

use crate::errors::{Error, ExitKind};
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
        /// The changes, a line each.
        changes: Vec<String>,
    },
    /// The answer to an apply.
    Applied(operator::ApplyResponse),
    /// The declaration in force.
    Shown(operator::ShowResponse),
    /// The state of the host.
    Status(Box<report::Status>),
    /// The audit trail, oldest first.
    Audit(Vec<record::AuditRecord>),
    /// What is known of a task.
    Explanation(report::Explanation),
}

impl Output {
    /// What the exit code says.
    pub fn exit_kind(&self) -> ExitKind {
        match self {
            Self::Applied(operator::ApplyResponse::Conflict { .. }) => ExitKind::Conflict,
            Self::Diff { changes, .. } if !changes.is_empty() => ExitKind::Differs,
            _ => ExitKind::Done,
        }
    }

    /// The result for people.
    pub fn to_text(&self) -> String {
        match self {
            Self::Checked { teams, queues, services, jobs } => format!(
                "no errors; {teams} teams, {queues} queues, {services} services, {jobs} jobs\n"
            ),
            Self::Diff { version, changes } if changes.is_empty() => {
                format!("no difference to version {version}\n")
            }
            Self::Diff { version, changes } => {
                format!("against version {version}:\n{}", tables::lines(changes))
            }
            Self::Applied(operator::ApplyResponse::Applied { version, changes }) => {
                format!("version {version} is in force\n{}", tables::lines(changes))
            }
            Self::Applied(operator::ApplyResponse::Conflict { conflict }) => {
                tables::conflict(conflict)
            }
            Self::Shown(shown) => format!("// version {}\n{}\n", shown.version, shown.text.trim()),
            Self::Status(status) => tables::status(status),
            Self::Audit(records) => tables::audit(records),
            Self::Explanation(explanation) => tables::explanation(explanation),
        }
    }

    /// The result as JSON.
    pub fn to_json(&self) -> String {
        match self {
            Self::Checked { teams, queues, services, jobs } => pretty(&json!({
                "errors": [], "teams": teams, "queues": queues, "services": services, "jobs": jobs
            })),
            Self::Diff { version, changes } => {
                pretty(&json!({ "version": version, "changes": changes }))
            }
            Self::Applied(applied) => pretty(applied),
            Self::Shown(shown) => pretty(shown),
            Self::Status(status) => pretty(status),
            Self::Audit(records) => pretty(records),
            Self::Explanation(explanation) => pretty(explanation),
        }
    }
}

/// An error of the declaration, as JSON shows it.
#[derive(Debug, Serialize)]
struct Mistake {
    line: Option<usize>,
    column: Option<usize>,
    message: String,
}

/// An error for people: every mistake of a declaration with line and column, or one line.
pub fn error_to_text(error: &Error) -> String {
    let Error::BadDeclaration { file, errors } = error else {
        return format!("{error}\n");
    };
    let mut text = String::new();
    for mistake in errors {
        text.push_str(&format!("{}: {mistake}\n", file.display()));
    }
    text
}

/// An error as JSON.
pub fn error_to_json(error: &Error) -> String {
    match error {
        Error::BadDeclaration { errors, .. } => {
            let mut mistakes = Vec::with_capacity(errors.len());
            for mistake in errors {
                mistakes.push(to_mistake(mistake));
            }
            pretty(&json!({ "errors": mistakes }))
        }
        Error::Call { source: link::Error::Refused { refusal }, .. } => pretty::<Refusal>(refusal),
        error => pretty(&json!({ "error": "failed", "detail": error.to_string() })),
    }
}

fn to_mistake(error: &decl::Error) -> Mistake {
    let position = match error {
        decl::Error::TooLarge { .. } => None,
        decl::Error::Syntax { position, .. } | decl::Error::Invalid { position, .. } => *position,
    };
    let whole = error.to_string();
    let prefix = position.map(|position| format!("{position}: ")).unwrap_or_default();
    let message = whole.strip_prefix(&prefix).unwrap_or(&whole).to_owned();
    Mistake {
        line: position.map(|position| position.line),
        column: position.map(|position| position.column),
        message,
    }
}

fn pretty<T: Serialize + ?Sized>(value: &T) -> String {
    let mut text = serde_json::to_string_pretty(value).expect("all keys are texts");
    text.push('\n');
    text
}
