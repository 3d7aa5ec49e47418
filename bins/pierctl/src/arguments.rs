//! Command line arguments.

use std::path;

use bpaf::Bpaf;
use persimmonpier::core::ids;

/// How long to wait for the answer of a host unless `--timeout-ms` is given.
const DEFAULT_TIMEOUT_MS: u64 = 20_000;
const MAX_TIMEOUT_MS: u64 = 3_600_000;
const MAX_AUTHOR_BYTES: usize = 128;

#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
/// Checks, compares and applies declarations and shows the state of a cell's hosts.
///
///
/// Exit codes: 0 done, or no difference; 1 the declaration has errors; 2 invalid arguments, or a
/// file that cannot be read; 3 conflict with another change; 4 refused by the host; 5 no answer,
/// and certainly nothing changed; 6 no answer, and the outcome is unknown; 7 there are differences.
pub enum Command {
    /// Check a declaration and print every error with line and column
    #[bpaf(command)]
    Check {
        /// Print JSON
        json: bool,
        /// Declaration in JSON with comments
        #[bpaf(positional("FILE"))]
        file: path::PathBuf,
    },
    /// Show what a declaration would change
    #[bpaf(command)]
    Diff {
        /// Options for the call of a host.
        #[bpaf(external)]
        target: Target,
        /// Declaration in JSON with comments
        #[bpaf(positional("FILE"))]
        file: path::PathBuf,
    },
    /// Apply a declaration as a whole
    #[bpaf(command)]
    Apply {
        /// Options for the call of a host.
        #[bpaf(external)]
        target: Target,
        /// Version that the change is based on; the version in force if not given
        #[bpaf(argument("VERSION"))]
        base_version: Option<ids::Version>,
        /// Restart the cell from this declaration, because neither the log nor any host has its
        /// history
        after_lost_history: bool,
        /// Who makes the change, for the audit trail
        #[bpaf(
            argument("NAME"),
            guard(is_valid_author, "the author must have 1 to 128 characters")
        )]
        author: String,
        /// Declaration in JSON with comments
        #[bpaf(positional("FILE"))]
        file: path::PathBuf,
    },
    /// Print the declaration in force
    #[bpaf(command)]
    Show {
        /// Options for the call of a host.
        #[bpaf(external)]
        target: Target,
    },
    /// Print the state of the host and its view of the cell
    #[bpaf(command)]
    Status {
        /// Options for the call of a host.
        #[bpaf(external)]
        target: Target,
    },
    /// Print the most recent changes of the declaration
    #[bpaf(command)]
    Audit {
        /// Options for the call of a host.
        #[bpaf(external)]
        target: Target,
    },
    /// Print why a task or job waits, where it runs and which placements were tried
    #[bpaf(command)]
    Explain {
        /// Options for the call of a host.
        #[bpaf(external)]
        target: Target,
        /// Id of the task or job
        #[bpaf(positional("TASK"))]
        task: String,
    },
}

#[derive(Debug, Clone, Bpaf)]
/// Options for the call of a host:
pub struct Target {
    /// Print JSON
    pub json: bool,
    /// Address of the host for peers and operators
    #[bpaf(argument("IP:PORT"))]
    pub host: std::net::SocketAddr,
    /// File with the operator token
    #[bpaf(argument("FILE"))]
    pub token_file: path::PathBuf,
    /// How long to wait for an answer, in milliseconds
    #[bpaf(
        argument("MS"),
        fallback(DEFAULT_TIMEOUT_MS),
        guard(is_valid_timeout, "the timeout must be 1 to 3600000 ms")
    )]
    pub timeout_ms: u64,
}

impl Command {
    /// Whether the output is JSON.
    pub fn prints_json(&self) -> bool {
        match self {
            Self::Check { json, .. } => *json,
            Self::Diff { target, .. }
            | Self::Apply { target, .. }
            | Self::Show { target }
            | Self::Status { target }
            | Self::Audit { target }
            | Self::Explain { target, .. } => target.json,
        }
    }
}

#[allow(clippy::ptr_arg, reason = "bpaf passes a reference to the value as it was parsed")]
fn is_valid_author(author: &String) -> bool {
    !author.trim().is_empty() && author.len() <= MAX_AUTHOR_BYTES
}

fn is_valid_timeout(timeout_ms: &u64) -> bool {
    (1..=MAX_TIMEOUT_MS).contains(timeout_ms)
}
