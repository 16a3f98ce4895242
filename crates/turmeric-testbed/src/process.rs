//! One process of a test.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Interval at which the end of a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns a program of this workspace, built in the profile of the test.
fn program(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("a test has a path");
    let profile = test
        .ancestors()
        .find(|path| path.join(name).is_file())
        .unwrap_or_else(|| panic!("{name} is not built; run scripts/test"));
    profile.join(name)
}

/// Runs a program of this workspace to its end; returns what it printed.
///
/// # Panics
///
/// Panics when it fails.
pub fn run_program(name: &str, arguments: &[&str]) -> String {
    let output = Command::new(program(name))
        .args(arguments)
        .output()
        .unwrap_or_else(|error| panic!("{name} does not start: {error}"));
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{name}: {errors}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// One process of a test, which ends with it.
#[derive(Debug)]
pub struct TestProcess {
    child: Child,
    log: PathBuf,
}

impl TestProcess {
    /// Starts a program of this workspace; its log goes below `directory`.
    pub fn start(name: &str, directory: &Path, label: &str, arguments: &[String]) -> Self {
        let log = directory.join(format!("{label}.log"));
        let file = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .expect("the log can be written");
        let child = Command::new(program(name))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .spawn()
            .unwrap_or_else(|error| panic!("{name} does not start: {error}"));
        Self { child, log }
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns what the process has logged.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status()
            .expect("kill can be run");
        assert!(status.success(), "signal {name} was not sent");
    }

    /// Asks for a planned stop.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Stops the process where it is, until [`TestProcess::resume`].
    pub fn pause(&self) {
        self.signal("STOP");
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + limit;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if Instant::now() >= end {
                return None;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
