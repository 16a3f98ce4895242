//! Reading of typed values with all findings reported together.

use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use clap::ArgMatches;
use turmeric_types::FindingList;

/// Returns the environment variable of a flag.
pub(crate) fn variable(flag: &str) -> String {
    format!("TURMERIC_{}", flag.to_uppercase().replace('-', "_"))
}

/// Reads flags and keeps all findings.
pub(crate) struct FlagReader<'a> {
    matches: &'a ArgMatches,
    pub(crate) findings: FindingList,
}

impl<'a> FlagReader<'a> {
    pub(crate) fn new(matches: &'a ArgMatches) -> Self {
        Self {
            matches,
            findings: FindingList::new(),
        }
    }

    fn text(&self, flag: &str) -> Option<&'a str> {
        self.matches.get_one::<String>(flag).map(String::as_str)
    }

    fn place(flag: &str) -> String {
        format!("--{flag} ({})", variable(flag))
    }

    /// Reads a value that must be there.
    pub(crate) fn value<T: FromStr>(&mut self, flag: &str) -> Option<T>
    where
        T::Err: Display,
    {
        let Some(text) = self.text(flag) else {
            self.findings.push(Self::place(flag), "no value");
            return None;
        };
        let result = text.parse::<T>();
        self.findings.collect(Self::place(flag), result)
    }

    /// Reads a value that may be missing.
    pub(crate) fn optional<T: FromStr>(&mut self, flag: &str) -> Option<Option<T>>
    where
        T::Err: Display,
    {
        if self.text(flag).is_none() {
            return Some(None);
        }
        self.value(flag).map(Some)
    }

    /// Reads an address and port by numbers.
    pub(crate) fn address(&mut self, flag: &str) -> Option<SocketAddr> {
        let text = self.text(flag).unwrap_or_default();
        let result = read_address(text);
        self.findings.collect(Self::place(flag), result)
    }

    /// Reads addresses that are separated by commas.
    pub(crate) fn addresses(&mut self, flag: &str) -> Option<Vec<SocketAddr>> {
        let text = self.text(flag).unwrap_or_default();
        let result: Result<Vec<_>, _> = text.split(',').map(read_address).collect();
        self.findings.collect(Self::place(flag), result)
    }

    /// Reads a time with its unit, between two bounds.
    pub(crate) fn term(&mut self, flag: &str, least: Duration, most: Duration) -> Option<Duration> {
        let text = self.text(flag).unwrap_or_default();
        let result = read_term(text).and_then(|term| {
            if (least..=most).contains(&term) {
                Ok(term)
            } else {
                Err(format!("{text:?} is not between {least:?} and {most:?}"))
            }
        });
        self.findings.collect(Self::place(flag), result)
    }
}

fn read_address(text: &str) -> Result<SocketAddr, String> {
    text.trim()
        .parse()
        .map_err(|_| format!("{text:?} is not an IP address and port; for example 10.0.0.5:7400"))
}

fn read_term(text: &str) -> Result<Duration, String> {
    let failure = || format!("{text:?} is not a time; for example 500ms, 15s or 2m");
    let digits_end = text
        .find(|character: char| !character.is_ascii_digit())
        .ok_or_else(failure)?;
    let (digits, unit) = text.split_at(digits_end);
    let number: u64 = digits.parse().map_err(|_| failure())?;
    match unit {
        "ms" => Ok(Duration::from_millis(number)),
        "s" => Ok(Duration::from_secs(number)),
        "m" => Ok(Duration::from_secs(number.saturating_mul(60))),
        _ => Err(failure()),
    }
}
