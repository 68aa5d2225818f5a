//! The weights of endpoints in rendezvous hashing.

use super::route_table::EndpointId;
use std::collections::HashMap;

/// The weights of the endpoints whose weight is not 1.
#[derive(Debug, Clone, PartialEq)]
pub struct HomeWeights {
    weights: HashMap<EndpointId, f64>,
    max: f64,
}

impl Default for HomeWeights {
    fn default() -> Self {
        Self {
            weights: HashMap::new(),
            max: 1.0,
        }
    }
}

impl HomeWeights {
    /// Returns whether all endpoints have weight 1.
    pub fn is_uniform(&self) -> bool {
        self.weights.is_empty()
    }

    /// Returns the weight of an endpoint.
    pub fn get(&self, endpoint: EndpointId) -> f64 {
        self.weights.get(&endpoint).copied().unwrap_or(1.0)
    }

    /// Returns an upper bound of the weights.
    pub const fn max(&self) -> f64 {
        self.max
    }

    /// Iterates over the endpoints whose weight is not 1.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointId, f64)> {
        self.weights.iter().map(|(id, weight)| (*id, *weight))
    }
}

impl FromIterator<(EndpointId, f64)> for HomeWeights {
    /// Collects the weights, which must be positive and finite.
    fn from_iter<T: IntoIterator<Item = (EndpointId, f64)>>(weights: T) -> Self {
        let weights = weights.into_iter().filter(|(_, weight)| *weight != 1.0);
        let weights: HashMap<EndpointId, f64> = weights.collect();
        let max = weights.values().copied().fold(1.0, f64::max);
        Self { weights, max }
    }
}
