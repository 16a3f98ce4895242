//! Giving waiting tasks to VMs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use turmeric_types::{MonoTime, WallTime};

use super::JobScheduler;
use super::notes::JobEvent;
use super::vm::HeldRun;
use crate::{
    AttemptKey, AttemptLocation, AttemptNumber, JobCode, JobPhase, JobRank, JobState,
    PlacementFailures, PlacementRequest, TaskName, TaskState, VmCapacity, choose_vm, judge_urgency,
    rank_job,
};

/// A job of which nothing runs for this long may press on serving tasks; the
/// users' bound for work that has room is 3 s.
const STARVED_TERM: Duration = Duration::from_millis(2000);

/// What one round of placement has found so far.
struct PlacementRound {
    rooms: BTreeMap<String, VmCapacity>,
    misses: PlacementFailures,
    now: MonoTime,
    wall: WallTime,
}

/// A task and the VM chosen for it.
struct ChosenPlace {
    task: TaskName,
    run: AttemptNumber,
    vm: String,
}

impl JobScheduler {
    /// Gives waiting tasks to VMs with room; agents learn of it when the store
    /// knows.
    ///
    /// Returns how many tasks were given.
    pub fn place(&mut self, now: MonoTime, wall: WallTime) -> usize {
        if self.is_releasing {
            return 0;
        }
        let rooms: BTreeMap<String, VmCapacity> = self
            .vms
            .iter()
            .filter(|(_, vm)| !self.closed_zones.contains(&vm.zone))
            .filter_map(|(name, vm)| Some((name.clone(), vm.room(name, &self.headroom, now)?)))
            .collect();
        if rooms.is_empty() {
            return 0;
        }
        let mut placed = 0;
        let mut round = PlacementRound {
            rooms,
            misses: PlacementFailures::new(),
            now,
            wall,
        };
        for code in self.jobs_in_order(wall) {
            let chosen = self.choose_places(code, &mut round);
            placed += chosen.len();
            self.note_placed(code, &chosen, wall);
            self.give(code, chosen, now);
        }
        placed
    }

    fn note_placed(&mut self, code: JobCode, chosen: &[ChosenPlace], wall: WallTime) {
        let Some(job) = self.jobs.get(&code).filter(|_| !chosen.is_empty()) else {
            return;
        };
        let urgency = judge_urgency(&job.spec, job.remaining(code), wall);
        let attempts = chosen.iter().map(|place| {
            let key = AttemptKey {
                task: place.task,
                attempt: place.run,
            };
            (key, place.vm.clone())
        });
        self.notes.push(JobEvent::Placed {
            job: code,
            urgency,
            age: wall.since(job.spec.accepted_at),
            attempts: attempts.collect(),
        });
    }

    /// Returns the jobs with tasks that wait, the first to get room first.
    fn jobs_in_order(&self, wall: WallTime) -> Vec<JobCode> {
        let mut ranked: Vec<(JobRank, JobCode)> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.phase.is_terminal() && has_waiting(job))
            .map(|(code, job)| {
                let remaining = job.remaining(*code);
                (rank_job(&job.spec, remaining, wall), *code)
            })
            .collect();
        ranked.sort();
        ranked.into_iter().map(|(_, code)| code).collect()
    }

    fn choose_places(&self, code: JobCode, round: &mut PlacementRound) -> Vec<ChosenPlace> {
        let Some(job) = self.jobs.get(&code) else {
            return Vec::new();
        };
        let service = self
            .queues
            .get(&job.spec.queue.route)
            .map_or(job.spec.queue.service.as_str(), |queue| {
                queue.service.as_str()
            });
        let mut chosen = Vec::new();
        for occurrence in 0..job.spec.occurrences() {
            if !is_due(job, occurrence, round.wall) {
                break;
            }
            for step in 0..job.spec.steps.len() as u32 {
                let step = (occurrence, step);
                chosen.extend(self.choose_step(code, job, service, step, round));
            }
        }
        chosen
    }

    /// Chooses places for the waiting tasks of one step; all or none of a gang.
    fn choose_step(
        &self,
        code: JobCode,
        job: &JobState,
        service: &str,
        (occurrence, number): (u32, u32),
        round: &mut PlacementRound,
    ) -> Vec<ChosenPlace> {
        let Some(step) = job.spec.steps.get(number as usize) else {
            return Vec::new();
        };
        let first = TaskName {
            job: code,
            occurrence,
            step: number,
            index: 0,
        };
        let last = TaskName {
            index: u32::MAX,
            ..first
        };
        let waiting: Vec<TaskName> = job
            .tasks
            .range(first..=last)
            .filter(|(_, state)| state.is_waiting())
            .map(|(name, _)| *name)
            .collect();
        if waiting.is_empty() || !job.is_ready(&first) {
            return Vec::new();
        }
        // Members of a gang start together, after the last attempt is over.
        if step.is_gang && waiting.len() < step.count as usize {
            return Vec::new();
        }
        let request = PlacementRequest {
            service,
            step,
            table: &self.headroom,
            is_starved: false,
        };
        let is_idle = job.tasks.values().all(|state| state.location.is_none());
        let is_starved = is_idle && round.wall > job.spec.accepted_at.after(STARVED_TERM);
        if !is_starved && round.misses.covers(service, step) {
            return Vec::new();
        }
        // Only a gang gives rooms back; copying them for each step of a backlog
        // takes more time than all the rest of a placement.
        let before = step.is_gang.then(|| round.rooms.clone());
        let mut chosen: Vec<ChosenPlace> = Vec::new();
        for task in waiting {
            let placed = |vm: &str| {
                let there = self.vms.get(vm).map_or(0, |vm| vm.count_step(&first));
                there + chosen.iter().filter(|place| place.vm == vm).count() as u32
            };
            let avoided = self.avoided_vm(&task, round.now);
            let open = || {
                round
                    .rooms
                    .values()
                    .filter(move |room| avoided != Some(room.vm.as_str()))
            };
            let found = choose_vm(&request, open(), placed).or_else(|| {
                let starved = PlacementRequest {
                    is_starved: true,
                    ..request
                };
                let is_alone = is_starved && chosen.is_empty();
                is_alone.then(|| choose_vm(&starved, open(), placed))?
            });
            let Some(found) = found else {
                // The room that a gang tried to take is given back.
                if avoided.is_none() && !step.is_gang {
                    round.misses.record(service, step);
                }
                break;
            };
            let vm = found.vm.clone();
            if let Some(room) = round.rooms.get_mut(&vm) {
                room.add(&task, step, &self.headroom);
            }
            let run = job
                .tasks
                .get(&task)
                .map_or(AttemptNumber::default(), |state| state.attempt);
            chosen.push(ChosenPlace {
                task,
                run: run.next(),
                vm,
            });
        }
        if step.is_gang {
            if chosen.len() < step.count as usize {
                if let Some(before) = before {
                    round.rooms = before;
                }
                return Vec::new();
            }
            let run = chosen
                .iter()
                .map(|place| place.run)
                .max()
                .unwrap_or_default();
            for place in &mut chosen {
                place.run = run;
            }
        }
        chosen
    }

    /// Records the chosen places; the store learns of them with the next commit.
    fn give(&mut self, code: JobCode, chosen: Vec<ChosenPlace>, now: MonoTime) {
        if chosen.is_empty() {
            return;
        }
        self.touch(code);
        let Some(job) = self.jobs.get_mut(&code) else {
            return;
        };
        if job.phase == JobPhase::Queued {
            job.phase = JobPhase::Running;
        }
        let revision = job.revision;
        share_checkpoint(job, &chosen);
        for place in chosen {
            let Some(vm) = self.vms.get_mut(&place.vm) else {
                continue;
            };
            let (Some(facts), Some(step), Some(state)) = (
                &vm.facts,
                job.spec.steps.get(place.task.step as usize),
                job.tasks.get_mut(&place.task),
            ) else {
                continue;
            };
            let run_place = AttemptLocation {
                vm: place.vm,
                incarnation: facts.incarnation.clone(),
            };
            state.attempt = place.run;
            state.location = Some(run_place.clone());
            let mut held = HeldRun::recorded(run_place, step);
            held.revision = revision;
            held.moved_at = now;
            held.placed_at = now;
            let key = AttemptKey {
                task: place.task,
                attempt: place.run,
            };
            vm.held.insert(key, held);
        }
    }
}

/// Lets all members of a gang resume from the same checkpoint.
fn share_checkpoint(job: &mut JobState, chosen: &[ChosenPlace]) {
    let gangs: BTreeSet<(u32, u32)> = chosen
        .iter()
        .filter(|place| {
            job.spec
                .steps
                .get(place.task.step as usize)
                .is_some_and(|step| step.is_gang)
        })
        .map(|place| (place.task.occurrence, place.task.step))
        .collect();
    for (occurrence, step) in gangs {
        let members = chosen
            .iter()
            .map(|place| place.task)
            .filter(|task| (task.occurrence, task.step) == (occurrence, step));
        let shared = members
            .clone()
            .filter_map(|task| job.tasks.get(&task))
            .map(|state| state.checkpoint.clone())
            .max()
            .unwrap_or_default();
        for task in members {
            if let Some(state) = job.tasks.get_mut(&task) {
                state.checkpoint.clone_from(&shared);
            }
        }
    }
}

fn has_waiting(job: &JobState) -> bool {
    job.tasks.values().any(TaskState::is_waiting)
}

fn is_due(job: &JobState, occurrence: u32, wall: WallTime) -> bool {
    job.spec.repeat.is_none_or(|repeat| {
        let due = repeat.first_due_at.after(repeat.interval * occurrence);
        wall >= due
    })
}
