//! Reads typed values of flags, and reports all findings together.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use clap::ArgMatches;
use turmeric_jobs::PolicySet;
use turmeric_types::FindingList;

/// Returns the name of the environment variable of a flag.
pub(crate) fn environment_variable(flag: &str) -> String {
    format!("TURMERIC_{}", flag.to_uppercase().replace('-', "_"))
}

/// Reads flags and collects all findings.
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

    fn flag_name(flag: &str) -> String {
        format!("--{flag} ({})", environment_variable(flag))
    }

    /// Reads a required value.
    pub(crate) fn value<T: FromStr>(&mut self, flag: &str) -> Option<T>
    where
        T::Err: Display,
    {
        let Some(text) = self.text(flag) else {
            self.findings.push(Self::flag_name(flag), "no value");
            return None;
        };
        let result = text.parse::<T>();
        self.findings.collect(Self::flag_name(flag), result)
    }

    /// Reads an optional value; the inner [`None`] means that it is missing.
    pub(crate) fn optional<T: FromStr>(&mut self, flag: &str) -> Option<Option<T>>
    where
        T::Err: Display,
    {
        if self.text(flag).is_none() {
            return Some(None);
        }
        self.value(flag).map(Some)
    }

    /// Reads the policies from the file that a flag names; the default ones without a file.
    pub(crate) fn policies(&mut self, flag: &str) -> Option<PolicySet> {
        let Some(path) = self.text(flag) else {
            return Some(PolicySet::default());
        };
        match read_policies(path) {
            Ok(set) => Some(set),
            Err(findings) => {
                for finding in findings.iter() {
                    let place = format!("{} in {path}", finding.place);
                    self.findings.push(place, finding.message.clone());
                }
                None
            }
        }
    }

    /// Reads an IP address and port.
    pub(crate) fn address(&mut self, flag: &str) -> Option<SocketAddr> {
        let text = self.text(flag).unwrap_or_default();
        let result = parse_address(text);
        self.findings.collect(Self::flag_name(flag), result)
    }

    /// Reads addresses that are separated by commas.
    pub(crate) fn addresses(&mut self, flag: &str) -> Option<Vec<SocketAddr>> {
        let text = self.text(flag).unwrap_or_default();
        let result: Result<Vec<_>, _> = text.split(',').map(parse_address).collect();
        self.findings.collect(Self::flag_name(flag), result)
    }

    /// Reads a duration with its unit, from `minimum` to `maximum`.
    pub(crate) fn duration(
        &mut self,
        flag: &str,
        minimum: Duration,
        maximum: Duration,
    ) -> Option<Duration> {
        let text = self.text(flag).unwrap_or_default();
        let result = parse_duration(text).and_then(|duration| {
            if (minimum..=maximum).contains(&duration) {
                Ok(duration)
            } else {
                Err(format!(
                    "{text:?} is not between {minimum:?} and {maximum:?}"
                ))
            }
        });
        self.findings.collect(Self::flag_name(flag), result)
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.trim()
        .parse()
        .map_err(|_| format!("{text:?} is not an IP address and port; for example 10.0.0.5:7400"))
}

fn parse_duration(text: &str) -> Result<Duration, String> {
    let failure = || format!("{text:?} is not a duration; for example 500ms, 15s or 2m");
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

/// Reads a file that maps names of policies to names of their variants.
fn read_policies(path: &str) -> Result<PolicySet, FindingList> {
    let mut findings = FindingList::new();
    let text = findings.collect("the policies", std::fs::read_to_string(path));
    let names = text.and_then(|text| {
        let names: Result<BTreeMap<String, String>, _> = serde_json::from_str(&text);
        findings.collect("the policies", names)
    });
    PolicySet::from_names(&findings.into_result(names)?)
}
