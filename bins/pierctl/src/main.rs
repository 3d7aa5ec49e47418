//! The command line tool for operators.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

use std::io::{self, Write};
use std::process;

use pierctl::errors::ExitStatus;
use pierctl::{arguments, commands, output};

/// The width of help and usage errors in characters.
const HELP_WIDTH: usize = 100;

fn main() -> process::ExitCode {
    let command = match arguments::command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            let is_help = matches!(failure, bpaf::ParseFailure::Stdout(..));
            return to_code(if is_help { ExitStatus::Done } else { ExitStatus::Usage });
        }
    };
    let json = command.prints_json();
    // Write errors are ignored: a closed pipe does not change the exit code.
    match commands::run(&command) {
        Ok(output) => {
            let text = if json { output.to_json() } else { output.to_text() };
            let _ = io::stdout().write_all(text.as_bytes());
            to_code(output.exit_status())
        }
        Err(error) => {
            if json {
                let _ = io::stdout().write_all(output::error_to_json(&error).as_bytes());
            } else {
                let _ = io::stderr().write_all(output::error_to_text(&error).as_bytes());
            }
            to_code(error.exit_status())
        }
    }
}

fn to_code(status: ExitStatus) -> process::ExitCode {
    process::ExitCode::from(status.to_code())
}
