//! Failures of a command, with their messages and exit codes.

use std::fmt;
use std::net::SocketAddr;
use std::process::ExitCode;

use gooseberrylb_config::answer;
use gooseberrylb_config::finding::Findings;

/// Exit code if the system refused the request.
pub const EXIT_REFUSED: u8 = 1;
/// Exit code if the command line or an input file is invalid.
pub const EXIT_USAGE: u8 = 2;
/// Exit code if no instance answered.
pub const EXIT_NO_ANSWER: u8 = 3;

/// Reason for the failure of a command.
#[derive(Debug)]
pub enum Failure {
    /// The system refused the request.
    Refused(answer::Error),
    /// An argument or a file is invalid.
    Input(String),
    /// The content of a file is invalid.
    Findings {
        /// Path of the file.
        file: String,
        /// Errors found in it.
        findings: Findings,
    },
    /// No instance answered; each address comes with the reason.
    NoAnswer(Vec<(SocketAddr, String)>),
}

impl Failure {
    /// Returns the exit code of the process for this failure.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::Refused(_) => EXIT_REFUSED,
            Failure::Input(_) | Failure::Findings { .. } => EXIT_USAGE,
            Failure::NoAnswer(_) => EXIT_NO_ANSWER,
        })
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Refused(response) => {
                write!(f, "{}: {}", response.error.code, response.error.message)?;
                for finding in response.error.findings.iter() {
                    write!(f, "\n{finding}")?;
                }
                Ok(())
            }
            Failure::Input(message) => f.write_str(message),
            Failure::Findings { file, findings } => {
                for (i, finding) in findings.iter().enumerate() {
                    let separator = if i == 0 { "" } else { "\n" };
                    write!(f, "{separator}{file}:{finding}")?;
                }
                Ok(())
            }
            Failure::NoAnswer(tried) => {
                f.write_str("no instance answered")?;
                for (address, reason) in tried {
                    write!(f, "\n{address}: {reason}")?;
                }
                Ok(())
            }
        }
    }
}
