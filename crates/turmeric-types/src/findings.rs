//! Findings about bad input, collected with their place and reported together.

use std::fmt;

/// One mistake in the input, with the place where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The flag, variable, header or settings path that holds the mistake.
    pub place: String,
    /// What is wrong and what would be accepted.
    pub message: String,
}

/// All mistakes found in one input.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FindingList {
    findings: Vec<Finding>,
}

impl FindingList {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a mistake found at `place`.
    pub fn push(&mut self, place: impl Into<String>, message: impl Into<String>) {
        self.findings.push(Finding {
            place: place.into(),
            message: message.into(),
        });
    }

    /// Keeps the value of `result`, or records its error at `place`.
    pub fn collect<T, E: fmt::Display>(
        &mut self,
        place: impl Into<String>,
        result: Result<T, E>,
    ) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(error) => {
                self.push(place, error.to_string());
                None
            }
        }
    }

    /// Returns whether no mistake was found.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the mistakes in the order in which they were found.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.findings.iter()
    }

    /// Returns `value` when nothing was found and all parts are present.
    ///
    /// # Errors
    ///
    /// Returns the list itself when it holds any mistake.
    pub fn into_result<T>(self, value: Option<T>) -> Result<T, Self> {
        match value {
            Some(value) if self.findings.is_empty() => Ok(value),
            _ => Err(self),
        }
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let plural = if self.findings.len() == 1 { "" } else { "s" };
        write!(formatter, "{} finding{plural}", self.findings.len())?;
        for finding in &self.findings {
            write!(formatter, "\n  {}: {}", finding.place, finding.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for FindingList {}
