//! Input errors, collected with their source and reported together.

use std::fmt;

/// One error in the input and the part of the input that contains it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The flag, environment variable, header, field or settings path with the error.
    pub place: String,
    /// What is wrong, and which input would be accepted.
    pub message: String,
}

/// All errors found in one input.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FindingList {
    findings: Vec<Finding>,
}

impl FindingList {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an error found at `place`.
    pub fn push(&mut self, place: impl Into<String>, message: impl Into<String>) {
        self.findings.push(Finding {
            place: place.into(),
            message: message.into(),
        });
    }

    /// Returns the value of `result`, or records its error at `place`.
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

    /// Returns whether no error was found.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the errors in the order in which they were found.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.findings.iter()
    }

    /// Returns `value` if it is present and no error was found.
    ///
    /// # Errors
    ///
    /// Returns the list itself if it contains an error or `value` is [`None`].
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
