//! Monitors the service that runs beside the tasks.

use std::time::Duration;

use turmeric_learning::{
    InterferenceBudget, InterferenceSample, MeterContext, MeterKind, MeterTasks, ServiceMeter,
    ThrottleContext, ThrottleController, ThrottleStep,
};
use turmeric_types::{CoreCount, MonoTime, ServiceName};

/// Latency target until the settings have arrived.
const INITIAL_LATENCY_TARGET: Duration = Duration::from_millis(250);

/// Tasks and capacity of the worker when samples are collected.
#[derive(Clone, Debug)]
pub(crate) struct WorkerView {
    /// Slowdown of the service that the tasks are expected to cause, in thousandths.
    pub(crate) interference_permille: u64,
    pub(crate) tasks: Vec<MeterTasks>,
    pub(crate) capacity: CoreCount,
}

/// Monitors the service beside the tasks, and decides how fast batch tasks may run.
#[derive(Debug)]
pub(crate) struct ServiceWatch {
    meter: ServiceMeter,
    budget: InterferenceBudget,
    throttle: ThrottleController,
    latency_target: Duration,
    /// Maximum speed of batch tasks set by operators, in percent.
    speed_ceiling: u32,
    /// Slowdown that was expected when samples were last collected, in thousandths.
    interference_permille: u64,
    /// Speed of batch tasks that the worker has confirmed, in percent.
    confirmed_speed: Option<u32>,
}

impl ServiceWatch {
    pub(crate) fn new() -> Self {
        Self {
            meter: ServiceMeter::new(),
            budget: InterferenceBudget::new(),
            throttle: ThrottleController::new(),
            latency_target: INITIAL_LATENCY_TARGET,
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

    /// Records a request with a response that took `latency` at this agent,
    /// `service_micros` of it at the endpoint.
    pub(crate) fn record_response(
        &mut self,
        latency: Duration,
        service_micros: u64,
        outstanding: u32,
        now: MonoTime,
    ) {
        self.meter.record_request(service_micros, outstanding);
        self.record_latency(latency, now);
    }

    /// Records a request that took `latency`, with or without a response.
    pub(crate) fn record_latency(&mut self, latency: Duration, now: MonoTime) {
        let target = self.latency_target;
        self.throttle.record_request(latency, target);
        let speed = u64::from(self.throttle.speed_percent());
        let interference_permille = self.interference_permille * speed / 100;
        self.budget
            .record_request(latency, target, interference_permille, now);
    }

    /// Returns the interference samples that are now reliable, by kind of running task.
    pub(crate) fn collect_samples(
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

    /// Returns the slowdown that the service tolerates, in thousandths, once
    /// enough requests have been recorded.
    pub(crate) fn interference_budget(&self) -> Option<u64> {
        self.budget.permille(self.latency_target)
    }

    /// Decides whether to change the speed of batch tasks or to evict one.
    pub(crate) fn step(&mut self, has_batch: bool, now: MonoTime) -> ThrottleStep {
        let context = ThrottleContext {
            ceiling: self.speed_ceiling,
            late_share: self.budget.late_share(),
            has_batch,
            interference_permille: self.interference_permille,
        };
        self.throttle.step(&context, now)
    }

    /// Returns the speed to request from the worker, unless it has confirmed it.
    pub(crate) fn unconfirmed_speed(&self) -> Option<u32> {
        let speed = self.throttle.speed_percent();
        (self.confirmed_speed != Some(speed)).then_some(speed)
    }

    pub(crate) fn confirm_speed(&mut self, percent: u32) {
        self.confirmed_speed = Some(percent);
    }
}
