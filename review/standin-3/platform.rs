//! A small deployment: the daemon's processes with the commands of the deploy file, on loopback
//! addresses, beside stand-ins for the store and the executors.

use std::fs::File;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::record::Record;
use crate::store::{Fate, Store};
use crate::worker::Worker;

/// The built daemon, as deploy/system.toml names it.
const PROGRAM: &str = "target/release/turmericd";

pub const HOST: &str = "jobs.example";
pub const PREFIX: &str = "/queue1/";

/// `cancel_ms` of the settings.
pub const CANCEL_MS: u64 = 3000;
/// `contact_ms` of the settings.
pub const CONTACT_MS: u64 = 3000;
/// `visible_ms` of the settings.
pub const VISIBLE_MS: u64 = 3000;

/// Time within which a caller waits for an answer.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Time within which the deployment must serve its first job.
const START_TIMEOUT: Duration = Duration::from_secs(25);

const ENTRY_NAMES: [&str; 2] = ["frontend-a-1", "frontend-b-1"];

/// A process of the daemon.
pub struct Daemon {
    child: Child,
}

impl Daemon {
    fn start(role: &str, settings: &Path, log: &Path) -> io::Result<Daemon> {
        let log = File::create(log)?;
        let child = Command::new(PROGRAM)
            .arg(role)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("TURMERICLB_BOOT", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Daemon { child })
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    /// Addresses for callers.
    pub entries: Vec<SocketAddr>,
    pub workers: Vec<Arc<Worker>>,
    /// One process an entry, then one an agent.
    pub daemons: Vec<Daemon>,
}

fn address(ip: IpAddr, port: u16) -> SocketAddr {
    SocketAddr::new(ip, port)
}

/// Returns three loopback networks' worth of addresses that no other run uses: each VM has its
/// own address, as on the platform, so that all have the same ports.
fn vm_address(number: u8) -> IpAddr {
    let id = std::process::id();
    IpAddr::V4(Ipv4Addr::new(
        127,
        20 + (id % 200) as u8,
        (id / 200 % 250) as u8,
        number,
    ))
}

/// Finds a port that is free at an address.
fn free_port(ip: IpAddr) -> io::Result<u16> {
    Ok(TcpListener::bind(address(ip, 0))?.local_addr()?.port())
}

struct Vm {
    name: String,
    class: &'static str,
    ip: IpAddr,
    zone: &'static str,
    /// The field with the addresses that the process listens on, and further fields.
    listens: String,
    limits: &'static str,
}

/// Returns the settings of a process, like those that the platform fills in for it.
fn write_settings(vm: &Vm, store: SocketAddr) -> String {
    let (name, class, ip, zone) = (&vm.name, vm.class, vm.ip, vm.zone);
    let (listens, limits) = (&vm.listens, vm.limits);
    format!(
        r#"{{"node":"{name}","role":"{class}","machine_class":"{class}","serves":["{class}"],
"ip_address":"{ip}","zone":"{zone}","region":"r","zones":{{"zone-a":"r","zone-b":"r"}},
{listens},"internal_port_range":[7720,7735],"seeds":[],"bootstrap":true,"counts_as_loss":false,
"limits":{limits},"data_directory":null,"discovery":"local","entry":"virtual_ip",
"heartbeat_interval_ms":1500,
"contracts":["base","drain","config","cost","recover","sched","places","platform"],
"fault_tolerance":{{"machines":1,"zones":1,"regions":0}},
"bounds":{{"contact_ms":3000,"acknowledge_ms":4000,"drain_ms":2000,"grace_s":6,
"config_apply_ms":2000,"evacuate_ms":5000,"recovery_s":12,"max_hold_ms":6000,
"stop_timeout_ms":900,"gang_timeout_ms":3000,"cancel_ms":3000,"visible_ms":3000,"early_ms":250,
"finish_s":14,"status_s":120}},
"orders":"call","platform":{{"address":"{store}","form":"table","writes_per_s":800,
"reads_per_s":2000,"transaction_ms":3.0,"partition_writes_s":300,"row_bytes":65536,
"across":true,"history_s":20}}}}"#
    )
}

fn write_config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"{HOST}","path_prefix":"{PREFIX}",
"kind":"unsafe","timeout_ms":3000,"target_latency_ms":2500,"priority":0,"service":"svc",
"max_attempts":3,"stretch":2.0}}],"services":[{{"name":"svc","health_path":"/health",
"max_connections":64,"protocol":"h1","tls_enabled":false,"cold_start_s":0.0,"cold_per_s":0.0,
"rejects_overload":true,"spare":false}}],"limits":{{"max_header_bytes":16384,
"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

impl Deployment {
    /// Starts two entries, and so many executors of `cpu` thousandths of a core with an agent
    /// each, and waits until a job has been done.
    pub fn start(
        directory: &Path,
        record: Arc<Record>,
        workers: u8,
        cpu: u64,
        fate: impl Fn(&str) -> Fate + Send + Sync + 'static,
    ) -> io::Result<Deployment> {
        let listener = TcpListener::bind(address(vm_address(1), 0))?;
        let (store, store_address) = Store::start(listener, Box::new(fate));
        store.put("op", "config", &write_config());
        let mut deployment = Deployment {
            record,
            store,
            entries: Vec::new(),
            workers: Vec::new(),
            daemons: Vec::new(),
        };
        for (number, name) in (10..).zip(ENTRY_NAMES) {
            let ip = vm_address(number);
            let callers = address(ip, free_port(ip)?);
            let readiness = address(ip, free_port(ip)?);
            let vm = Vm {
                name: name.to_owned(),
                class: "frontend",
                ip,
                zone: if number == 10 { "zone-a" } else { "zone-b" },
                listens: format!(
                    r#""listen_addresses":{{"frontend":"{callers}","readiness":"{readiness}"}}"#
                ),
                limits: r#"{"cpu_share":0.25,"cores":1,"memory_mb":260,"file_descriptors":4100}"#,
            };
            deployment.start_daemon("hosted-entry", &vm, directory, store_address)?;
            deployment.entries.push(callers);
        }
        for number in 0..workers {
            let ip = vm_address(20 + number);
            let registry = address(ip, free_port(ip)?);
            let listener = TcpListener::bind(address(ip, 0))?;
            let app = listener.local_addr()?;
            let zone = if number % 2 == 0 { "zone-a" } else { "zone-b" };
            let vm = Vm {
                name: format!("side-{number}"),
                class: "side",
                ip,
                zone,
                listens: format!(
                    r#""listen_addresses":{{"control_plane":"{registry}"}},"app":"{app}""#
                ),
                limits: r#"{"cpu_share":0.15,"cores":1,"memory_mb":128,"file_descriptors":4096}"#,
            };
            deployment.start_daemon("hosted-agent", &vm, directory, store_address)?;
            let rack = format!("r1-{}", number / 3);
            let id = format!("i-{number}");
            let place = (zone, rack.as_str());
            let worker = Worker::start(&id, listener, registry, place, cpu, &deployment.record);
            deployment.workers.push(worker);
        }
        deployment.wait_until_served()?;
        Ok(deployment)
    }

    fn start_daemon(
        &mut self,
        role: &str,
        vm: &Vm,
        directory: &Path,
        store: SocketAddr,
    ) -> io::Result<()> {
        let file = |ending: &str| -> PathBuf { directory.join(format!("{}.{ending}", vm.name)) };
        std::fs::write(file("json"), write_settings(vm, store))?;
        self.daemons
            .push(Daemon::start(role, &file("json"), &file("log"))?);
        Ok(())
    }

    /// Waits until every executor has run a task of a first job.
    fn wait_until_served(&self) -> io::Result<()> {
        let end = Instant::now() + START_TIMEOUT;
        let count = self.workers.len();
        let mut number = 0;
        while Instant::now() < end {
            let job = format!("{:016x}", 0xf000_0000_0000_0000_u64 + number);
            number += 1;
            // One task an executor.
            let steps = format!(
                r#"[{{"count":{count},"cpu":100,"requested_memory_mb":10,"estimated_ms":100,"anti_affinity":1}}]"#
            );
            let body = format!(r#"{{"task_spec":"work=100 cpu=100","steps":{steps}}}"#);
            if self.submit(number as usize, &job, &body) == Some(200) {
                for _ in 0..60 {
                    thread::sleep(Duration::from_millis(50));
                    if self.state(0, &job).as_deref() == Some("done") {
                        self.record.note("the deployment serves");
                        return Ok(());
                    }
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err(io::Error::other(
            "the deployment has not done its first job in time",
        ))
    }

    fn entry(&self, number: usize) -> SocketAddr {
        self.entries[number % self.entries.len()]
    }

    fn send(&self, entry: usize, method: &str, rest: &str, body: &str) -> Option<(u16, String)> {
        let path = format!("{PREFIX}{rest}");
        let answer = call(self.entry(entry), method, &path, HOST, body, CALL_TIMEOUT);
        let shown = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        let number = entry % self.entries.len();
        self.record
            .note(format!("{method} {rest} at entry {number}: {shown}"));
        answer
    }

    /// Hands a job in; returns the status of the answer, if there was one.
    pub fn submit(&self, entry: usize, job: &str, body: &str) -> Option<u16> {
        self.send(entry, "POST", job, body)
            .map(|(status, _)| status)
    }

    pub fn cancel(&self, entry: usize, job: &str) -> Option<u16> {
        self.send(entry, "DELETE", job, "")
            .map(|(status, _)| status)
    }

    /// Returns the state of a job, or the status of another answer.
    pub fn state(&self, entry: usize, job: &str) -> Option<String> {
        let (status, body) = self.send(entry, "GET", job, "")?;
        let state = crate::json::Json::read(&body);
        let state = state.map(|body| body.get("state").as_text().to_owned());
        Some(
            state
                .filter(|_| status == 200)
                .unwrap_or_else(|| status.to_string()),
        )
    }

    /// Returns the number of waiting jobs of the queue.
    pub fn waiting(&self, entry: usize) -> Option<u64> {
        let (status, body) = self.send(entry, "GET", "", "")?;
        let body = crate::json::Json::read(&body).filter(|_| status == 200)?;
        body.get("waiting").as_u64()
    }
}
