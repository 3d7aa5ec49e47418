//! The operators' tool.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

use std::io::{self, Write};
use std::process;

use pierctl::errors::ExitStatus;
use pierctl::{arguments, commands, output};

/// Characters of a line of help.
const MESSAGE_WIDTH: usize = 100;

fn main() -> process::ExitCode {
    let command = match arguments::command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(MESSAGE_WIDTH);
            let is_help = matches!(failure, bpaf::ParseFailure::Stdout(..));
            return to_code(if is_help { ExitStatus::Done } else { ExitStatus::Usage });
        }
    };
    let json = command.prints_json();
    // A reader that has closed its end does not change what the exit code says.
    match commands::run(&command) {
        Ok(result) => {
            let text = if json { result.to_json() } else { result.to_text() };
            let _ = io::stdout().write_all(text.as_bytes());
            to_code(result.exit_status())
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

fn to_code(kind: ExitStatus) -> process::ExitCode {
    process::ExitCode::from(kind.to_code())
}
