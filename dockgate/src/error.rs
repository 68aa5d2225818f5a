//! Errors that prevent the daemon from starting.

use dockgate_core::IniProblems;
use quick_error::quick_error;

quick_error! {
    /// The reason why the daemon cannot start, with the failed step and its subject.
    #[derive(Debug)]
    pub enum DaemonError {
        /// A file cannot be read.
        File(step: &'static str, path: String, cause: std::io::Error) {
            display("{} {}: {}", step, path, cause)
        }
        /// The settings are invalid.
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
            display("cannot start the runtime: {}", cause)
        }
        /// A JSON-RPC method cannot be registered.
        Method(cause: jsonrpsee::server::RegisterMethodError) {
            display("cannot register a JSON-RPC method: {}", cause)
            from()
        }
    }
}

impl DaemonError {
    /// Exit code for invalid or unreadable settings.
    const EXIT_SETTINGS: u8 = 2;
    /// Exit code for all other errors.
    const EXIT_OTHER: u8 = 1;

    /// Returns the exit code of the process for this error.
    pub(crate) const fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_) | Self::File(..) => Self::EXIT_SETTINGS,
            _ => Self::EXIT_OTHER,
        }
    }
}
