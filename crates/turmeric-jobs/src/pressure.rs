//! Which images press on the serving tasks beside them.
//!
//! Load pattern: filling tasks of several images come and go beside serving
//! tasks; some images multiply the tail latency, others leave it alone. Which
//! ones is told by the coarse readings of all VMs together, within a few
//! seconds of an image's first task.

use std::collections::BTreeMap;

/// Readings over the target after which an image counts as pressing.
const BAD_LIMIT: u32 = 2;

/// Readings within the target after which an image counts as light.
const GOOD_LIMIT: u32 = 8;

/// Of the readings beside a light image at most this share is over the target,
/// in thousandths; serving tasks alone are over it in less than 20.
const BAD_PERMILLE: u32 = 60;

/// Evidence is halved at this many readings, so that a changed image is seen.
const EVIDENCE_LIMIT: u32 = 400;

/// Tail latency within which a reading speaks for an image, in thousandths of
/// the target.
const GOOD_PERMILLE: u32 = 850;

/// What the readings say of an image.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PressureClass {
    /// Leaves the tasks beside it alone.
    Light,
    /// Not seen often enough.
    Unknown,
    /// Presses on the tasks beside it.
    Pressing,
}

/// One reading of a VM on which tasks fill and serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PressureSample {
    /// Worst tail latency of a serving task, in thousandths of its target.
    pub worst_permille: u32,
    /// Images that filled at full speed all the while.
    pub images: Vec<String>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ImageEvidence {
    good: u32,
    bad: u32,
}

impl ImageEvidence {
    fn class(self) -> PressureClass {
        let total = self.good + self.bad;
        let is_bad = self.bad * 1000 > total * BAD_PERMILLE;
        if is_bad && self.bad >= BAD_LIMIT {
            PressureClass::Pressing
        } else if !is_bad && self.good >= GOOD_LIMIT {
            PressureClass::Light
        } else {
            PressureClass::Unknown
        }
    }
}

/// Which images press on the serving tasks beside them.
#[derive(Clone, Debug, Default)]
pub struct PressureTable {
    images: BTreeMap<String, ImageEvidence>,
}

impl PressureTable {
    /// Creates a table without evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a reading.
    pub fn take_sample(&mut self, sample: &PressureSample) {
        let is_bad = sample.worst_permille > 1000;
        if !is_bad && sample.worst_permille > GOOD_PERMILLE {
            return;
        }
        // Where an image is known to press, the others are not to blame.
        let has_culprit = sample
            .images
            .iter()
            .any(|image| self.class(image) == PressureClass::Pressing);
        for image in &sample.images {
            let is_blamed = !has_culprit || self.class(image) == PressureClass::Pressing;
            let evidence = self.images.entry(image.clone()).or_default();
            if !is_bad {
                evidence.good += 1;
            } else if is_blamed {
                evidence.bad += 1;
            }
            if evidence.good + evidence.bad > EVIDENCE_LIMIT {
                evidence.good /= 2;
                evidence.bad /= 2;
            }
        }
    }

    /// Returns what the readings say of an image.
    pub fn class(&self, image: &str) -> PressureClass {
        self.images
            .get(image)
            .map_or(PressureClass::Unknown, |evidence| evidence.class())
    }

    /// Returns the images that leave the tasks beside them alone.
    pub fn light_images(&self) -> impl Iterator<Item = &str> {
        self.images
            .iter()
            .filter(|(_, evidence)| evidence.class() == PressureClass::Light)
            .map(|(image, _)| image.as_str())
    }
}
