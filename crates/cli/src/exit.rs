//! Exit codes: 0 done, 1 refused or failed, 2 wrong use.

use crate::object_files::{CheckError, ObjectFileError};
use crate::operator_client::OperatorError;
use ploverlift_node::assembly::StartError;
use ploverlift_node::settings::SettingsError;
use snafu::Snafu;
use std::process::ExitCode;

/// Exit code of a command that was refused or failed.
pub const FAILED: u8 = 1;

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum Failure {
    /// The settings were refused.
    #[snafu(transparent)]
    Settings {
        /// The fault.
        source: SettingsError,
    },
    /// The node could not start.
    #[snafu(transparent)]
    Start {
        /// The fault.
        source: StartError,
    },
    /// The gateway's settings were refused.
    #[snafu(transparent)]
    GatewaySettings {
        /// The fault.
        source: ploverlift_gateway::settings::SettingsError,
    },
    /// The gateway could not listen.
    #[snafu(transparent)]
    GatewayStart {
        /// The fault.
        source: ploverlift_gateway::listeners::ListenError,
    },
    /// The store of the gateways gave no valid answer.
    #[snafu(transparent)]
    Store {
        /// The fault.
        source: ploverlift_gateway::ports::StoreError,
    },
    /// A request cannot be traced.
    #[snafu(transparent)]
    Trace {
        /// The fault.
        source: crate::trace::TraceError,
    },
    /// A file did not pass a check.
    #[snafu(transparent)]
    Check {
        /// The fault.
        source: CheckError,
    },
    /// An object file was refused.
    #[snafu(transparent)]
    ObjectFile {
        /// The fault.
        source: ObjectFileError,
    },
    /// A node refused or did not answer.
    #[snafu(transparent)]
    Operator {
        /// The fault.
        source: OperatorError,
    },
    /// A call to the operating system failed.
    #[snafu(transparent)]
    System {
        /// The fault.
        source: std::io::Error,
    },
    /// The files and the fleet differ, which `diff` reports by its exit code.
    #[snafu(display("the files and the fleet differ"))]
    Differs,
}

/// Prints a failure and turns it into an exit code.
pub fn code_of(outcome: Result<(), Failure>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("ploverlift: {failure}");
            ExitCode::from(FAILED)
        }
    }
}
