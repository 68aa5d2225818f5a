//! How many lines about requests are written in a second.
//!
//! A flood of refusals must not become a flood of lines: each costs processor time that the refusals
//! need, and whoever keeps the logs pays for all of them.

/// Lines about requests within the current second.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LineRateLimiter {
    second: u64,
    taken: u64,
    held_back: u64,
}

impl LineRateLimiter {
    /// The most lines about requests that are written in a second, beside those of sampled requests.
    /// At 400 bytes each a box writes 80 KB a second; on the users' loaded days a box refuses up to
    /// 60 requests a second, and one that has a flood refuses thousands.
    pub(crate) const MOST_A_SECOND: u64 = 200;

    /// Creates the budget of a process that has written nothing.
    pub(crate) const fn new() -> Self {
        Self {
            second: 0,
            taken: 0,
            held_back: 0,
        }
    }

    /// Takes a line from the budget; returns whether it may be written.
    pub(crate) const fn take(&mut self, now_ms: u64) -> bool {
        let second = now_ms / 1_000;
        if second != self.second {
            self.second = second;
            self.taken = 0;
        }
        let free = self.taken < Self::MOST_A_SECOND;
        match free {
            true => self.taken += 1,
            false => self.held_back += 1,
        }
        free
    }

    /// Returns how many lines were held back since this was asked last.
    pub(crate) const fn take_held_back(&mut self) -> u64 {
        std::mem::replace(&mut self.held_back, 0)
    }
}

#[cfg(test)]
mod tests;
