//! The daemon of an entry host.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

use std::path;
use std::process;
use std::thread;

use bpaf::Bpaf;
use pierd::{Daemon, ExitReason, Settings, settings};
use signal_hook::consts::signal;
use signal_hook::iterator;

/// The width of help and usage errors in characters.
const HELP_WIDTH: usize = 100;
const EXIT_SUCCESS: u8 = 0;
const EXIT_FAILED: u8 = 1;
const EXIT_INVALID_SETTINGS: u8 = 2;
const EXIT_CUT_SHORT: u8 = 3;

/// Daemon of an entry host of persimmonpier.
///
/// Exit codes: 0 shut down after all work was handed over; 1 failed to start or to keep running;
/// 2 invalid settings or arguments; 3 shutdown cut short by its time limit or a second signal.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Check the settings and exit
    check: bool,
    #[bpaf(external)]
    source: Source,
}

#[derive(Debug, Clone, Bpaf)]
enum Source {
    Settings {
        /// Settings file in JSON with comments
        #[bpaf(argument("FILE"))]
        settings: path::PathBuf,
    },
    /// Print a table of the numeric and boolean settings with defaults and limits, and exit
    ListSettings,
}

fn main() -> eyre::Result<process::ExitCode> {
    let arguments = match arguments().run_inner(bpaf::Args::current_args()) {
        Ok(arguments) => arguments,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            let is_help = matches!(failure, bpaf::ParseFailure::Stdout(..));
            let code = if is_help { EXIT_SUCCESS } else { EXIT_INVALID_SETTINGS };
            return Ok(process::ExitCode::from(code));
        }
    };
    let file = match arguments.source {
        Source::Settings { settings } => settings,
        Source::ListSettings => {
            print!("{}", settings::rows::to_markdown());
            return Ok(process::ExitCode::SUCCESS);
        }
    };
    let settings = match Settings::load(&file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return Ok(process::ExitCode::from(EXIT_INVALID_SETTINGS));
        }
    };
    if arguments.check {
        return Ok(process::ExitCode::SUCCESS);
    }
    tracing_subscriber::fmt()
        .json()
        .with_writer(std::io::stderr)
        .with_env_filter(tracing_subscriber::EnvFilter::try_new(&settings.log_filter)?)
        .init();

    // Signals are registered before the daemon starts, so that none is lost during the start.
    let mut os_signals = iterator::Signals::new([signal::SIGTERM, signal::SIGINT])?;
    let (sender, signals) = flume::bounded(2);
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for signal in os_signals.forever() {
            // The first signal starts the shutdown and the second one ends the process. Later
            // ones have no effect and are dropped when the channel is full.
            let _ = sender.try_send(signal);
        }
    })?;
    let reason = match Daemon::start(settings) {
        Ok(daemon) => daemon.run(&signals),
        Err(error) => {
            tracing::error!(%error, "failed to start the host");
            ExitReason::Failed
        }
    };
    Ok(match reason {
        ExitReason::Drained => process::ExitCode::SUCCESS,
        ExitReason::CutShort => process::ExitCode::from(EXIT_CUT_SHORT),
        ExitReason::Failed => process::ExitCode::from(EXIT_FAILED),
    })
}
