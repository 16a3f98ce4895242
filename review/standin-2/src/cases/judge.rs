//! The rule TWICE, applied to the events of the executors.

use std::collections::BTreeMap;

use crate::deploy::Deployment;

/// End `done` of a run.
#[derive(Clone)]
struct DoneEnd {
    executor: usize,
    number: u64,
    at: u64,
}

/// Returns 1 if a task started after a run of it had ended `done`, or while one ran, and else 0.
///
/// An end counts if it is taken note of at any time and the executor's lease has not lapsed between
/// the two. No executor may have crashed.
pub fn starts_again(deployment: &mut Deployment) -> i32 {
    let events = deployment.events();
    let mut done: BTreeMap<String, DoneEnd> = BTreeMap::new();
    let mut noted: Vec<(usize, u64, u64)> = Vec::new();
    let mut lapses: Vec<(usize, u64)> = Vec::new();
    let mut running: BTreeMap<String, usize> = BTreeMap::new();
    let mut again: Vec<(String, DoneEnd, u64)> = Vec::new();
    let (mut starts, mut both) = (0, 0);
    for (at, executor, event) in &events {
        if let Some(start) = event.get("start") {
            let task = start[0].as_str().unwrap_or_default().to_owned();
            starts += 1;
            if let Some(end) = done.get(&task) {
                again.push((task.clone(), end.clone(), *at));
            }
            if running.insert(task, *executor).is_some() {
                both += 1;
            }
        } else if let Some(end) = event.get("end") {
            let task = end[1].as_str().unwrap_or_default().to_owned();
            running.remove(&task);
            if end[3] == "done" {
                let number = end[0].as_u64().unwrap_or(0);
                let end = DoneEnd {
                    executor: *executor,
                    number,
                    at: *at,
                };
                done.insert(task, end);
            }
        } else if let Some(number) = event.get("noted") {
            noted.push((*executor, number.as_u64().unwrap_or(0), *at));
        } else if event.get("lapse").is_some() {
            lapses.push((*executor, *at));
        }
    }
    let is_noted = |end: &DoneEnd| {
        let mut reached = noted.iter();
        let reached = reached
            .find(|(executor, number, _)| *executor == end.executor && *number >= end.number);
        reached.is_some_and(|(_, _, at)| {
            let is_between = |lapse: &u64| (end.at..=*at).contains(lapse);
            !lapses
                .iter()
                .any(|(executor, lapse)| *executor == end.executor && is_between(lapse))
        })
    };
    let broken: Vec<_> = again
        .iter()
        .filter(|(_, end, _)| is_noted(end))
        .cloned()
        .collect();
    deployment.say(&format!(
        "{starts} starts, {} tasks done, {both} two runs at once, {} lapses of a lease",
        done.len(),
        lapses.len()
    ));
    deployment.say(&format!(
        "{} starts after a run of the task had ended done, {} of them after an end that was taken \
         note of then or later",
        again.len(),
        broken.len()
    ));
    if let Some((task, end, at)) = broken.first() {
        let late = at - end.at;
        deployment.say(&format!(
            "the first: {task}, started again {late} ms after its end"
        ));
        deployment.record_events(20, &format!("\"{task}\""));
    }
    i32::from(!broken.is_empty() || both > 0)
}
