//! Errors of the tool; each carries the step and the peer or file.

use quick_error::quick_error;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum CtlError {
        /// A file cannot be read.
        File(step: &'static str, path: String, cause: std::io::Error) {
            display("{} {}: {}", step, path, cause)
        }
        /// The intent cannot be stated so.
        Intent(message: String) {
            display("{}", message)
        }
        /// The daemon refused.
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
    /// Returns the exit code, as the tool's help lists them.
    pub(crate) fn exit_code(&self) -> u8 {
        use dockgate_proto::operator::codes;
        match self {
            Self::File(..) => 2,
            Self::Refused(codes::STALE | codes::UNKNOWN_PLAN, _) => 3,
            Self::Refused(codes::PLATFORM, _) | Self::Unreachable(..) => 4,
            Self::Intent(_) | Self::Refused(..) => 1,
        }
    }
}
