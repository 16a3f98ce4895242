//! The life cycle of a process, from start to planned stop.

use statig::prelude::*;

/// An event that can change the state of a process.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LifecycleEvent {
    /// The process is ready to serve.
    Prepared,
    /// A planned stop was requested.
    StopAsked,
    /// Nothing is in progress any longer.
    Idle,
}

/// State machine of the life cycle of a process.
#[derive(Debug, Default)]
pub(crate) struct ProcessLifecycle;

#[state_machine(
    initial = "State::starting()",
    state(derive(Debug, Clone, PartialEq, Eq))
)]
impl ProcessLifecycle {
    #[state]
    fn starting(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Prepared => Transition(State::serving()),
            LifecycleEvent::StopAsked => Transition(State::draining()),
            LifecycleEvent::Idle => Handled,
        }
    }

    #[state]
    fn serving(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::StopAsked => Transition(State::draining()),
            LifecycleEvent::Prepared | LifecycleEvent::Idle => Handled,
        }
    }

    #[state]
    fn draining(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Idle => Transition(State::stopped()),
            LifecycleEvent::Prepared | LifecycleEvent::StopAsked => Handled,
        }
    }

    #[state]
    fn stopped(event: &LifecycleEvent) -> Outcome<State> {
        let _ = event;
        Handled
    }
}

/// The life cycle, shared by all async tasks of a process.
pub(crate) struct SharedLifecycle {
    machine: std::sync::Mutex<StateMachine<ProcessLifecycle>>,
}

impl SharedLifecycle {
    pub(crate) fn new() -> Self {
        Self {
            machine: std::sync::Mutex::new(ProcessLifecycle.state_machine()),
        }
    }

    /// Applies an event.
    pub(crate) fn handle(&self, event: LifecycleEvent) {
        self.lock().handle(&event);
    }

    pub(crate) fn is_serving(&self) -> bool {
        *self.lock().state() == State::serving()
    }

    /// Returns whether a planned stop has been requested, also after it is complete.
    pub(crate) fn is_draining(&self) -> bool {
        let machine = self.lock();
        *machine.state() == State::draining() || *machine.state() == State::stopped()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, StateMachine<ProcessLifecycle>> {
        self.machine
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
