//! What the processes of one test are.

/// Region of the platform stand-in, and of everything not said otherwise.
pub(crate) const HOME_REGION: &str = "morava";

/// How one agent, its worker and its endpoint are started.
#[derive(Clone, Debug)]
pub struct AgentPlan {
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// Processors of the VM.
    pub cores: String,
    /// Rate of the worker's clock, in permille of the true one.
    pub clock_permille: u64,
    /// Time of the endpoint for one request, in microseconds.
    pub service_micros: u64,
    /// Whether entries reach the agent through a relay.
    pub has_relay: bool,
    /// Whether an endpoint runs beside the agent.
    pub has_endpoint: bool,
}

impl AgentPlan {
    /// Creates the plan of a VM of 16 cores in `zone`.
    pub fn new(zone: &str) -> Self {
        Self {
            region: HOME_REGION.to_owned(),
            zone: zone.to_owned(),
            cores: "16".to_owned(),
            clock_permille: 1000,
            service_micros: 3000,
            has_relay: false,
            has_endpoint: true,
        }
    }

    /// Changes the region.
    pub fn with_region(mut self, region: &str) -> Self {
        self.region = region.to_owned();
        self
    }

    /// Changes the processors of the VM.
    pub fn with_cores(mut self, cores: &str) -> Self {
        self.cores = cores.to_owned();
        self
    }

    /// Changes the rate of the worker's clock.
    pub fn with_clock_permille(mut self, permille: u64) -> Self {
        self.clock_permille = permille;
        self
    }

    /// Changes the endpoint's time for one request.
    pub fn with_service_micros(mut self, micros: u64) -> Self {
        self.service_micros = micros;
        self
    }

    /// Puts a relay between entries and the agent.
    pub fn with_relay(mut self) -> Self {
        self.has_relay = true;
        self
    }

    /// Starts no endpoint beside the agent.
    pub fn without_endpoint(mut self) -> Self {
        self.has_endpoint = false;
        self
    }
}

/// What to start.
#[derive(Clone, Debug)]
pub struct BedPlan {
    /// Number of entries.
    pub entries: usize,
    /// Regions of the entries, in order.
    pub entry_regions: Vec<String>,
    /// The agents.
    pub agents: Vec<AgentPlan>,
    /// Time for which a task runs on without word from its owner.
    pub task_lease: String,
    /// Whether key homes are set.
    pub has_homes: bool,
}

impl BedPlan {
    /// Creates a plan with these agents and entries.
    pub fn new(entries: usize, agents: Vec<AgentPlan>) -> Self {
        Self {
            entries,
            entry_regions: vec![HOME_REGION.to_owned(); entries],
            agents,
            task_lease: "4s".to_owned(),
            has_homes: true,
        }
    }

    /// Changes the region of an entry.
    pub fn with_entry_region(mut self, entry: usize, region: &str) -> Self {
        self.entry_regions[entry] = region.to_owned();
        self
    }

    /// Changes the task lease.
    pub fn with_task_lease(mut self, lease: &str) -> Self {
        self.task_lease = lease.to_owned();
        self
    }

    /// Sets no key homes.
    pub fn without_homes(mut self) -> Self {
        self.has_homes = false;
        self
    }
}
