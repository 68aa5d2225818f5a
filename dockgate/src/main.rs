//! The dockgate daemon: entry, scheduler and ledger peer in one process.
//!
//! `dockgate --settings FILE` runs it; `dockgate --settings FILE --check` only checks the settings.

mod caller;
mod clock;
mod config_keeper;
mod daemon;
mod dispatch;
mod door;
mod error;
mod link;
mod logging;
mod members;
mod metrics;
mod operator_door;
mod peer_door;
mod settings;
mod stop;

use clap::Parser;
use settings::DaemonArgs;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args = DaemonArgs::parse();
    let settings = match args.load() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(error.exit_code());
        }
    };
    if args.check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    logging::init(&settings.name);
    match daemon::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}
