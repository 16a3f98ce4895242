//! Rounds in which everything works, or in which some steps fail.

use turmeric_types::SplitMixRandom;

use super::{World, WorldEvent};

impl World {
    /// Gives all partitions to one entry and runs 400 rounds without failures.
    pub fn run_without_failures(&mut self) {
        self.table.out_of_service_since.clear();
        self.take_over(1, 0);
        self.take_over(1, 1);
        for _ in 0..400 {
            self.run_round(None, None);
        }
    }

    /// Runs rounds of 50 ms with steps in random order, some of which are lost.
    pub(super) fn run_lossy_rounds(&mut self, count: usize, loss_percent: u64, seed: u64) {
        let mut random = SplitMixRandom::new(seed);
        for _ in 0..count {
            self.advance_time(50);
            for _ in 0..24 {
                let (entry, agent) = (random.next_below(2), random.next_below(3));
                let is_lost = random.next_bits() % 100 < loss_percent;
                match random.next_below(10) {
                    0 if !is_lost => self.confirm(entry),
                    1 | 2 => self.poll(entry, agent),
                    3 | 4 => self.reply(entry, agent, !is_lost),
                    5 => self.append(entry, !is_lost),
                    6 if !is_lost => self.apply(&WorldEvent::PlaceTasks(entry)),
                    7 if !is_lost => self.status(agent),
                    8 => self.make_calls(agent, !is_lost),
                    9 if is_lost => self.delay_poll(entry, agent),
                    9 => self.deliver_delayed(agent),
                    _ => {}
                }
                if self.check_invariants().is_err() {
                    return;
                }
            }
        }
    }

    /// Runs a round of 100 ms in which everything works but the given agent and
    /// entry.
    pub(super) fn run_round(&mut self, paused_agent: Option<usize>, isolated_entry: Option<usize>) {
        self.advance_time(100);
        for entry in 0..2 {
            if isolated_entry == Some(entry) {
                continue;
            }
            self.confirm(entry);
            for agent in 0..3 {
                if paused_agent == Some(agent) {
                    continue;
                }
                self.reply(entry, agent, true);
                self.poll(entry, agent);
                self.reply(entry, agent, true);
                self.status(agent);
                self.make_calls(agent, true);
            }
            self.append(entry, true);
            self.apply(&WorldEvent::PlaceTasks(entry));
            self.append(entry, true);
        }
    }
}
