//! Errors of the bench tool; each carries the step and what it was about.

use dockgate_core::IniProblems;
use quick_error::quick_error;

quick_error! {
    /// Why a run cannot be made.
    #[derive(Debug)]
    pub enum BenchError {
        /// Something of the machine failed.
        Io(step: &'static str, what: String, cause: std::io::Error) {
            display("{} {}: {}", step, what, cause)
        }
        /// The scenario is wrong.
        Scenario(problems: IniProblems) {
            display("{}", problems)
            from()
        }
        /// A daemon did not do what it should in time.
        Daemon(step: &'static str, name: String, cause: String) {
            display("{} {}: {}", step, name, cause)
        }
        /// A report cannot be read or written.
        Report(step: &'static str, path: String, cause: String) {
            display("{} {}: {}", step, path, cause)
        }
    }
}
