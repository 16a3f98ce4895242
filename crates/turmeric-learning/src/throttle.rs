//! Slows batch tasks while the service on the same VM misses its latency target.

use std::time::Duration;

use turmeric_types::MonoTime;

/// Shortest time between two decisions.
const MIN_STEP_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a decision is made regardless of the number of requests.
const MAX_STEP_INTERVAL: Duration = Duration::from_secs(5);

/// Requests needed for a decision to slow tasks.
const REQUEST_FLOOR: u32 = 20;

/// Late requests needed for a decision to slow tasks.
const LATE_FLOOR: u32 = 3;

/// Factor by which the allowed share of late requests must be exceeded to slow
/// tasks; a few more late requests than expected are chance.
const LATE_FACTOR: f64 = 3.0;

/// Lowest speed of batch tasks, in percent.
const SPEED_FLOOR: u32 = 10;

/// Speed after a step down, in percent of the speed before.
const STEP_DOWN_PERCENT: u32 = 60;

/// Speed that is regained with each step up, in percentage points.
const STEP_UP_POINTS: u32 = 10;

/// Consecutive decisions without too many late requests that lead to a step up.
const ON_TIME_STEPS: u32 = 3;

/// Time at the lowest speed after which a task is evicted.
const EVICTION_WAIT: Duration = Duration::from_secs(10);

/// Expected slowdown of the service, in thousandths, below which no batch
/// task is evicted for late requests.
const EVICTION_FLOOR_PERMILLE: u64 = 50;

/// Input of a decision other than the recorded requests.
#[derive(Clone, Copy, Debug)]
pub struct ThrottleContext {
    /// Highest speed that operators allow, in percent.
    pub ceiling: u32,
    /// Share of the requests that may be late.
    pub late_share: f64,
    /// Whether there are batch tasks to slow.
    pub has_batch: bool,
    /// Slowdown of the service that is expected of all tasks at full speed,
    /// in thousandths.
    pub interference_permille: u64,
}

/// Decision on the batch tasks of the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ThrottleStep {
    /// Change nothing.
    Keep,
    /// Run them at this speed, in percent.
    Speed(u32),
    /// Evict one of them, as slowing was not enough.
    Evict,
}

/// Decides how fast batch tasks run on the VM of a service with a latency target.
///
/// Late requests slow the tasks quickly; the speed recovers slowly once requests
/// are on time.
#[derive(Clone, Debug)]
pub struct ThrottleController {
    speed_percent: u32,
    /// Highest speed that operators allowed at the last decision, in percent.
    ceiling: u32,
    requests: u32,
    late_requests: u32,
    on_time_steps: u32,
    decided_at: MonoTime,
    at_floor_since: Option<MonoTime>,
}

impl Default for ThrottleController {
    fn default() -> Self {
        Self::new()
    }
}

impl ThrottleController {
    /// Creates a controller with batch tasks at full speed.
    pub fn new() -> Self {
        Self {
            speed_percent: 100,
            ceiling: 100,
            requests: 0,
            late_requests: 0,
            on_time_steps: 0,
            decided_at: MonoTime::default(),
            at_floor_since: None,
        }
    }

    /// Returns the speed of batch tasks, in percent.
    pub fn speed_percent(&self) -> u32 {
        self.speed_percent
    }

    /// Records a request that took `latency`.
    pub fn record_request(&mut self, latency: Duration, target: Duration) {
        self.requests += 1;
        self.late_requests += u32::from(latency > target);
    }

    /// Decides what to do with the batch tasks.
    ///
    /// While there are no batch tasks, the speed is reset to the one that operators
    /// allow, so that the next ones start with it.
    pub fn step(&mut self, context: &ThrottleContext, now: MonoTime) -> ThrottleStep {
        let ceiling = context.ceiling;
        let was_slowed = self.speed_percent < self.ceiling;
        let has_new_ceiling = ceiling != self.ceiling && !was_slowed;
        self.ceiling = ceiling;
        if !context.has_batch || has_new_ceiling || self.speed_percent > ceiling {
            self.reset(now);
            return self.set_speed(ceiling);
        }
        let is_due = now >= self.decided_at.after(MIN_STEP_INTERVAL);
        let has_enough = self.requests >= REQUEST_FLOOR;
        if !is_due || !(has_enough || now >= self.decided_at.after(MAX_STEP_INTERVAL)) {
            return ThrottleStep::Keep;
        }
        let tolerable = f64::from(self.requests) * context.late_share * LATE_FACTOR;
        let has_too_many_late = has_enough
            && self.late_requests >= LATE_FLOOR
            && f64::from(self.late_requests) > tolerable;
        self.requests = 0;
        self.late_requests = 0;
        self.decided_at = now;
        if has_too_many_late {
            self.step_down(context.interference_permille, now)
        } else {
            self.step_up(ceiling)
        }
    }

    fn step_down(&mut self, interference_permille: u64, now: MonoTime) -> ThrottleStep {
        self.on_time_steps = 0;
        if self.speed_percent > SPEED_FLOOR {
            let slower = self.speed_percent * STEP_DOWN_PERCENT / 100;
            return self.set_speed(slower.max(SPEED_FLOOR));
        }
        let since = *self.at_floor_since.get_or_insert(now);
        let current_permille = interference_permille * u64::from(self.speed_percent) / 100;
        if now < since.after(EVICTION_WAIT) || current_permille < EVICTION_FLOOR_PERMILLE {
            return ThrottleStep::Keep;
        }
        self.at_floor_since = Some(now);
        ThrottleStep::Evict
    }

    fn step_up(&mut self, ceiling: u32) -> ThrottleStep {
        self.at_floor_since = None;
        self.on_time_steps += 1;
        if self.on_time_steps < ON_TIME_STEPS {
            return ThrottleStep::Keep;
        }
        self.set_speed((self.speed_percent + STEP_UP_POINTS).min(ceiling))
    }

    fn set_speed(&mut self, speed_percent: u32) -> ThrottleStep {
        if self.speed_percent == speed_percent {
            return ThrottleStep::Keep;
        }
        self.speed_percent = speed_percent;
        ThrottleStep::Speed(speed_percent)
    }

    fn reset(&mut self, now: MonoTime) {
        self.requests = 0;
        self.late_requests = 0;
        self.on_time_steps = 0;
        self.at_floor_since = None;
        self.decided_at = now;
    }
}
