//! Validation errors of an input, each with its place, collected and reported together.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One error in an input and its place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Path into the input, with line and column if they are known.
    pub place: Arc<str>,
    /// Description of the error, for the person who wrote the input.
    pub message: Arc<str>,
}

impl Finding {
    /// Creates a finding about `place`.
    pub fn new(place: impl Into<Arc<str>>, message: impl Into<Arc<str>>) -> Self {
        Self {
            place: place.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

/// All errors found in one input.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a finding about `place`.
    pub fn add(&mut self, place: impl Into<Arc<str>>, message: impl Into<Arc<str>>) {
        self.0.push(Finding::new(place, message));
    }

    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the findings in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// Appends the findings of `other`.
    pub fn extend(&mut self, other: Findings) {
        self.0.extend(other.0);
    }

    /// Returns `value` if there are no findings, or else the findings.
    pub fn into_result<T>(self, value: T) -> Result<T, Findings> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
