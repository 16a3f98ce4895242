//! How fast filling tasks may work beside serving ones.
//!
//! Load pattern: the load of a serving task swings within seconds, and the
//! filling tasks beside it push its tail latency over the target. They are
//! slowed within a reading or two and sped up again in small steps.

/// Tail latency, in thousandths of the target, up to which the share is raised.
const RAISE_PERMILLE: u64 = 900;

/// Tail latency beyond which the share is cut: the target itself.
const CUT_PERMILLE: u64 = 1000;

/// Tail latency beyond which the share is cut to a quarter.
const DEEP_CUT_PERMILLE: u64 = 1400;

/// Tail latency beyond which filling tasks stand still: the users' bound is 4 s
/// over the target on end, and a reading comes every half second.
const STOP_PERMILLE: u64 = 4000;

/// Step by which the share is raised, in percent.
const RAISE_STEP: u32 = 30;

/// Below this share, in percent, a filling task stands still instead.
const SHARE_FLOOR: u32 = 8;

/// Readings over the target, with all that presses standing still, after which
/// the images that are held for light are slowed as well.
const DOUBT_LIMIT: u32 = 2;

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
        let was = self.percent;
        if worst > 1000 && was == 0 {
            self.doubts += 1;
        } else if worst <= RAISE_PERMILLE {
            self.doubts = 0;
        }
        let percent = if worst <= RAISE_PERMILLE {
            (was + RAISE_STEP).min(100)
        } else if worst <= CUT_PERMILLE {
            was
        } else if worst <= DEEP_CUT_PERMILLE {
            was * 6 / 10
        } else if worst <= STOP_PERMILLE {
            was / 4
        } else {
            0
        };
        self.percent = if percent < SHARE_FLOOR { 0 } else { percent };
        (self.percent != was).then_some(PaceChange {
            percent: self.percent,
        })
    }
}
