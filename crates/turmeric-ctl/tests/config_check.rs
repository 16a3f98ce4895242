//! `turmericctl config check`: exit codes and output.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::io::Write;
use std::process::{Command, Output, Stdio};

use rstest::rstest;

const CLEAN: &str = r#"{"version":7,"routes":[{"name":"q","host":"a.example",
    "path_prefix":"/q/","service":"s1"}],"services":[{"name":"s1"}]}"#;
const WARNING: &str = r#"{"version":8,"routes":[{"name":"q","host":"a.example",
    "path_prefix":"/q/","service":"s2"}],"services":[{"name":"s1"}]}"#;
const ERROR: &str = r#"{"version":8,"routes":[{"name":"q"}]}"#;

fn check(input: &[u8], flags: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_turmericctl"))
        .args(["config", "check", "-"])
        .args(flags)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The command stops reading after the limit.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

/// A file in the folder of test outputs, with a name of its own.
fn write_file(name: &str, content: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).unwrap();
    path.to_str().unwrap().to_owned()
}

/// A script that puts a configuration in force relies on the exit code.
#[rstest]
#[case::clean(CLEAN, &[], 0)]
#[case::clean_strict(CLEAN, &["--strict"], 0)]
#[case::warning(WARNING, &[], 0)]
#[case::warning_strict(WARNING, &["--strict"], 1)]
#[case::error(ERROR, &[], 1)]
#[case::error_json(ERROR, &["--json"], 1)]
#[case::not_json("{\"version\":", &[], 2)]
#[case::no_file(CLEAN, &["--in-force", "no/such/file"], 2)]
#[case::bad_flag(CLEAN, &["--no-such-flag"], 2)]
fn exit_code_tells_findings_from_unusable_input(
    #[case] input: &str,
    #[case] flags: &[&str],
    #[case] code: i32,
) {
    let output = check(input.as_bytes(), flags);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
}

/// Every change would otherwise fail the script that checks it.
#[test]
fn differences_are_listed_but_do_not_count() {
    let in_force = write_file("config_check_in_force.json", CLEAN);
    let next = CLEAN.replace("\"version\":7", "\"version\":8");
    let next = next.replace("\"/q/\"", "\"/r/\"");
    let flags = ["--in-force", &in_force, "--strict"];
    let output = check(next.as_bytes(), &flags);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let shown = String::from_utf8(output.stdout).unwrap();
    assert!(shown.contains("in_force.routes[0]"), "{shown}");

    let output = check(CLEAN.as_bytes(), &flags);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
}

/// Programs parse the output also if there is nothing to report.
#[test]
fn json_output_is_a_list() {
    let output = check(CLEAN.as_bytes(), &["--json"]);
    assert_eq!(output.stdout, b"[]\n");
    let output = check(ERROR.as_bytes(), &["--json"]);
    let rows: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(rows[0]["level"], "error");
    assert_eq!(rows[0]["place"], "routes[0].path_prefix");
}

/// An endless input must not use up the memory.
#[test]
fn input_over_the_limit_is_unusable() {
    let output = check(&vec![b' '; (8 << 20) + 1], &[]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let shown = String::from_utf8(output.stderr).unwrap();
    assert!(shown.contains("longer than 8388608 bytes"), "{shown}");
}

/// The script of a shell is generated from the command line.
#[test]
fn completion_offers_the_command() {
    let output = Command::new(env!("CARGO_BIN_EXE_turmericctl"))
        .args(["completions", "bash"])
        .output()
        .unwrap();
    assert!(
        String::from_utf8(output.stdout)
            .unwrap()
            .contains("--in-force")
    );
}
