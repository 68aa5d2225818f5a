//! Budget of retries to a second endpoint, as this box's part of the fleet's budget.
//!
//! Within any window, the fleet may retry a ratio of the requests for a service plus a fixed slack.
//! Each box may apply the ratio to its own requests. The slack is divided by the maximum number of
//! boxes rather than by those currently known, so that a partition cannot spend it twice.

use std::collections::{HashMap, VecDeque};

/// Retry budget of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryRule {
    /// Retries per request.
    pub ratio: f64,
    /// Length of the sliding window, in milliseconds.
    pub window_ms: u64,
    /// Additional retries per window for the whole fleet.
    pub slack: f64,
    /// Maximum number of boxes in the fleet.
    pub boxes: u32,
}

#[derive(Debug, Clone, Default)]
struct ServiceWindow {
    requests: VecDeque<u64>,
    retries: VecDeque<u64>,
}

impl ServiceWindow {
    fn expire(&mut self, before_ms: u64) {
        for times in [&mut self.requests, &mut self.retries] {
            let expired = times.iter().take_while(|at| **at < before_ms).count();
            times.drain(..expired);
        }
    }
}

/// Counts requests and retries by service over a sliding window.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    rule: RetryRule,
    services: HashMap<String, ServiceWindow>,
}

impl RetryBudget {
    /// Fraction of the allowance that is used; the rest covers differences in clocks and counts.
    const USED_FRACTION: f64 = 0.8;

    /// Creates a budget without any requests or retries.
    pub fn new(rule: RetryRule) -> Self {
        Self {
            rule,
            services: HashMap::new(),
        }
    }

    /// Sets the budget of the whole fleet, and keeps the counts.
    pub const fn set_rule(&mut self, rule: RetryRule) {
        self.rule = rule;
    }

    /// Sets the number of boxes that share the slack.
    pub fn set_boxes(&mut self, boxes: u32) {
        self.rule.boxes = boxes.max(1);
    }

    /// Records a request for a service.
    pub fn record_request(&mut self, service: &str, now_ms: u64) {
        let window = self.window(service, now_ms);
        window.requests.push_back(now_ms);
    }

    /// Takes one retry out of the budget; returns false if it is exhausted.
    pub fn try_take(&mut self, service: &str, now_ms: u64) -> bool {
        let rule = self.rule;
        let window = self.window(service, now_ms);
        let earned = window.requests.len() as f64 * rule.ratio;
        let slack = rule.slack / f64::from(rule.boxes.max(1));
        let allowed = (earned + slack) * Self::USED_FRACTION;
        let is_allowed = (window.retries.len() as f64) + 1.0 <= allowed;
        if is_allowed {
            window.retries.push_back(now_ms);
        }
        is_allowed
    }

    /// Gives back a retry that was taken at `taken_ms` and not sent.
    pub fn give_back(&mut self, service: &str, taken_ms: u64) {
        let Some(window) = self.services.get_mut(service) else {
            return;
        };
        // The clock may step back, so the times are not strictly ordered.
        let position = window.retries.iter().rposition(|at| *at == taken_ms);
        if let Some(position) = position {
            window.retries.remove(position);
        }
    }

    fn window(&mut self, service: &str, now_ms: u64) -> &mut ServiceWindow {
        let before_ms = now_ms.saturating_sub(self.rule.window_ms);
        let window = self.services.entry(service.to_owned()).or_default();
        window.expire(before_ms);
        window
    }
}

#[cfg(test)]
mod tests;
