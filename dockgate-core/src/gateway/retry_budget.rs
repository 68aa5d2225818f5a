//! How many requests this box may send to a second endpoint, as its part of the fleet's budget.
//!
//! The fleet may send, within any window, a ratio of the requests for a service and a fixed slack
//! on top. The ratio is safe to spend box by box; the slack is divided by the number of boxes that
//! the fleet could have, not by those seen now, so that a partition cannot spend it twice.

use std::collections::{HashMap, VecDeque};

/// The budget of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryRule {
    /// Further sends for each request.
    pub ratio: f64,
    /// The window in which both are counted, in milliseconds.
    pub window_ms: u64,
    /// Further sends in each window on top, over the fleet.
    pub slack: f64,
    /// How many boxes the fleet could have.
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
            let gone = times.iter().take_while(|at| **at < before_ms).count();
            times.drain(..gone);
        }
    }
}

/// Counts requests and further sends of each service over a sliding window.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    rule: RetryRule,
    services: HashMap<String, ServiceWindow>,
}

impl RetryBudget {
    /// How much of the allowance is used: the rest covers clocks and counts that differ a little.
    const USED_FRACTION: f64 = 0.8;

    /// Makes a budget with nothing counted.
    pub fn new(rule: RetryRule) -> Self {
        Self {
            rule,
            services: HashMap::new(),
        }
    }

    /// Sets the budget of the whole fleet; what was counted stays.
    pub const fn set_rule(&mut self, rule: RetryRule) {
        self.rule = rule;
    }

    /// Sets the number of boxes that share the slack.
    pub fn set_boxes(&mut self, boxes: u32) {
        self.rule.boxes = boxes.max(1);
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, service: &str, now_ms: u64) {
        let window = self.window(service, now_ms);
        window.requests.push_back(now_ms);
    }

    /// Takes one further send out of the budget; returns false where none is left.
    pub fn try_take(&mut self, service: &str, now_ms: u64) -> bool {
        let rule = self.rule;
        let window = self.window(service, now_ms);
        let earned = window.requests.len() as f64 * rule.ratio;
        let slack = rule.slack / f64::from(rule.boxes.max(1));
        let allowed = (earned + slack) * Self::USED_FRACTION;
        let left = (window.retries.len() as f64) + 1.0 <= allowed;
        if left {
            window.retries.push_back(now_ms);
        }
        left
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
