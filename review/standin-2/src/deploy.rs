//! A small deployment on loopback addresses: the store, entries, agents and their executors.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::net::{self, Answer};
use crate::store::Store;

/// Host of all routes.
pub const HOST: &str = "shop.example";
/// Prefix of the route of ordinary requests.
pub const PREFIX: &str = "/photo/";
/// Prefix of a second route of the same service.
pub const BATCH: &str = "/scan/";
const SERVICE: &str = "verdikt";
const ZONES: [&str; 4] = ["morava-a", "morava-b", "morava-c", "morava-d"];

/// Figures of a deployment.
pub struct Plan {
    pub entries: usize,
    pub executors: usize,
    /// Processors of an executor, in thousandths.
    pub cpu: u64,
    pub max_hold_ms: u64,
    pub save_ms: u64,
    pub restore_ms: u64,
    /// `memory_mb` of an entry.
    pub entry_mb: u64,
    pub max_attempts: u64,
    /// `status_s` of the settings.
    pub status_s: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: 2,
            executors: 3,
            cpu: 64_000,
            max_hold_ms: 6000,
            save_ms: 1000,
            restore_ms: 600,
            entry_mb: 260,
            max_attempts: 3,
            status_s: 120,
        }
    }
}

/// A process that the test has started.
pub struct Process {
    pub name: String,
    program: PathBuf,
    arguments: Vec<String>,
    boot: Option<PathBuf>,
    log: PathBuf,
    child: Option<Child>,
    pub starts: u32,
    /// Exits that the test did not cause.
    pub exits: u32,
}

impl Process {
    fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log file");
        let mut command = Command::new(&self.program);
        command
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log);
        if let Some(boot) = &self.boot {
            command.env("TURMERICLB_BOOT", boot);
        }
        self.child = Some(command.spawn().unwrap_or_else(|error| {
            eprintln!("cannot start {}: {error}", self.program.display());
            std::process::exit(2);
        }));
        self.starts += 1;
    }

    /// Returns the process's id while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_exited(&mut self) -> bool {
        let has_exited = self
            .child
            .as_mut()
            .is_some_and(|child| !matches!(child.try_wait(), Ok(None)));
        if has_exited {
            self.child = None;
            self.exits += 1;
        }
        has_exited
    }

    /// Returns the resident memory in megabytes.
    pub fn memory_mb(&self) -> u64 {
        let Some(id) = self.id() else { return 0 };
        let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = text
            .lines()
            .find(|line| line.starts_with("VmRSS:"))
            .unwrap_or_default();
        let kilobytes = line
            .split_whitespace()
            .nth(1)
            .and_then(|text| text.parse::<u64>().ok());
        kilobytes.unwrap_or(0) / 1024
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A running deployment.
pub struct Deployment {
    pub plan: Plan,
    pub store: Arc<Store>,
    pub entries: Vec<Process>,
    pub callers: Vec<SocketAddr>,
    readiness: Vec<SocketAddr>,
    pub agents: Vec<Process>,
    pub executors: Vec<Process>,
    pub executor_addresses: Vec<SocketAddr>,
    registries: Vec<SocketAddr>,
    folder: PathBuf,
    record: File,
    began: Instant,
    lives: u32,
}

fn free_port(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
    listener.local_addr().expect("its address")
}

impl Deployment {
    /// Starts the store, the entries, the agents and the executors.
    pub async fn start(plan: Plan, case: &Path, root: &Path) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let record = File::create(case.join("record.txt")).expect("record.txt");
        let net = 1 + std::process::id() % 250;
        let ip = |number: usize| format!("127.77.{net}.{number}");
        let store_address = free_port(&ip(250));
        let store = Arc::new(Store::default());
        let routes: Vec<Value> = [("r-photo", PREFIX, 0), ("r-scan", BATCH, 2)]
            .iter()
            .map(|(name, prefix, priority)| {
                json!({"name": name, "host": HOST, "path_prefix": prefix, "service": SERVICE,
                    "priority": priority, "max_attempts": plan.max_attempts, "stretch": 1.5,
                    "target_latency_ms": 1000, "timeout_ms": 3000})
            })
            .collect();
        let config = json!({"version": 2, "routes": routes,
            "services": [{"name": SERVICE, "rejects_overload": true}], "limits": {}});
        store.put("op", "config", &config);
        store.serve(store_address).await;
        let mut deployment = Self {
            store,
            entries: Vec::new(),
            callers: Vec::new(),
            readiness: Vec::new(),
            agents: Vec::new(),
            executors: Vec::new(),
            executor_addresses: Vec::new(),
            registries: Vec::new(),
            folder,
            record,
            began: Instant::now(),
            lives: 0,
            plan,
        };
        let program = root.join("target/release/turmericd");
        for number in 0..deployment.plan.entries + deployment.plan.executors {
            let is_entry = number < deployment.plan.entries;
            let index = if is_entry {
                number
            } else {
                number - deployment.plan.entries
            };
            let (class, role) = if is_entry {
                ("frontend", "entry")
            } else {
                ("side", "agent")
            };
            let zone = ZONES[index % ZONES.len()];
            let name = format!("{class}-{zone}-{}", 1 + index / ZONES.len());
            let ip = ip(1 + number);
            let link = free_port(&ip);
            let (first, second) = (free_port(&ip), free_port(&ip));
            let memory = if is_entry {
                deployment.plan.entry_mb
            } else {
                128
            };
            let mut settings = json!({
                "node": name, "role": role, "machine_class": class, "serves": [class],
                "ip_address": ip, "zone": zone, "region": "morava",
                "zones": {"morava-a": "morava", "morava-b": "morava", "morava-c": "morava",
                    "morava-d": "morava"},
                "internal_port_range": [link.port(), link.port()], "seeds": [], "bootstrap": true,
                "limits": {"cpu_share": if is_entry {0.25} else {0.15}, "cores": 1,
                    "memory_mb": memory, "file_descriptors": 4100, "link_mbps": 1000.0, "disk_mb": 0},
                "data_directory": null, "heartbeat_interval_ms": 1500, "orders": "call",
                "bounds": {"contact_ms": 3000, "acknowledge_ms": 4000, "grace_s": 6,
                    "max_hold_ms": deployment.plan.max_hold_ms, "stop_timeout_ms": 900,
                    "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": deployment.plan.status_s,
                    "require_fencing": true},
                "platform": {"address": store_address, "form": "table", "writes_per_s": 800,
                    "reads_per_s": 2000, "transaction_ms": 3.0, "partition_writes_s": 300,
                    "row_bytes": crate::store::ROW_BYTES, "across": true, "history_s": 20},
            });
            if is_entry {
                settings["listen_addresses"] = json!({"frontend": first, "readiness": second});
                deployment.callers.push(first);
                deployment.readiness.push(second);
            } else {
                settings["listen_addresses"] = json!({"control_plane": first});
                settings["app"] = json!(second);
                deployment.registries.push(first);
                deployment.executor_addresses.push(second);
            }
            let boot = deployment.folder.join(format!("{name}.json"));
            std::fs::write(&boot, settings.to_string()).expect("a settings file");
            let mut process = Process {
                log: deployment.folder.join(format!("{name}.log")),
                name,
                program: program.clone(),
                arguments: vec![format!("hosted-{role}")],
                boot: Some(boot),
                child: None,
                starts: 0,
                exits: 0,
            };
            process.start();
            if is_entry {
                deployment.entries.push(process);
            } else {
                deployment.agents.push(process);
            }
        }
        for index in 0..deployment.plan.executors {
            let process = Process {
                name: format!("executor-{index}"),
                program: std::env::current_exe().expect("this program"),
                arguments: Vec::new(),
                boot: None,
                log: deployment.folder.join(format!("executor-{index}.err")),
                child: None,
                starts: 0,
                exits: 0,
            };
            deployment.executors.push(process);
            deployment.start_executor(index);
        }
        deployment.wait_ready().await;
        deployment
    }

    /// Starts the executor of a machine as a new incarnation with a new identifier.
    pub fn start_executor(&mut self, index: usize) {
        self.lives += 1;
        let arguments = [
            "executor".to_owned(),
            format!("i-{:08x}", 0x7f3a_0000 + self.lives),
            self.executor_addresses[index].to_string(),
            self.registries[index].to_string(),
            ZONES[index % ZONES.len()].to_owned(),
            format!("r1-{index}"),
            SERVICE.to_owned(),
            self.plan.cpu.to_string(),
            self.plan.max_hold_ms.to_string(),
            self.plan.save_ms.to_string(),
            self.plan.restore_ms.to_string(),
            self.events_path(index).display().to_string(),
        ];
        self.executors[index].arguments = arguments.to_vec();
        self.executors[index].start();
    }

    fn events_path(&self, index: usize) -> PathBuf {
        self.folder.join(format!("executor-{index}.events"))
    }

    /// Starts a process again as the platform does after its end.
    pub fn restart_entry(&mut self, index: usize) {
        self.entries[index].start();
    }

    async fn wait_ready(&mut self) {
        let began = Instant::now();
        loop {
            let mut ready = 0;
            for address in &self.readiness {
                let wait = Duration::from_millis(500);
                let answer = net::call(*address, "GET", HOST, "/readiness", "", wait).await;
                ready += usize::from(answer.is_some_and(|(status, _)| status == 200));
            }
            if ready == self.entries.len() {
                break;
            }
            if began.elapsed() > Duration::from_secs(15) {
                self.say("the entries do not become ready");
                self.finish(2);
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        // Executors register and their agents connect to the leader.
        tokio::time::sleep(Duration::from_secs(5)).await;
    }

    /// Returns the seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Writes a line to `record.txt`.
    pub fn say(&mut self, text: &str) {
        let line = format!("{:8.3}  {text}\n", self.seconds());
        print!("{line}");
        let _ = self.record.write_all(line.as_bytes());
    }

    /// Sends a caller's request to an entry.
    pub async fn request(&self, entry: usize, method: &str, path: &str, body: &str) -> Answer {
        let address = self.callers[entry % self.callers.len()];
        net::call(
            address,
            method,
            HOST,
            path,
            body,
            Duration::from_millis(3000),
        )
        .await
    }

    /// Hands in a submission with up to five attempts, as a requester does; returns whether it was
    /// accepted.
    pub async fn submit(&mut self, path: &str, body: &str) -> bool {
        for attempt in 0..5 {
            let answer = self.request(attempt, "POST", path, body).await;
            let status = answer.as_ref().map_or(0, |(status, _)| *status);
            self.say(&format!("POST {path} ({} bytes): {status}", body.len()));
            if (200..300).contains(&status) {
                return true;
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        false
    }

    /// Reads the state of a submission; empty without an answer.
    pub async fn state(&mut self, path: &str) -> String {
        for entry in 0..self.callers.len() {
            if let Some((200, body)) = self.request(entry, "GET", path, "").await {
                let value: Value = serde_json::from_str(&body).unwrap_or_default();
                return value["state"].as_str().unwrap_or_default().to_owned();
            }
        }
        String::new()
    }

    /// Returns the tasks that run on all executors with their runs, and the processors in use on each;
    /// [`None`] for one that is down.
    pub async fn peek(&self) -> (BTreeMap<String, u64>, Vec<Option<(u64, u64)>>) {
        let (mut runs, mut used) = (BTreeMap::new(), Vec::new());
        for address in &self.executor_addresses {
            let wait = Duration::from_millis(500);
            let answer = net::call(*address, "GET", "peek", "/peek", "", wait).await;
            let Some((200, body)) = answer else {
                used.push(None);
                continue;
            };
            let value: Value = serde_json::from_str(&body).unwrap_or_default();
            for run in value["runs"].as_array().into_iter().flatten() {
                let task = run[0].as_str().unwrap_or_default().to_owned();
                runs.insert(task, run[1].as_u64().unwrap_or(0));
            }
            let number = |name: &str| value[name].as_u64().unwrap_or(0);
            used.push(Some((number("used"), number("unseen"))));
        }
        (runs, used)
    }

    /// Returns all events of the executors in order of time: time in milliseconds since 1970,
    /// executor, event.
    pub fn events(&self) -> Vec<(u64, usize, Value)> {
        let mut events = Vec::new();
        for index in 0..self.plan.executors {
            let text = std::fs::read_to_string(self.events_path(index)).unwrap_or_default();
            for line in text.lines() {
                if let Ok(value) = serde_json::from_str::<Value>(line) {
                    events.push((
                        value["at"].as_u64().unwrap_or(0),
                        index,
                        value["event"].clone(),
                    ));
                }
            }
        }
        events.sort_by_key(|(at, _, _)| *at);
        events
    }

    /// Appends the events of the executors to `record.txt`, at most `limit`, those of `task` first.
    pub fn record_events(&mut self, limit: usize, contains: &str) {
        let events = self.events();
        let chosen: Vec<_> = events
            .iter()
            .filter(|(_, _, event)| event.to_string().contains(contains))
            .take(limit)
            .collect();
        for (at, index, event) in chosen {
            let line = format!("  at {at} executor-{index} {event}\n");
            let _ = self.record.write_all(line.as_bytes());
        }
    }

    /// Counts the lines of all logs of the project's processes that contain `text`, and returns the last.
    pub fn logged(&self, text: &str) -> (usize, String) {
        let (mut count, mut last) = (0, String::new());
        for process in self.entries.iter().chain(&self.agents) {
            let log = std::fs::read_to_string(&process.log).unwrap_or_default();
            for line in log.lines().filter(|line| line.contains(text)) {
                count += 1;
                last = format!(
                    "{}: {}",
                    process.name,
                    line.chars().take(300).collect::<String>()
                );
            }
        }
        (count, last)
    }

    /// Ends all processes, removes the temporary folder and exits.
    pub fn finish(&mut self, code: i32) -> ! {
        let result = match code {
            0 => "the rule held",
            1 => "the rule was broken",
            _ => "the case could not run",
        };
        self.say(&format!("result {code}: {result}"));
        for process in self
            .entries
            .iter_mut()
            .chain(&mut self.agents)
            .chain(&mut self.executors)
        {
            process.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("logs in {}", self.folder.display());
        }
        std::process::exit(code);
    }
}
