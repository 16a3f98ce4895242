//! Names of jobs, their tasks and attempts.

use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;

/// Error for a text that is not the name of a job or a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NameError {
    text: String,
    expected: &'static str,
}

impl NameError {
    /// Creates the error for `text`, where something else was expected.
    pub(crate) fn new(text: &str, expected: &'static str) -> Self {
        Self {
            text: text.to_owned(),
            expected,
        }
    }
}

impl fmt::Display for NameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?} is not {}", self.text, self.expected)
    }
}

impl std::error::Error for NameError {}

/// Number of digits of a job's code.
const CODE_DIGITS: usize = 16;

/// Identifier of a job, chosen by its caller: 64 bits, written in hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobCode(u64);

impl JobCode {
    /// Creates a code from its bits.
    pub const fn new(bits: u64) -> Self {
        Self(bits)
    }

    /// Returns the code's bits.
    pub const fn bits(self) -> u64 {
        self.0
    }
}

impl fmt::Display for JobCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for JobCode {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let is_code = text.len() == CODE_DIGITS
            && text
                .bytes()
                .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        let bits = is_code.then(|| u64::from_str_radix(text, 16).ok());
        bits.flatten().map(Self).ok_or_else(|| NameError {
            text: text.to_owned(),
            expected: "16 lower-case hexadecimal digits; for example 5c0e7a21d94b36f8",
        })
    }
}

/// Name of one task: job, occurrence, step and index in the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// The job.
    pub job: JobCode,
    /// Occurrence of a repeated job, from zero.
    pub occurrence: u32,
    /// Step of the job, from zero.
    pub step: u32,
    /// Index of the task in its step, from zero.
    pub index: u32,
}

impl TaskName {
    /// Returns the name of the first task of the same step and occurrence.
    pub fn first_of_step(&self) -> Self {
        Self { index: 0, ..*self }
    }

    /// Returns the names that all tasks of the same step and occurrence have.
    pub(crate) fn step_range(&self) -> RangeInclusive<Self> {
        let last = Self {
            index: u32::MAX,
            ..*self
        };
        self.first_of_step()..=last
    }
}

impl fmt::Display for TaskName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(formatter, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskName {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let failure = || NameError {
            text: text.to_owned(),
            expected: "JOB.OCCURRENCE.STEP.INDEX; for example 5c0e7a21d94b36f8.0.1.17",
        };
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(failure);
        let job = next()?.parse().map_err(|_| failure())?;
        let mut number = || next()?.parse::<u32>().map_err(|_| failure());
        let name = Self {
            job,
            occurrence: number()?,
            step: number()?,
            index: number()?,
        };
        match parts.next() {
            None => Ok(name),
            Some(_) => Err(failure()),
        }
    }
}

/// Number of an attempt of a task; a later attempt has a higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(u64);

impl AttemptNumber {
    /// Creates a number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the number of the next attempt.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for AttemptNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Key of one attempt to run a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The task.
    pub task: TaskName,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
}

/// One incarnation of an endpoint: its identifier and start time.
///
/// An endpoint may restart under the same identifier; it then has no state of its
/// earlier incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointIncarnation {
    /// Identifier under which the endpoint registers.
    pub endpoint: String,
    /// Start of this incarnation as reported by the endpoint, in milliseconds since 1970.
    pub started_at_millis: u64,
}

impl fmt::Display for EndpointIncarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.endpoint, self.started_at_millis)
    }
}
