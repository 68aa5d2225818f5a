//! The dockgate daemon: entry, scheduler and ledger replica in one process.
//!
//! `dockgate --settings FILE` runs the daemon; with `--check`, it only checks the settings.

mod caller;
mod checked_watch;
mod clock;
mod config_cell;
mod daemon;
mod dispatch;
mod error;
mod gateway;
mod link_task;
mod logging;
mod members;
mod metrics;
mod operator_listener;
mod peer_listener;
mod probed_wait;
mod rpc_listener;
mod settings;
mod shared_stream;
mod stop;

use clap::Parser;
use error::DaemonError;
use gateway::{GatewayRuntime, GatewaySettings};
use settings::DaemonArgs;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args = DaemonArgs::parse();
    #[cfg(debug_assertions)]
    clock::watch_suspension_file();
    let result =
        GatewayRuntime::new().and_then(|runtime| match gateway::is_gateway_file(args.settings()) {
            true => start_gateway(&args, runtime),
            false => start_daemon(&args),
        });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn start_gateway(args: &DaemonArgs, runtime: GatewayRuntime) -> Result<(), DaemonError> {
    let settings = GatewaySettings::load(args.settings())?;
    if args.check {
        println!("settings are valid");
        return Ok(());
    }
    logging::init(&settings.name);
    gateway::run(runtime, settings, args.settings())
}

fn start_daemon(args: &DaemonArgs) -> Result<(), DaemonError> {
    let settings = args.load()?;
    if args.check {
        println!("settings are valid");
        return Ok(());
    }
    logging::init(&settings.name);
    daemon::run(settings)
}
