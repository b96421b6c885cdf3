//! Which best-effort images disturb which images with a latency target.

use std::collections::BTreeMap;

use smol_str::SmolStr;

/// The weight of evidence above which older evidence fades.
const EVIDENCE_LIMIT: f64 = 60.0;
/// The evidence that a pair needs before it counts as harmful.
const HARMFUL_WEIGHT: f64 = 1.5;
/// The part of a pair's evidence that has to speak against it before it counts as harmful.
const HARMFUL_SHARE: f64 = 0.2;
/// The evidence after which a pair without any fault counts as harmless.
const HARMLESS_WEIGHT: f64 = 6.0;
/// The suspicion against a pair without evidence.
const FIRST_SUSPICION: f64 = 0.1;
/// The most that a single tail counts, in multiples of its target.
const TAIL_LIMIT: f64 = 2.0;

/// What was seen of two images side by side.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct PairEvidence {
    harmful: f64,
    harmless: f64,
}

impl PairEvidence {
    /// Returns how likely the pair is to disturb.
    fn suspicion(self) -> f64 {
        (self.harmful + FIRST_SUSPICION) / (self.harmful + self.harmless + 1.0)
    }

    fn is_harmful(self) -> bool {
        let total = self.harmful + self.harmless;
        self.harmful >= HARMFUL_WEIGHT && self.harmful > total * HARMFUL_SHARE
    }

    fn is_harmless(self) -> bool {
        !self.is_harmful() && self.harmless >= HARMLESS_WEIGHT
    }

    /// Lets old evidence fade, so that a change of behaviour shows.
    fn fade(&mut self) {
        let total = self.harmful + self.harmless;
        if total > EVIDENCE_LIMIT {
            self.harmful *= EVIDENCE_LIMIT / total;
            self.harmless *= EVIDENCE_LIMIT / total;
        }
    }
}

/// Which best-effort images disturb which images with a latency target.
///
/// A tail above its target counts against the best-effort images beside it that are known to be
/// harmful, or else against those that aren't known to be harmless; a calm tail counts for all.
#[derive(Debug, Clone, Default)]
pub struct InterferenceTable {
    pairs: BTreeMap<SmolStr, BTreeMap<SmolStr, PairEvidence>>,
}

impl InterferenceTable {
    /// Takes note of a calm tail beside best-effort images at full speed.
    pub fn saw_calm(&mut self, served: &SmolStr, beside: &[SmolStr]) {
        for image in beside {
            let pair = self.pair_mut(served, image);
            pair.harmless += 1.0;
            pair.fade();
        }
    }

    /// Takes note of a tail above its target, given in multiples of the target.
    pub fn saw_harm(&mut self, served: &SmolStr, beside: &[SmolStr], tail: f64) {
        let suspects = self.suspects(served, beside);
        let total: f64 = suspects
            .iter()
            .map(|image| self.pair(served, image).suspicion())
            .sum();
        let weight = tail.min(TAIL_LIMIT);
        for image in suspects {
            let pair = self.pair_mut(served, image);
            pair.harmful += weight * pair.suspicion() / total;
            pair.fade();
        }
    }

    /// Returns the images that most likely raised a tail.
    fn suspects<'a>(&self, served: &SmolStr, beside: &'a [SmolStr]) -> Vec<&'a SmolStr> {
        let with = |test: &dyn Fn(PairEvidence) -> bool| -> Vec<&'a SmolStr> {
            let matches = |image: &&SmolStr| test(self.pair(served, image));
            beside.iter().filter(matches).collect()
        };
        let harmful = with(&PairEvidence::is_harmful);
        if !harmful.is_empty() {
            return harmful;
        }
        let unclear = with(&|pair| !pair.is_harmless());
        if unclear.is_empty() {
            return beside.iter().collect();
        }
        unclear
    }

    /// Returns the number of best-effort images that are known to disturb any of the given ones.
    pub fn harmful_count<'a>(&self, served: impl Iterator<Item = &'a SmolStr>) -> usize {
        let images = served.filter_map(|one| self.pairs.get(one)).flatten();
        let harmful = images.filter(|(_, pair)| pair.is_harmful());
        let mut harmful: Vec<&SmolStr> = harmful.map(|(image, _)| image).collect();
        harmful.sort_unstable();
        harmful.dedup();
        harmful.len()
    }

    /// Tells whether a best-effort image is known to disturb an image with a latency target.
    pub fn is_harmful(&self, served: &SmolStr, image: &SmolStr) -> bool {
        self.pair(served, image).is_harmful()
    }

    /// Tells whether both were seen side by side often enough, without harm.
    pub fn is_harmless(&self, served: &SmolStr, image: &SmolStr) -> bool {
        self.pair(served, image).is_harmless()
    }

    fn pair(&self, served: &SmolStr, image: &SmolStr) -> PairEvidence {
        let row = self.pairs.get(served);
        row.and_then(|row| row.get(image).copied())
            .unwrap_or_default()
    }

    fn pair_mut(&mut self, served: &SmolStr, image: &SmolStr) -> &mut PairEvidence {
        let row = self.pairs.entry(served.clone()).or_default();
        row.entry(image.clone()).or_default()
    }
}
