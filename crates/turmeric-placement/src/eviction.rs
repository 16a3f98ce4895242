//! Policies that choose which batch tasks to evict for urgent work.

use std::fmt;
use std::str::FromStr;

use turmeric_types::{ResourceSet, TaskClass, TaskId};

/// How an entry chooses the tasks to evict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionPolicy {
    /// The task evicted least often first, and of equal ones the one that loses
    /// the least work.
    LeastWorkLost,
    /// The most recently started task first.
    NewestFirst,
    /// The largest task first, so that few tasks are evicted.
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

/// A running task that an eviction may choose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvictionCandidate {
    /// The task.
    pub task: TaskId,
    /// Its class.
    pub class: TaskClass,
    /// Resources that its eviction would free.
    pub resources: ResourceSet,
    /// Work that its eviction is expected to lose, in milliseconds.
    pub lost_millis: u64,
    /// How long this attempt has run, in milliseconds.
    pub run_millis: u64,
    /// Number of earlier evictions.
    pub evictions: u32,
}

/// Evictions after which a task is not chosen again, so that it can finish.
const EVICTION_LIMIT: u32 = 3;

/// Time that an attempt must have run before it may be evicted.
const MIN_RUN_MILLIS: u64 = 500;

/// Chooses tasks to evict on one worker so that `need` fits.
///
/// `free` is what is free on the worker. Returns [`None`] when evicting all
/// tasks that are evictable for `class` would not free enough.
pub fn choose_victims(
    need: &ResourceSet,
    class: TaskClass,
    free: &ResourceSet,
    candidates: &[EvictionCandidate],
    policy: EvictionPolicy,
) -> Option<Vec<TaskId>> {
    let mut eligible: Vec<&EvictionCandidate> = candidates
        .iter()
        .filter(|candidate| is_evictable(candidate, class))
        .collect();
    eligible.sort_by_key(|candidate| eviction_order(candidate, policy));
    let mut available = *free;
    let mut victims = Vec::new();
    for candidate in eligible {
        if need.fits_in(&available) {
            break;
        }
        available = available.checked_add(&candidate.resources)?;
        victims.push(candidate);
    }
    if !need.fits_in(&available) {
        return None;
    }
    drop_unneeded_victims(&mut victims, need, available);
    Some(victims.iter().map(|victim| victim.task).collect())
}

/// Drops victims without which `need` still fits, starting with the last one
/// in eviction order.
///
/// `available` is what is free once all victims are evicted.
fn drop_unneeded_victims(
    victims: &mut Vec<&EvictionCandidate>,
    need: &ResourceSet,
    mut available: ResourceSet,
) {
    for position in (0..victims.len()).rev() {
        let without = available.saturating_sub(&victims[position].resources);
        if need.fits_in(&without) {
            available = without;
            victims.remove(position);
        }
    }
}

/// Returns whether `candidate` may be evicted for a task of `class`.
pub fn is_evictable(candidate: &EvictionCandidate, class: TaskClass) -> bool {
    candidate.class == TaskClass::Batch
        && class > TaskClass::Batch
        && candidate.evictions < EVICTION_LIMIT
        && candidate.run_millis >= MIN_RUN_MILLIS
}

fn eviction_order(candidate: &EvictionCandidate, policy: EvictionPolicy) -> (u64, u64) {
    match policy {
        EvictionPolicy::LeastWorkLost => (u64::from(candidate.evictions), candidate.lost_millis),
        EvictionPolicy::NewestFirst => (candidate.run_millis, 0),
        EvictionPolicy::LargestFirst => {
            let cores = candidate.resources.cores.as_millicores();
            (u64::MAX - cores, candidate.lost_millis)
        }
    }
}
