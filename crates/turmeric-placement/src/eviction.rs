//! Policies that choose which batch tasks make room for urgent work.

use std::fmt;
use std::str::FromStr;

use turmeric_types::{ResourceSet, TaskClass, TaskId};

/// How an entry chooses the tasks to evict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionPolicy {
    /// Least work lost first; a task that was evicted often is kept.
    LeastWorkLost,
    /// The task that started last first.
    NewestFirst,
    /// The largest task first, so that fewest tasks are evicted.
    LargestFirst,
}

impl fmt::Display for EvictionPolicy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::LeastWorkLost => "least-work-lost",
            Self::NewestFirst => "newest-first",
            Self::LargestFirst => "largest-first",
        })
    }
}

impl FromStr for EvictionPolicy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "least-work-lost" => Ok(Self::LeastWorkLost),
            "newest-first" => Ok(Self::NewestFirst),
            "largest-first" => Ok(Self::LargestFirst),
            _ => Err(format!(
                "{text:?} is not an eviction policy; expected least-work-lost, newest-first or largest-first"
            )),
        }
    }
}

/// A running task that may be evicted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VictimTask {
    /// The task.
    pub task: TaskId,
    /// Its class.
    pub class: TaskClass,
    /// What it would give back.
    pub resources: ResourceSet,
    /// Work that an eviction is expected to lose, in milliseconds.
    pub lost_millis: u64,
    /// How long it has run in this attempt, in milliseconds.
    pub run_millis: u64,
    /// How often it was evicted before.
    pub evictions: u32,
}

/// A task evicted this often is never chosen again, so that it ends.
const EVICTION_LIMIT: u32 = 3;

/// A task that started less than this time ago is not chosen.
const SETTLE_MILLIS: u64 = 500;

/// Chooses tasks to evict on one worker so that `need` fits.
///
/// `free` is what is left on the worker. Returns [`None`] when evicting all
/// eligible tasks of a lower class than `class` would not be enough.
pub fn choose_victims(
    need: &ResourceSet,
    class: TaskClass,
    free: &ResourceSet,
    running: &[VictimTask],
    policy: EvictionPolicy,
) -> Option<Vec<TaskId>> {
    let mut eligible: Vec<&VictimTask> = running
        .iter()
        .filter(|victim| is_victim(victim, class))
        .collect();
    eligible.sort_by_key(|victim| eviction_order(victim, policy));
    let mut available = *free;
    let mut victims = Vec::new();
    for victim in eligible {
        if need.fits_in(&available) {
            break;
        }
        available = available.checked_add(&victim.resources)?;
        victims.push(victim);
    }
    if !need.fits_in(&available) {
        return None;
    }
    spare_needless(&mut victims, need, available);
    Some(victims.iter().map(|victim| victim.task).collect())
}

/// Takes back victims without which `need` fits too, the dearest first.
///
/// `available` is what is left when all victims are gone.
fn spare_needless(victims: &mut Vec<&VictimTask>, need: &ResourceSet, mut available: ResourceSet) {
    for place in (0..victims.len()).rev() {
        let without = available.saturating_sub(&victims[place].resources);
        if need.fits_in(&without) {
            available = without;
            victims.remove(place);
        }
    }
}

/// Returns whether `victim` may be evicted for a task of `class`.
pub fn is_victim(victim: &VictimTask, class: TaskClass) -> bool {
    victim.class == TaskClass::Batch
        && class > TaskClass::Batch
        && victim.evictions < EVICTION_LIMIT
        && victim.run_millis >= SETTLE_MILLIS
}

fn eviction_order(victim: &VictimTask, policy: EvictionPolicy) -> (u64, u64) {
    match policy {
        EvictionPolicy::LeastWorkLost => (u64::from(victim.evictions), victim.lost_millis),
        EvictionPolicy::NewestFirst => (victim.run_millis, 0),
        EvictionPolicy::LargestFirst => {
            let cores = victim.resources.cores.as_millicores();
            (u64::MAX - cores, victim.lost_millis)
        }
    }
}
