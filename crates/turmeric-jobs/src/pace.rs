//! How fast filling tasks may work beside serving ones.
//!
//! Load pattern: the load of a serving task swings within seconds, and the
//! filling tasks beside it push its tail latency over the target. They are
//! slowed within a reading or two and sped up again in small steps.

/// Tail latency at which filling tasks are slowed, in thousandths of the
/// target: some room, since readings are half a second old.
const SLOW_PERMILLE: u64 = 850;

/// Tail latency below which filling tasks are sped up again.
const SPEED_UP_PERMILLE: u64 = 600;

/// Step by which the share is raised, in percent.
const RAISE_STEP: u32 = 15;

/// Below this share, in percent, a filling task stands still instead.
const SHARE_FLOOR: u32 = 15;

/// One reading of a serving task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceSample {
    /// Tail latency, in milliseconds.
    pub tail_millis: u64,
    /// Tail latency that it must keep, in milliseconds.
    pub target_millis: u64,
}

impl PaceSample {
    /// Returns the tail latency in thousandths of the target.
    pub fn permille(&self) -> u64 {
        self.tail_millis * 1000 / self.target_millis.max(1)
    }
}

/// What to tell the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceChange {
    /// Share of its speed at which each filling task works, in percent.
    pub percent: u32,
}

/// Readings over the target, with all that presses standing still, after which
/// the images that are held for light are slowed as well.
const DOUBT_LIMIT: u32 = 2;

/// The share at which filling tasks of one VM work.
#[derive(Clone, Copy, Debug)]
pub struct PaceControl {
    percent: u32,
    /// Readings in a row over the target although all that presses stood still.
    doubts: u32,
}

impl Default for PaceControl {
    fn default() -> Self {
        Self {
            percent: 100,
            doubts: 0,
        }
    }
}

impl PaceControl {
    /// Returns the present share, in percent.
    pub fn percent(&self) -> u32 {
        self.percent
    }

    /// Returns whether the images that are held for light are slowed as well.
    pub fn slows_light(&self) -> bool {
        self.doubts >= DOUBT_LIMIT
    }

    /// Takes in the worst reading of the VM's serving tasks, in thousandths of
    /// the target.
    ///
    /// Returns the new share when it changes.
    pub fn take_worst(&mut self, worst: u64) -> Option<PaceChange> {
        let percent = if worst > 1000 {
            0
        } else if worst > SLOW_PERMILLE {
            let half = self.percent / 2;
            if half < SHARE_FLOOR { 0 } else { half }
        } else if worst < SPEED_UP_PERMILLE {
            (self.percent + RAISE_STEP).min(100)
        } else {
            self.percent
        };
        if worst > 1000 && self.percent == 0 {
            self.doubts += 1;
        } else if worst < SPEED_UP_PERMILLE {
            self.doubts = 0;
        }
        let has_changed = percent != self.percent;
        self.percent = percent;
        has_changed.then_some(PaceChange { percent })
    }
}
