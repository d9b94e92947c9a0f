//! How a command fails, and the exit code that says so.

use std::fmt;
use std::net::SocketAddr;
use std::process::ExitCode;

use gooseberrylb_config::answer;
use gooseberrylb_config::finding::Findings;

/// The exit code where the system refused.
pub const REFUSED: u8 = 1;
/// The exit code where the command line or a file is wrong.
pub const USAGE: u8 = 2;
/// The exit code where no instance answered.
pub const NO_ANSWER: u8 = 3;

/// Why a command failed.
#[derive(Debug)]
pub enum Failure {
    /// The system refused.
    Refused(answer::Error),
    /// An argument or a file is wrong.
    Input(String),
    /// A file holds things that are wrong.
    Findings {
        /// The file.
        file: String,
        /// What is wrong.
        findings: Findings,
    },
    /// No instance answered, each for the reason beside it.
    NoAnswer(Vec<(SocketAddr, String)>),
}

impl Failure {
    /// The exit code that tells scripts of this failure.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::Refused(_) => REFUSED,
            Failure::Input(_) | Failure::Findings { .. } => USAGE,
            Failure::NoAnswer(_) => NO_ANSWER,
        })
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Refused(answer) => {
                write!(f, "{}: {}", answer.error.code, answer.error.message)?;
                for finding in answer.error.findings.iter() {
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
