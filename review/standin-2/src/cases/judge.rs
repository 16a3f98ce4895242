//! The rule TWICE, applied to the events of the executors.

use std::collections::BTreeMap;

use crate::deploy::Deployment;

/// Returns 1 if a task started after a run of it had ended `done`, or while one ran, and else 0.
pub fn starts_again(deployment: &mut Deployment) -> i32 {
    let events = deployment.events();
    // End of the run that ended `done`: executor, number of the end, whether a lease lapsed since.
    let mut done: BTreeMap<String, (usize, u64, u64)> = BTreeMap::new();
    let mut noted: BTreeMap<usize, u64> = BTreeMap::new();
    let mut lapsed: Vec<usize> = Vec::new();
    let mut running: BTreeMap<String, (usize, u64)> = BTreeMap::new();
    let mut again: Vec<(String, u64, usize, u64)> = Vec::new();
    let (mut starts, mut both) = (0, 0);
    for (at, executor, event) in &events {
        if let Some(start) = event.get("start") {
            let task = start[0].as_str().unwrap_or_default().to_owned();
            starts += 1;
            if let Some((other, number, ended)) = done.get(&task) {
                again.push((task.clone(), *number, *other, at - ended));
            }
            if running.insert(task, (*executor, 0)).is_some() {
                both += 1;
            }
        } else if let Some(end) = event.get("end") {
            let task = end[1].as_str().unwrap_or_default().to_owned();
            running.remove(&task);
            if end[3] == "done" {
                done.insert(task, (*executor, end[0].as_u64().unwrap_or(0), *at));
            }
        } else if let Some(number) = event.get("noted") {
            noted.insert(*executor, number.as_u64().unwrap_or(0));
        } else if event.get("lapse").is_some() {
            lapsed.push(*executor);
        }
    }
    let broken: Vec<_> = again
        .iter()
        .filter(|(_, number, executor, _)| {
            noted.get(executor).is_some_and(|seen| seen >= number) && !lapsed.contains(executor)
        })
        .collect();
    deployment.say(&format!(
        "{starts} starts, {} tasks done, {both} two runs at once, lapses at {lapsed:?}",
        done.len()
    ));
    deployment.say(&format!(
        "{} starts after a run of the task had ended done, {} of them after an end that \
        was taken note of then or later",
        again.len(),
        broken.len()
    ));
    let first = broken
        .first()
        .map(|(task, _, _, late)| (task.clone(), *late));
    let code = i32::from(!broken.is_empty() || both > 0);
    if let Some((task, late)) = first {
        deployment.say(&format!(
            "the first: {task}, started again {late} ms after its end"
        ));
        deployment.record_events(20, &task);
    }
    code
}
