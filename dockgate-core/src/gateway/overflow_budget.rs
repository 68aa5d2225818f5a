//! Limits how often prompts are offered to engines beyond their homes.
//!
//! Few homes keep the shared parts of prompts on few engines. A burst of prompts with the same parts
//! overflows them while other engines are idle, and no caller is served better by a refusal then.
//! Further engines are therefore asked, as long as they grant a part of what they are asked: if the
//! whole fleet is busy, the budget runs out and prompts are refused at once.
//!
//! ```
//! use dockgate_core::gateway::OverflowBudget;
//!
//! let mut budget = OverflowBudget::default();
//! assert!(budget.try_ask(1_000));
//! budget.record_grant();
//! while budget.try_ask(1_000) {}
//! assert!(!budget.try_ask(1_001));
//! assert!(budget.try_ask(2_000), "it is tried again later");
//! ```

/// A budget of requests to engines beyond the homes of prompts.
#[derive(Debug, Clone, Copy)]
pub struct OverflowBudget {
    /// The number of requests that may be sent.
    credit: f64,
    updated_ms: u64,
}

impl Default for OverflowBudget {
    fn default() -> Self {
        Self {
            credit: Self::MAX_CREDIT,
            updated_ms: 0,
        }
    }
}

impl OverflowBudget {
    /// The largest number of requests without a grant.
    const MAX_CREDIT: f64 = 32.0;
    /// The number of requests that each grant pays for.
    const CREDIT_PER_GRANT: f64 = 4.0;
    /// The number of requests per second without any grant, by which idle engines are noticed.
    const CREDIT_PER_S: f64 = 4.0;

    /// Takes the credit for one request; returns `false` if there is none.
    pub fn try_ask(&mut self, now_ms: u64) -> bool {
        let elapsed_s = now_ms.saturating_sub(self.updated_ms) as f64 / 1_000.0;
        self.updated_ms = self.updated_ms.max(now_ms);
        self.credit = (self.credit + elapsed_s * Self::CREDIT_PER_S).min(Self::MAX_CREDIT);
        let may_ask = self.credit >= 1.0;
        if may_ask {
            self.credit -= 1.0;
        }
        may_ask
    }

    /// Records that a request was granted.
    pub fn record_grant(&mut self) {
        self.credit = (self.credit + Self::CREDIT_PER_GRANT).min(Self::MAX_CREDIT);
    }
}

#[cfg(test)]
mod tests;
