//! Slowing batch tasks while the service beside them misses its target.

use std::time::Duration;

use turmeric_types::MonoTime;

/// Shortest time between two decisions.
const STEP_TIME: Duration = Duration::from_secs(1);

/// Time after which a decision is made with however few requests.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// Requests that a decision to slow tasks needs.
const REQUEST_FLOOR: u32 = 20;

/// Late requests that a decision to slow tasks needs.
const LATE_FLOOR: u32 = 3;

/// How often the share that may be late must be passed; a few late requests
/// more than expected are chance.
const LATE_FACTOR: f64 = 3.0;

/// Lowest speed of batch tasks, in percent.
const SPEED_FLOOR: u32 = 10;

/// Percent of the speed that is left after each step down.
const STEP_DOWN_PERCENT: u32 = 60;

/// Points of speed that each step up gives back.
const STEP_UP: u32 = 10;

/// Decisions in a row without late requests before a step up.
const CALM_STEPS: u32 = 3;

/// Time at the lowest speed after which a task is evicted.
const EVICTION_WAIT: Duration = Duration::from_secs(10);

/// Expected slowdown of the service, in thousandths, below which no batch
/// task is evicted for late requests.
const HARM_FLOOR_PERMILLE: u64 = 50;

/// What a decision rests on, beside the requests.
#[derive(Clone, Copy, Debug)]
pub struct ThrottleContext {
    /// Speed that operators allow, in percent.
    pub ceiling: u32,
    /// Share of the requests that may be late.
    pub late_share: f64,
    /// Whether there are batch tasks to slow.
    pub has_batch: bool,
    /// Slowdown of the service that is expected of all tasks at full speed,
    /// in thousandths.
    pub interference_permille: u64,
}

/// What to do with the batch tasks of the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ThrottleStep {
    /// Nothing.
    Keep,
    /// Run them at this speed, in percent.
    Speed(u32),
    /// Slowing them was not enough: evict one.
    Evict,
}

/// Decides how fast batch tasks run beside a service with a latency target.
///
/// Late requests slow them at once and by much, calm gives speed back slowly.
#[derive(Clone, Debug)]
pub struct ThrottleController {
    speed_percent: u32,
    /// Speed that operators allowed at the last decision.
    ceiling: u32,
    requests: u32,
    late: u32,
    calm_steps: u32,
    decided_at: MonoTime,
    at_floor_since: Option<MonoTime>,
}

impl Default for ThrottleController {
    fn default() -> Self {
        Self::new()
    }
}

impl ThrottleController {
    /// Creates a controller that lets tasks run at full speed.
    pub fn new() -> Self {
        Self {
            speed_percent: 100,
            ceiling: 100,
            requests: 0,
            late: 0,
            calm_steps: 0,
            decided_at: MonoTime::default(),
            at_floor_since: None,
        }
    }

    /// Returns the speed of batch tasks, in percent.
    pub fn speed_percent(&self) -> u32 {
        self.speed_percent
    }

    /// Records a request that took `latency`.
    pub fn note_request(&mut self, latency: Duration, target: Duration) {
        self.requests += 1;
        self.late += u32::from(latency > target);
    }

    /// Decides what to do with the batch tasks.
    ///
    /// Without batch tasks there is nothing to slow, and the next ones begin
    /// at the speed that operators allow.
    pub fn step(&mut self, context: &ThrottleContext, now: MonoTime) -> ThrottleStep {
        let ceiling = context.ceiling;
        let was_slowed = self.speed_percent < self.ceiling;
        let has_moved = ceiling != self.ceiling && !was_slowed;
        self.ceiling = ceiling;
        if !context.has_batch || has_moved || self.speed_percent > ceiling {
            self.reset(now);
            return self.set_speed(ceiling);
        }
        let is_due = now >= self.decided_at.after(STEP_TIME);
        let has_enough = self.requests >= REQUEST_FLOOR;
        if !is_due || !(has_enough || now >= self.decided_at.after(IDLE_TIME)) {
            return ThrottleStep::Keep;
        }
        let bearable = f64::from(self.requests) * context.late_share * LATE_FACTOR;
        let is_late = has_enough && self.late >= LATE_FLOOR && f64::from(self.late) > bearable;
        self.requests = 0;
        self.late = 0;
        self.decided_at = now;
        if is_late {
            self.step_down(context.interference_permille, now)
        } else {
            self.step_up(ceiling)
        }
    }

    fn step_down(&mut self, interference_permille: u64, now: MonoTime) -> ThrottleStep {
        self.calm_steps = 0;
        if self.speed_percent > SPEED_FLOOR {
            let slower = self.speed_percent * STEP_DOWN_PERCENT / 100;
            return self.set_speed(slower.max(SPEED_FLOOR));
        }
        let since = *self.at_floor_since.get_or_insert(now);
        let harm_now = interference_permille * u64::from(self.speed_percent) / 100;
        if now < since.after(EVICTION_WAIT) || harm_now < HARM_FLOOR_PERMILLE {
            return ThrottleStep::Keep;
        }
        self.at_floor_since = Some(now);
        ThrottleStep::Evict
    }

    fn step_up(&mut self, ceiling: u32) -> ThrottleStep {
        self.at_floor_since = None;
        self.calm_steps += 1;
        if self.calm_steps < CALM_STEPS {
            return ThrottleStep::Keep;
        }
        self.set_speed((self.speed_percent + STEP_UP).min(ceiling))
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
        self.late = 0;
        self.calm_steps = 0;
        self.at_floor_since = None;
        self.decided_at = now;
    }
}
