//! Errors of the bench tool.

use dockgate_core::IniProblems;
use quick_error::quick_error;

quick_error! {
    /// Reason for which a run failed, with the step that failed and its object.
    #[derive(Debug)]
    pub enum BenchError {
        /// An I/O operation failed.
        Io(step: &'static str, what: String, cause: std::io::Error) {
            display("{} {}: {}", step, what, cause)
        }
        /// The scenario file is invalid.
        Scenario(problems: IniProblems) {
            display("{}", problems)
            from()
        }
        /// A daemon is missing, refused an operation or did not reach a state in time.
        Daemon(step: &'static str, name: String, cause: String) {
            display("{} {}: {}", step, name, cause)
        }
        /// The requested arm does not exist.
        Arm(step: &'static str, name: String, cause: String) {
            display("{} {}: {}", step, name, cause)
        }
    }
}
