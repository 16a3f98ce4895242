//! The processes of one test.

mod links;

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use eyre::{Result, bail};
use serde_json::{Value, json};

use links::RegionLinks;

use crate::{BedPlan, HttpAnswer, LoadClient, RequestForm, StandinRecords, TestProcess};

/// Longest wait for processes to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Number of lines of each process's log that a failed test prints.
const SHOWN_LINES: usize = 80;

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time after its start in which a home agent grants no key, because its earlier incarnation
/// may have granted it.
const HOME_PAUSE: Duration = Duration::from_millis(2200);

/// Addresses of one agent and what is beside it.
#[derive(Clone, Copy, Debug)]
pub struct AgentAddresses {
    /// The agent itself.
    pub listen: SocketAddr,
    /// Where entries reach it.
    pub advertise: SocketAddr,
    /// Control path of the relay.
    pub relay_control: SocketAddr,
    /// The worker.
    pub worker: SocketAddr,
    /// The endpoint.
    pub endpoint: SocketAddr,
}

/// The processes of one test.
#[derive(Debug)]
pub struct TestBed {
    /// The client of the test.
    pub client: ClientBox,
    /// The platform stand-in.
    pub platform: TestProcess,
    /// Entries, in order.
    pub entries: Vec<TestProcess>,
    /// Agents, in order.
    pub agents: Vec<TestProcess>,
    /// Workers, in order.
    pub workers: Vec<TestProcess>,
    /// Endpoints, in order.
    pub endpoints: Vec<TestProcess>,
    relays: Vec<TestProcess>,
    links: RegionLinks,
    /// Address of the platform stand-in.
    pub platform_address: SocketAddr,
    /// Addresses of entries for callers and operators.
    pub entry_addresses: Vec<SocketAddr>,
    control_addresses: Vec<SocketAddr>,
    /// Addresses of agents.
    pub agent_addresses: Vec<AgentAddresses>,
    plan: BedPlan,
    directory: PathBuf,
}

/// A client that can be shown in messages.
pub struct ClientBox(pub LoadClient);

impl std::fmt::Debug for ClientBox {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ClientBox")
    }
}

/// Ports that no outgoing connection takes: below the ephemeral ones.
const TEST_PORTS: std::ops::Range<u16> = 12_000..32_000;

/// Returns an address on loopback that is free and stays so until it is used.
///
/// Ephemeral ports would not do: an outgoing connection of another test could
/// take one between this call and its use.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let span = u32::from(TEST_PORTS.end - TEST_PORTS.start);
    let first = std::process::id().wrapping_mul(389) % span;
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = TEST_PORTS.start + ((first + number) % span) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
        assert!(number < span, "no port is free");
    }
}

fn new_directory() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("turmeric-test-{}-{number}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory).expect("the temporary directory can be written");
    directory
}

fn arguments(pairs: &[(&str, String)]) -> Vec<String> {
    pairs
        .iter()
        .flat_map(|(name, value)| [format!("--{name}"), value.clone()])
        .collect()
}

impl TestBed {
    /// Starts everything and waits until it serves.
    pub async fn start(plan: BedPlan) -> Self {
        let directory = new_directory();
        let platform_address = free_address();
        let mut platform_arguments = vec!["platform".to_owned()];
        platform_arguments.extend(arguments(&[("listen", platform_address.to_string())]));
        let platform = TestProcess::start(
            "turmeric-standin",
            &directory,
            "platform",
            &platform_arguments,
        );
        let mut bed = Self {
            client: ClientBox(LoadClient::new()),
            platform,
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            endpoints: Vec::new(),
            relays: Vec::new(),
            links: RegionLinks::default(),
            platform_address,
            entry_addresses: (0..plan.entries).map(|_| free_address()).collect(),
            control_addresses: (0..plan.entries).map(|_| free_address()).collect(),
            agent_addresses: Vec::new(),
            plan,
            directory,
        };
        bed.link_regions();
        for number in 0..bed.plan.entries {
            let entry = bed.spawn_entry(number);
            bed.entries.push(entry);
        }
        for number in 0..bed.plan.agents.len() {
            bed.add_agent(number);
        }
        bed.wait_ready().await;
        if bed.plan.has_homes {
            bed.set_homes().await;
        }
        bed
    }

    /// Starts the process of entry `number` again.
    pub fn restart_entry(&mut self, number: usize) {
        self.entries[number].kill();
        self.entries[number] = self.spawn_entry(number);
    }

    fn spawn_entry(&self, number: usize) -> TestProcess {
        let mut all = vec!["entry".to_owned()];
        all.extend(arguments(&[
            ("id", format!("entry-{number}")),
            ("listen", self.entry_addresses[number].to_string()),
            ("control", self.control_addresses[number].to_string()),
            (
                "platform",
                self.platform_for(&self.plan.entry_regions[number]),
            ),
            ("region", self.plan.entry_regions[number].clone()),
            ("zone", "morava-a".to_owned()),
            ("task-lease", self.plan.task_lease.clone()),
        ]));
        let label = format!("entry-{number}");
        TestProcess::start("turmericd", &self.directory, &label, &all)
    }

    fn add_agent(&mut self, number: usize) {
        let listen = free_address();
        let plan = self.plan.agents[number].clone();
        let (advertise, relay_control) = if plan.has_relay {
            (free_address(), free_address())
        } else {
            (listen, listen)
        };
        self.agent_addresses.push(AgentAddresses {
            listen,
            advertise,
            relay_control,
            worker: free_address(),
            endpoint: free_address(),
        });
        if plan.has_relay {
            let relay = self.spawn_relay(number);
            self.relays.push(relay);
        }
        let worker = self.spawn_worker(number, &plan.cores);
        self.workers.push(worker);
        let agent = self.spawn_agent(number);
        self.agents.push(agent);
        if plan.has_endpoint {
            let endpoint = self.spawn_endpoint(number);
            self.endpoints.push(endpoint);
        }
    }

    fn spawn_relay(&self, number: usize) -> TestProcess {
        let addresses = self.agent_addresses[number];
        let mut all = vec!["relay".to_owned()];
        all.extend(arguments(&[
            ("listen", addresses.advertise.to_string()),
            ("target", addresses.listen.to_string()),
            ("control", addresses.relay_control.to_string()),
        ]));
        let label = format!("relay-{number}");
        TestProcess::start("turmeric-standin", &self.directory, &label, &all)
    }

    /// Starts a worker with `cores` processors at the place of `number`.
    pub fn spawn_worker(&self, number: usize, cores: &str) -> TestProcess {
        let plan = &self.plan.agents[number];
        let mut all = vec!["worker".to_owned()];
        all.extend(arguments(&[
            ("listen", self.agent_addresses[number].worker.to_string()),
            ("platform", self.platform_for(&plan.region)),
            ("name", format!("w{number}")),
            ("cores", cores.to_owned()),
            ("memory", "64 GiB".to_owned()),
            ("accelerators", "2".to_owned()),
            ("clock-permille", plan.clock_permille.to_string()),
        ]));
        let label = format!("worker-{number}");
        TestProcess::start("turmeric-standin", &self.directory, &label, &all)
    }

    /// Starts the agent of `number`.
    pub fn spawn_agent(&self, number: usize) -> TestProcess {
        let addresses = self.agent_addresses[number];
        let region = self.plan.agents[number].region.clone();
        let controls: Vec<String> = (0..self.plan.entries)
            .map(|entry| self.control_for(entry, &region))
            .collect();
        let mut all = vec!["agent".to_owned()];
        all.extend(arguments(&[
            ("worker", format!("w{number}")),
            ("worker-address", addresses.worker.to_string()),
            ("rack", format!("r{}", number / 3)),
            ("listen", addresses.listen.to_string()),
            ("advertise", addresses.advertise.to_string()),
            ("entries", controls.join(",")),
            ("region", region),
            ("zone", self.plan.agents[number].zone.clone()),
            ("task-lease", self.plan.task_lease.clone()),
        ]));
        let label = format!("agent-{number}");
        TestProcess::start("turmericd", &self.directory, &label, &all)
    }

    /// Starts the endpoint of `number`.
    pub fn spawn_endpoint(&self, number: usize) -> TestProcess {
        let addresses = self.agent_addresses[number];
        let micros = self.plan.agents[number].service_micros;
        let mut all = vec!["endpoint".to_owned()];
        all.extend(arguments(&[
            ("listen", addresses.endpoint.to_string()),
            ("agent", addresses.listen.to_string()),
            ("worker", addresses.worker.to_string()),
            ("service", "verdikt".to_owned()),
            ("service-micros", micros.to_string()),
        ]));
        let label = format!("endpoint-{number}");
        TestProcess::start("turmeric-standin", &self.directory, &label, &all)
    }

    /// Waits until every entry knows every agent and all partitions are owned.
    pub async fn wait_ready(&self) {
        let agents = self.plan.agents.len();
        self.wait_until("the processes to be ready", READY_LIMIT, async || {
            let mut owned = 0;
            for entry in &self.entry_addresses {
                let Ok(status) = self.get(*entry, "/v1/status").await else {
                    return false;
                };
                if status["agents"].as_u64() != Some(agents as u64) {
                    return false;
                }
                owned += status["partitions"].as_array().map_or(0, Vec::len);
            }
            owned == usize::from(turmeric_types::PARTITION_COUNT)
        })
        .await;
        let services = self.plan.agents.iter().any(|plan| plan.has_endpoint);
        if services {
            self.wait_until("the service to answer", READY_LIMIT, async || {
                for entry in &self.entry_addresses {
                    if !self.is_served_by(*entry).await {
                        return false;
                    }
                }
                true
            })
            .await;
        }
    }

    async fn is_served_by(&self, entry: SocketAddr) -> bool {
        let answer = self.send(entry, &RequestForm::new("ready")).await;
        answer.is_ok_and(|answer| answer.status.is_success())
    }

    async fn set_homes(&self) {
        let homes: Vec<String> = self
            .agent_addresses
            .iter()
            .map(|addresses| addresses.listen.to_string())
            .collect();
        self.change_settings("/", "key-homes", &homes.join(","))
            .await;
        tokio::time::sleep(HOME_PAUSE).await;
    }

    /// Sets one value and waits until every entry has it in force.
    pub async fn change_settings(&self, path: &str, name: &str, value: &str) -> u64 {
        let change = self.settings_change(path, name, value).await;
        let answer = self
            .post(self.entry_addresses[0], "/v1/settings/change", &change)
            .await
            .expect("an entry answers");
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        assert!(answer.status.is_success(), "the change was refused: {body}");
        let version = body["version"].as_u64().expect("an answer has a version");
        self.wait_until("the change in force", READY_LIMIT, async || {
            for entry in &self.entry_addresses {
                let status = self.get(*entry, "/v1/status").await.unwrap_or_default();
                if status["settings_version"].as_u64() < Some(version) {
                    return false;
                }
            }
            true
        })
        .await;
        version
    }

    /// Builds a change of one value on the newest version.
    pub async fn settings_change(&self, path: &str, name: &str, value: &str) -> Value {
        let tree = self
            .get(self.entry_addresses[0], "/v1/settings")
            .await
            .expect("an entry answers");
        json!({
            "id": uuid::Uuid::new_v4(),
            "base": tree["version"],
            "author": "test",
            "changed_at": 0,
            "edits": [{ "path": path, "name": name, "value": value }],
        })
    }

    /// Submits a job; returns its identifier.
    pub async fn submit(&self, class: &str, cores: &str, work_millis: u64, count: u32) -> String {
        let job = crate::new_job_id();
        self.submit_as(&job, "leather", class, cores, work_millis, count)
            .await;
        job
    }

    /// Submits a job under an identifier until it is durable.
    pub async fn submit_as(
        &self,
        job: &str,
        team: &str,
        class: &str,
        cores: &str,
        work_millis: u64,
        count: u32,
    ) {
        let form = json!({
            "job": job, "team": team, "class": class, "cores": cores,
            "memory": "1 GiB", "accelerators": 0,
            "work_millis": work_millis, "count": count,
        });
        self.submit_form(&form).await;
    }

    /// Submits a job, as teams write it, until it is durable.
    pub async fn submit_form(&self, form: &Value) {
        self.wait_until("the job to be taken", READY_LIMIT, async || {
            for entry in &self.entry_addresses {
                if let Ok(answer) = self.post(*entry, "/v1/jobs", form).await
                    && answer.status.is_success()
                {
                    return true;
                }
            }
            false
        })
        .await;
    }

    /// Returns the tasks of a job as its owner shows them.
    pub async fn tasks_of(&self, job: &str) -> Vec<Value> {
        let mut tasks = Vec::new();
        for entry in &self.entry_addresses {
            let path = format!("/v1/tasks?job={job}");
            if let Ok(Value::Array(found)) = self.get(*entry, &path).await {
                tasks.extend(found);
            }
        }
        tasks
    }

    /// Waits until `count` tasks of a job are in `phase`.
    pub async fn wait_phase(&self, job: &str, phase: &str, count: usize, limit: Duration) {
        let text = format!("{count} tasks {phase}");
        self.wait_until(&text, limit, async || {
            let tasks = self.tasks_of(job).await;
            tasks.iter().filter(|task| task["phase"] == phase).count() == count
        })
        .await;
    }

    /// Waits until `count` attempts use a worker.
    pub async fn wait_running(&self, job: &str, count: usize, limit: Duration) {
        self.wait_until("the tasks to run", limit, async || {
            self.running(job).await == count
        })
        .await;
    }

    /// Returns how many attempts of a job use a worker now.
    pub async fn running(&self, job: &str) -> usize {
        let records = self.records().await;
        records
            .workers
            .iter()
            .flat_map(|worker| &worker.intervals)
            .filter(|interval| interval.ended_at.is_none() && interval.task.job.to_string() == job)
            .count()
    }

    /// Returns the control address of an entry.
    pub fn control_address(&self, number: usize) -> SocketAddr {
        self.control_addresses[number]
    }

    /// Reads what workers and endpoints really did.
    pub async fn records(&self) -> StandinRecords {
        let workers: Vec<SocketAddr> = self
            .agent_addresses
            .iter()
            .map(|addresses| addresses.worker)
            .collect();
        let endpoints: Vec<SocketAddr> = self
            .agent_addresses
            .iter()
            .zip(&self.plan.agents)
            .filter(|(_, plan)| plan.has_endpoint)
            .map(|(addresses, _)| addresses.endpoint)
            .collect();
        StandinRecords::read(&self.client.0, &endpoints, &workers).await
    }

    /// Switches the faults of a stand-in.
    pub async fn set_fault(&self, address: SocketAddr, plan: Value) {
        let answer = self.post(address, "/control", &plan).await;
        let answer = answer.expect("the stand-in answers");
        assert!(answer.status.is_success(), "the fault was not set");
    }

    /// Sends a request of a caller.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer comes.
    pub async fn send(&self, entry: SocketAddr, form: &RequestForm) -> Result<HttpAnswer> {
        self.client.0.send(form.build(entry)).await
    }

    /// Reads JSON.
    ///
    /// # Errors
    ///
    /// Fails when there is no good answer.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Value> {
        self.client.0.get_json(address, path).await
    }

    /// Sends JSON.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer.
    pub async fn post(&self, address: SocketAddr, path: &str, body: &Value) -> Result<HttpAnswer> {
        self.client.0.post_json(address, path, body).await
    }

    /// Looks until `is_true` says so.
    ///
    /// # Panics
    ///
    /// Panics after `limit`.
    pub async fn wait_until(
        &self,
        text: &str,
        limit: Duration,
        mut is_true: impl AsyncFnMut() -> bool,
    ) {
        let end = Instant::now() + limit;
        while !is_true().await {
            assert!(Instant::now() < end, "waited {limit:?} for {text}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the last lines of the logs of all processes.
    pub fn log_ends(&self) -> String {
        let mut text = String::new();
        let files = std::fs::read_dir(&self.directory).into_iter().flatten();
        for path in files.flatten().map(|file| file.path()) {
            let log = std::fs::read_to_string(&path).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            let first = lines.len().saturating_sub(SHOWN_LINES);
            text.push_str(&format!("--- {}\n", path.display()));
            text.push_str(&lines[first..].join("\n"));
            text.push('\n');
        }
        text
    }

    /// Waits for one thing of a kind in the time line of a process.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
    pub async fn events(&self, address: SocketAddr, kind: &str) -> Result<Vec<Value>> {
        let page = self.get(address, "/v1/timeline").await?;
        let Value::Array(events) = &page["events"] else {
            bail!("no events");
        };
        Ok(events
            .iter()
            .filter(|event| event["kind"] == kind)
            .cloned()
            .collect())
    }
}

impl Drop for TestBed {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // The folder of a run in CI is lost with it.
            let directory = self.directory.display();
            eprintln!("the logs stay in {directory}\n{}", self.log_ends());
            return;
        }
        // The processes end with their own values.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
