//! The parts of prompts that recently completed at this box, and are therefore less likely to be
//! harmful. A part may complete and be harmful later, so this is a weight and no pardon.

use crate::gateway::suspect_key::SuspectKey;
use std::cmp::Reverse;
use std::collections::HashMap;

/// How often and when a part last completed.
#[derive(Debug, Clone, Copy, Default)]
struct PartCompletion {
    count: u32,
    last_ms: u64,
}

/// The parts that recently completed at this box, of which the most frequent are kept.
#[derive(Debug, Clone, Default)]
pub(super) struct SoundParts {
    completions: HashMap<SuspectKey, PartCompletion>,
}

impl SoundParts {
    /// The maximum number of parts kept; half of them survive each expiry.
    const MAX_PARTS: usize = 2_048;

    /// Records that a part completed. Beyond the bound, new parts wait for the next expiry.
    pub(super) fn note_completed(&mut self, part: SuspectKey, now_ms: u64) {
        let is_full = self.completions.len() >= Self::MAX_PARTS;
        let known = match is_full {
            true => self.completions.get_mut(&part),
            false => Some(self.completions.entry(part).or_default()),
        };
        if let Some(completion) = known {
            completion.count = completion.count.saturating_add(1);
            completion.last_ms = now_ms;
        }
    }

    /// Returns when a part last completed.
    pub(super) fn completed_ms(&self, part: SuspectKey) -> Option<u64> {
        self.completions
            .get(&part)
            .map(|completion| completion.last_ms)
    }

    /// Removes what completed before `oldest_ms` and, near the bound, the rarest parts. Halved
    /// counts let parts that become frequent replace those that were.
    pub(super) fn expire(&mut self, oldest_ms: u64) {
        self.completions
            .retain(|_, completion| completion.last_ms >= oldest_ms);
        if self.completions.len() <= Self::MAX_PARTS / 2 {
            return;
        }
        let ranks = self.completions.iter();
        let mut ranks: Vec<(u32, u64, SuspectKey)> = ranks
            .map(|(part, completion)| (completion.count, completion.last_ms, *part))
            .collect();
        ranks.select_nth_unstable_by_key(Self::MAX_PARTS / 2, |rank| Reverse(*rank));
        for (_, _, part) in &ranks[Self::MAX_PARTS / 2..] {
            self.completions.remove(part);
        }
        let completions = self.completions.values_mut();
        completions.for_each(|completion| completion.count /= 2);
    }
}

#[cfg(test)]
mod tests;
