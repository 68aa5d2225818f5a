//! Errors that end the daemon.

use dockgate_core::IniProblems;
use quick_error::quick_error;

quick_error! {
    /// Why the daemon cannot start; each carries the step and what it was about.
    #[derive(Debug)]
    pub enum DaemonError {
        /// A file cannot be read.
        File(step: &'static str, path: String, cause: std::io::Error) {
            display("{} {}: {}", step, path, cause)
        }
        /// The settings are wrong.
        Settings(problems: IniProblems) {
            display("{}", problems)
            from()
        }
        /// A socket cannot be opened.
        Listen(step: &'static str, address: String, cause: std::io::Error) {
            display("{} {}: {}", step, address, cause)
        }
        /// The runtime cannot be started.
        Runtime(cause: std::io::Error) {
            display("start the runtime: {}", cause)
        }
        /// A JSON-RPC method cannot be registered.
        Method(cause: jsonrpsee::server::RegisterMethodError) {
            display("register a method: {}", cause)
            from()
        }
    }
}

impl DaemonError {
    /// Exit code for settings that are wrong.
    const EXIT_SETTINGS: u8 = 2;
    /// Exit code for everything else.
    const EXIT_OTHER: u8 = 1;

    /// Returns the process's exit code for this error.
    pub(crate) const fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_) | Self::File(..) => Self::EXIT_SETTINGS,
            _ => Self::EXIT_OTHER,
        }
    }
}
