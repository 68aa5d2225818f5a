//! Errors of the tool, with the failed step and the peer or file.

use quick_error::quick_error;

quick_error! {
    /// Error of a command.
    #[derive(Debug)]
    pub enum CtlError {
        /// A file cannot be read.
        File(step: &'static str, path: String, cause: std::io::Error) {
            display("{} {}: {}", step, path, cause)
        }
        /// The input is invalid.
        Invalid(message: String) {
            display("{}", message)
        }
        /// The daemon refused the call.
        Refused(code: i32, message: String) {
            display("{}", message)
        }
        /// The daemon cannot be reached.
        Unreachable(step: &'static str, peer: String, cause: String) {
            display("{}: daemon {}: {}", step, peer, cause)
        }
    }
}

impl CtlError {
    /// Returns the exit code, as listed in the help text.
    pub(crate) fn exit_code(&self) -> u8 {
        use dockgate_proto::operator::codes;
        match self {
            Self::File(..) => 2,
            Self::Refused(codes::STALE | codes::UNKNOWN_PLAN, _) => 3,
            Self::Refused(codes::PLATFORM, _) | Self::Unreachable(..) => 4,
            Self::Invalid(_) | Self::Refused(..) => 1,
        }
    }
}
