//! State of one attempt at the agent, and the capacity that attempts leave.

use turmeric_types::{MonoTime, ResourceSet};

use super::{StartPlan, TaskLoad};
use crate::AttemptStatus;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// A start is due.
    StartDue,
    /// A start was sent and not answered yet.
    Starting,
    /// The worker runs the attempt, as far as the agent knows.
    Running,
    /// A stop is due.
    StopDue,
    /// A stop was sent and not answered yet.
    Stopping,
    /// A stop was answered; lists requested at `mark` or later are final.
    Stopped { mark: u64 },
}

/// What the agent knows of the order to start an attempt.
#[derive(Clone, Debug)]
pub(super) enum AttemptPlan {
    /// An earlier agent was ordered to start it.
    Unknown,
    /// An earlier agent was ordered to start it, and the leader has sent its load since.
    Restored(TaskLoad),
    /// This agent was ordered to start it.
    Ordered(StartPlan),
}

impl AttemptPlan {
    /// Returns the load of the task, if it is known.
    pub(super) fn load(&self) -> Option<&TaskLoad> {
        match self {
            Self::Unknown => None,
            Self::Restored(load) => Some(load),
            Self::Ordered(plan) => Some(&plan.load),
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct TrackedAttempt {
    pub(super) state: AttemptState,
    pub(super) plan: AttemptPlan,
    /// A start was sent, so the worker may have the attempt.
    pub(super) was_sent: bool,
    /// The worker may have carried out a start.
    pub(super) may_have_run: bool,
    /// The start of a suspect is held back until the worker answers a probe.
    pub(super) awaits_probe: bool,
    pub(super) retry_at: MonoTime,
    /// Change counter at an unanswered start. The start is repeated after a later list: the
    /// worker may have restarted meanwhile, or may have the attempt.
    pub(super) unanswered_at: Option<u64>,
    /// Change counter when the attempt became running.
    pub(super) changed_at: u64,
    /// The last list shows it neither running nor ended, and may lack its end.
    pub(super) is_unlisted: bool,
    pub(super) status: AttemptStatus,
    /// The worker has the pace in `status` unless a call is delayed. An earlier agent may have set
    /// another one.
    pub(super) is_pace_known: bool,
}

impl TrackedAttempt {
    /// Returns whether a start was sent that the worker may have carried out.
    pub(super) fn may_be_running(&self) -> bool {
        self.may_have_run || (self.state == AttemptState::Starting && !self.awaits_probe)
    }
}

/// Capacity of a worker that no attempt reserves.
pub(super) struct FreeCapacity {
    pub(super) left: ResourceSet,
    /// The attempts reserve more than the capacity.
    pub(super) is_exceeded: bool,
}

impl FreeCapacity {
    pub(super) fn take(&mut self, reserved: &ResourceSet) {
        self.is_exceeded |= !reserved.fits_in(&self.left);
        self.left = self.left.saturating_sub(reserved);
    }

    /// Returns whether an attempt may be started. One that was sent before is accounted for.
    pub(super) fn can_start(&self, attempt: &TrackedAttempt, load: &TaskLoad) -> bool {
        if attempt.was_sent {
            !self.is_exceeded
        } else {
            load.reserved.fits_in(&self.left)
        }
    }
}
