//! Resource usage of a process and traffic of the loopback interface, read from `/proc`.

use std::time::Instant;

use eyre::{Result, WrapErr, eyre};

/// Clock ticks per second in `/proc`, fixed by the kernel's interface.
const TICKS_PER_SECOND: f64 = 100.0;

/// Cumulative resource usage of a process at one point in time.
pub(crate) struct ProcessUsage {
    read_at: Instant,
    cpu_seconds: f64,
    pub(crate) resident_bytes: u64,
    pub(crate) threads: u64,
    pub(crate) sockets: u64,
    loopback_bytes: u64,
}

impl ProcessUsage {
    /// Reads the current usage of process `pid`.
    pub(crate) fn read(pid: u32) -> Result<Self> {
        let status = read_proc(pid, "status")?;
        Ok(Self {
            read_at: Instant::now(),
            cpu_seconds: read_cpu(pid)?,
            resident_bytes: read_field(&status, "VmRSS:")? * 1024,
            threads: read_field(&status, "Threads:")?,
            sockets: count_sockets(pid)?,
            loopback_bytes: read_loopback()?,
        })
    }

    /// Returns the processor time used since `earlier`, in percent of one core.
    pub(crate) fn cpu_percent_since(&self, earlier: &Self) -> f64 {
        let seconds = self.read_at.duration_since(earlier.read_at).as_secs_f64();
        (self.cpu_seconds - earlier.cpu_seconds) / seconds * 100.0
    }

    /// Returns the bytes per second on the loopback interface since `earlier`.
    ///
    /// Each packet counts once, including its headers.
    pub(crate) fn bytes_per_second_since(&self, earlier: &Self) -> f64 {
        let seconds = self.read_at.duration_since(earlier.read_at).as_secs_f64();
        (self.loopback_bytes - earlier.loopback_bytes) as f64 / seconds
    }
}

fn read_proc(pid: u32, file: &str) -> Result<String> {
    let path = format!("/proc/{pid}/{file}");
    std::fs::read_to_string(&path).wrap_err_with(|| format!("failed to read {path}"))
}

fn read_field(text: &str, name: &str) -> Result<u64> {
    text.lines()
        .find_map(|line| line.strip_prefix(name))
        .and_then(|rest| rest.split_whitespace().next())
        .and_then(|number| number.parse().ok())
        .ok_or_else(|| eyre!("field {name} is missing or not a number"))
}

fn read_cpu(pid: u32) -> Result<f64> {
    let stat = read_proc(pid, "stat")?;
    // The program name may contain spaces; the other fields follow its closing parenthesis.
    let rest = stat.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<&str> = rest.split(' ').collect();
    let ticks = |index: usize| -> Result<f64> {
        let field = fields
            .get(index)
            .ok_or_else(|| eyre!("/proc/{pid}/stat has too few fields"))?;
        Ok(field.parse::<f64>()?)
    };
    Ok((ticks(11)? + ticks(12)?) / TICKS_PER_SECOND)
}

fn count_sockets(pid: u32) -> Result<u64> {
    let path = format!("/proc/{pid}/fd");
    let links = std::fs::read_dir(&path).wrap_err_with(|| format!("failed to read {path}"))?;
    let is_socket = |entry: std::io::Result<std::fs::DirEntry>| {
        entry
            .and_then(|entry| std::fs::read_link(entry.path()))
            .is_ok_and(|target| target.to_string_lossy().starts_with("socket:"))
    };
    Ok(links.map(is_socket).filter(|is| *is).count() as u64)
}

fn read_loopback() -> Result<u64> {
    let text = std::fs::read_to_string("/proc/net/dev").wrap_err("failed to read /proc/net/dev")?;
    text.lines()
        .find_map(|line| line.trim().strip_prefix("lo:"))
        .and_then(|rest| rest.split_whitespace().next())
        .and_then(|number| number.parse().ok())
        .ok_or_else(|| eyre!("/proc/net/dev has no byte count for the loopback interface"))
}
