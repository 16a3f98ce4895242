//! Plays one case of the review: `standin-3 CASE DIRECTORY`. It writes record.txt into the
//! directory, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
//! run. With TROUBLE=0 in the environment it leaves the disruption out.

mod cancel;
mod http;
mod json;
mod lasting;
mod platform;
mod random;
mod record;
mod silent;
mod store;
mod suspects;
mod waiting;
mod worker;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// What a case has found.
pub enum Verdict {
    Held,
    Broken(Vec<String>),
    /// The situation that the case needs did not come about.
    NotPlayed(String),
}

fn play(case: &str, directory: &Path) -> std::io::Result<Verdict> {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::new(&directory.join("record.txt"))?);
    record.note(format!("case {case}, trouble {has_trouble}"));
    let scratch: PathBuf =
        std::env::temp_dir().join(format!("review-3-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&scratch)?;
    let verdict = match case {
        "cancel" => cancel::play(&scratch, &record, has_trouble),
        "lasting" => lasting::play(&scratch, &record, has_trouble),
        "silent" => silent::play(&scratch, &record, has_trouble),
        "suspects" => suspects::play(&scratch, &record, has_trouble),
        "waiting" => waiting::play(&scratch, &record, has_trouble),
        other => Err(std::io::Error::other(format!("unknown case {other}"))),
    };
    if std::env::var_os("KEEP").is_none() {
        std::fs::remove_dir_all(&scratch)?;
    }
    match &verdict {
        Ok(Verdict::Held) => record.note("verdict: the rule held"),
        Ok(Verdict::Broken(lines)) => {
            for line in lines {
                record.note(format!("broken: {line}"));
            }
            record.note("verdict: the rule was broken");
        }
        Ok(Verdict::NotPlayed(reason)) => record.note(format!("verdict: not played, {reason}")),
        Err(error) => record.note(format!("verdict: not played, {error}")),
    }
    verdict
}

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(directory)) = (words.next(), words.next()) else {
        eprintln!("usage: standin-3 CASE DIRECTORY");
        return ExitCode::from(2);
    };
    match play(&case, Path::new(&directory)) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken(lines)) => {
            for line in lines {
                println!("{line}");
            }
            ExitCode::from(1)
        }
        Ok(Verdict::NotPlayed(reason)) => {
            eprintln!("{reason}");
            ExitCode::from(2)
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
