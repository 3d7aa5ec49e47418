//! Program of the test stand-in for the platform: `standin --settings FILE`.

#![forbid(unsafe_code)]

use std::fs;
use std::path;

use bpaf::Parser;
use eyre::WrapErr;
use signal_hook::consts;
use signal_hook::iterator;
use standin::{Settings, Standin};

struct Arguments {
    settings: path::PathBuf,
}

fn arguments() -> bpaf::OptionParser<Arguments> {
    let settings = bpaf::long("settings")
        .help("Settings file, JSON with comments")
        .argument::<path::PathBuf>("FILE");
    bpaf::construct!(Arguments { settings })
        .to_options()
        .descr("Stand-in for the platform: log, host list and workers in one process")
}

fn main() -> eyre::Result<()> {
    let arguments = arguments().run();
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .with_writer(std::io::stderr)
        .init();
    let text = fs::read_to_string(&arguments.settings)
        .wrap_err_with(|| format!("cannot read {}", arguments.settings.display()))?;
    let standin = Standin::start(Settings::parse(&text)?)?;
    println!(
        "standin listens on {}, control port {}",
        standin.address(),
        standin.control_address()
    );
    let mut signals = iterator::Signals::new([consts::SIGTERM, consts::SIGINT])
        .wrap_err("cannot wait for signals")?;
    signals.forever().next();
    drop(standin);
    Ok(())
}
