//! What the agent watches of the service beside the tasks.

use std::time::Duration;

use turmeric_learning::{
    InterferenceBudget, InterferenceSample, MeterContext, MeterKind, MeterTasks, ServiceMeter,
    ThrottleContext, ThrottleController, ThrottleStep,
};
use turmeric_types::{CoreCount, MonoTime, ServiceName};

/// Latency target before the settings have come.
const FIRST_TARGET: Duration = Duration::from_millis(250);

/// What the worker holds at the time of a look.
#[derive(Clone, Debug)]
pub(crate) struct WorkerView {
    /// Slowdown of the service that is expected of the tasks, in thousandths.
    pub(crate) interference_permille: u64,
    pub(crate) tasks: Vec<MeterTasks>,
    pub(crate) capacity: CoreCount,
}

/// Watches the service beside the tasks, and how fast batch tasks may run.
#[derive(Debug)]
pub(crate) struct ServiceWatch {
    meter: ServiceMeter,
    budget: InterferenceBudget,
    throttle: ThrottleController,
    latency_target: Duration,
    /// Speed of batch tasks that operators allow, in percent.
    speed_ceiling: u32,
    /// Slowdown that was expected at the last look, in thousandths.
    interference_permille: u64,
    /// Speed that the worker has confirmed, in percent.
    confirmed_speed: Option<u32>,
}

impl ServiceWatch {
    pub(crate) fn new() -> Self {
        Self {
            meter: ServiceMeter::new(),
            budget: InterferenceBudget::new(),
            throttle: ThrottleController::new(),
            latency_target: FIRST_TARGET,
            speed_ceiling: 100,
            interference_permille: 0,
            confirmed_speed: None,
        }
    }

    pub(crate) fn set_latency_target(&mut self, target: Duration) {
        self.latency_target = target;
    }

    pub(crate) fn set_speed_ceiling(&mut self, percent: u32) {
        self.speed_ceiling = percent;
    }

    /// Records a request that took `latency` here, `service_micros` of it at
    /// the endpoint.
    pub(crate) fn note_answer(
        &mut self,
        latency: Duration,
        service_micros: u64,
        outstanding: u32,
        now: MonoTime,
    ) {
        self.meter.record_request(service_micros, outstanding);
        self.note_latency(latency, now);
    }

    /// Records a request that took `latency`, with an answer or without.
    pub(crate) fn note_latency(&mut self, latency: Duration, now: MonoTime) {
        let target = self.latency_target;
        self.throttle.record_request(latency, target);
        let speed = u64::from(self.throttle.speed_percent());
        let interference_permille = self.interference_permille * speed / 100;
        self.budget
            .record_request(latency, target, interference_permille, now);
    }

    /// Returns what is known well of the kinds of tasks that run there.
    pub(crate) fn look(
        &mut self,
        service: &ServiceName,
        slots: u32,
        view: &WorkerView,
        now: MonoTime,
    ) -> Vec<(MeterKind, InterferenceSample)> {
        self.interference_permille = view.interference_permille;
        let context = MeterContext {
            service,
            slots,
            capacity: view.capacity,
            tasks: &view.tasks,
            is_full_speed: self.confirmed_speed == Some(100),
        };
        self.meter.collect_samples(&context, now)
    }

    /// Returns the slowdown that the service can bear, in thousandths, once
    /// enough requests are known.
    pub(crate) fn interference_budget(&self) -> Option<u64> {
        self.budget.permille(self.latency_target)
    }

    /// Decides what to do with the batch tasks.
    pub(crate) fn step(&mut self, has_batch: bool, now: MonoTime) -> ThrottleStep {
        let context = ThrottleContext {
            ceiling: self.speed_ceiling,
            late_share: self.budget.late_share(),
            has_batch,
            interference_permille: self.interference_permille,
        };
        self.throttle.step(&context, now)
    }

    /// Returns the speed to ask the worker for, if it has not confirmed it.
    pub(crate) fn unconfirmed_speed(&self) -> Option<u32> {
        let speed = self.throttle.speed_percent();
        (self.confirmed_speed != Some(speed)).then_some(speed)
    }

    pub(crate) fn confirm_speed(&mut self, percent: u32) {
        self.confirmed_speed = Some(percent);
    }
}
