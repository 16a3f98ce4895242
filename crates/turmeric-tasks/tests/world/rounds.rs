//! Stretches of time in which everything works, or some things do not.

use turmeric_types::SplitMixRandom;

use super::{World, WorldEvent};

impl World {
    /// Lets everything run without failures for a long time.
    pub fn settle(&mut self) {
        self.table.closed_since.clear();
        self.take_over(1, 0);
        self.take_over(1, 1);
        for _ in 0..400 {
            self.round(None, None);
        }
    }

    /// Lets time pass in which steps come in any order and get lost.
    pub(super) fn lossy(&mut self, count: usize, loss_percent: u64, seed: u64) {
        let mut random = SplitMixRandom::new(seed);
        for _ in 0..count {
            self.pass(50);
            for _ in 0..24 {
                let (entry, agent) = (random.next_below(2), random.next_below(3));
                let is_lost = random.next_bits() % 100 < loss_percent;
                match random.next_below(10) {
                    0 if !is_lost => self.confirm(entry),
                    1 | 2 => self.poll(entry, agent),
                    3 | 4 => self.reply(entry, agent, !is_lost),
                    5 => self.append(entry, !is_lost),
                    6 if !is_lost => self.apply(&WorldEvent::Place(entry)),
                    7 if !is_lost => self.status(agent),
                    8 => self.act(agent, !is_lost),
                    9 if is_lost => self.delay_poll(entry, agent),
                    9 => self.deliver_late(agent),
                    _ => {}
                }
                if self.check().is_err() {
                    return;
                }
            }
        }
    }

    /// Lets 100 ms pass in which everything works that is not named.
    pub(super) fn round(&mut self, paused_agent: Option<usize>, cut_entry: Option<usize>) {
        self.pass(100);
        for entry in 0..2 {
            if cut_entry == Some(entry) {
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
                self.act(agent, true);
            }
            self.append(entry, true);
            self.apply(&WorldEvent::Place(entry));
            self.append(entry, true);
        }
    }
}
