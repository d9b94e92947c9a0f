//! What is wrong with an input, collected with its place and reported together.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One thing that is wrong, and where.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The place: a path into the input, with line and column where they are known.
    pub place: Arc<str>,
    /// What is wrong there, in a sentence for the person who wrote the input.
    pub message: Arc<str>,
}

impl Finding {
    /// Makes a finding about `place`.
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

/// All that is wrong with one input.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Makes an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that `message` is wrong with `place`.
    pub fn add(&mut self, place: impl Into<Arc<str>>, message: impl Into<Arc<str>>) {
        self.0.push(Finding::new(place, message));
    }

    /// Whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The findings, in the order in which they were noted.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// Takes the findings of `other` behind those noted so far.
    pub fn extend(&mut self, other: Findings) {
        self.0.extend(other.0);
    }

    /// Gives `value` where nothing is wrong, else the findings.
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
