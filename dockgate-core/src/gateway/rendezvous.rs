//! Rendezvous hashing: the home endpoints of a placement key, and the box that owns an endpoint.
//!
//! Boxes with the same view agree without communication. Adding or removing an endpoint or a box
//! moves only the keys or endpoints assigned to it.

use super::home_weights::HomeWeights;
use super::route_table::EndpointId;
use crate::ids::BoxKey;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hashes a name to a key that is the same on every box.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the placement key of a request that has tried a number of endpoints.
///
/// The first two attempts use the key that the request shares with others, later ones the request's
/// `own` key. Requests with the same homes would otherwise follow a request that crashes endpoints
/// from one endpoint to the next, and would be suspected along with it.
pub const fn placement_key(shared: u64, own: u64, tried: usize) -> u64 {
    /// The first retry keeps the shared key, as its homes have the shared prompt parts cached.
    const SHARED_ATTEMPTS: usize = 2;
    match tried < SHARED_ATTEMPTS {
        true => shared,
        false => own,
    }
}

fn score(item: u64, holder: u64) -> u64 {
    xxh3_64_with_seed(&item.to_le_bytes(), holder)
}

/// Selects up to `count` homes of a placement key among the accepted endpoints, best first.
///
/// Makes one pass without sorting; `accepts` is called only for endpoints that would be selected.
pub fn best_homes(
    key: u64,
    endpoints: impl Iterator<Item = EndpointId>,
    count: usize,
    accepts: impl Fn(EndpointId) -> bool,
) -> Vec<EndpointId> {
    let mut best: Vec<(u64, EndpointId)> = Vec::new();
    for endpoint in endpoints {
        let scored = (score(key, endpoint.0), endpoint);
        let is_better = best.len() < count || best.last().is_some_and(|last| scored > *last);
        if count == 0 || !is_better || !accepts(endpoint) {
            continue;
        }
        let place = best.partition_point(|kept| *kept > scored);
        best.insert(place, scored);
        best.truncate(count);
    }
    best.into_iter().map(|(_, endpoint)| endpoint).collect()
}

/// Selects homes like [`best_homes`], and the more often the larger their weight: the portion of
/// the keys whose best home an endpoint is equals its portion of the weights.
///
/// The score of an endpoint is `-weight / ln(u)`, with `u` in (0, 1) from the hash. A changed
/// weight moves only keys to or from its endpoint. Without weights the result is that of
/// `best_homes`.
pub fn weighted_homes(
    key: u64,
    endpoints: impl Iterator<Item = EndpointId>,
    weights: &HomeWeights,
    count: usize,
    accepts: impl Fn(EndpointId) -> bool,
) -> Vec<EndpointId> {
    if weights.is_uniform() {
        return best_homes(key, endpoints, count, accepts);
    }
    let mut best: Vec<(f64, u64, EndpointId)> = Vec::new();
    // Nearly all endpoints are excluded by their hash alone, without a weight or a logarithm.
    let mut max_distance = u64::MAX;
    for endpoint in endpoints {
        let hash = score(key, endpoint.0);
        if count == 0 || !hash > max_distance {
            continue;
        }
        let scored = (weighted_score(hash, weights.get(endpoint)), hash, endpoint);
        let is_better = best.len() < count || best.last().is_some_and(|last| scored > *last);
        if !is_better || !accepts(endpoint) {
            continue;
        }
        let place = best.partition_point(|kept| *kept > scored);
        best.insert(place, scored);
        best.truncate(count);
        if let Some((worst, ..)) = best.last().filter(|_| best.len() == count) {
            max_distance = max_distance_for(*worst, weights.max());
        }
    }
    best.into_iter().map(|(.., endpoint)| endpoint).collect()
}

/// The range of a hash, as a number.
const HASH_RANGE: f64 = u64::MAX as f64;

/// Returns `-weight / ln(u)`.
///
/// The logarithm is computed from the distance of the hash from its maximum, since `u` itself would
/// be rounded to 1 for the hashes that matter.
fn weighted_score(hash: u64, weight: f64) -> f64 {
    let distance = (!hash as f64 + 1.0) / HASH_RANGE;
    -weight / (-distance).ln_1p()
}

/// Returns the maximum distance of a hash from its maximum at which an endpoint of at most this
/// weight reaches a score.
fn max_distance_for(score: f64, max_weight: f64) -> u64 {
    /// Exceeds the rounding errors of both functions.
    const MARGIN: f64 = 1.0 + 1e-9;
    (-(-max_weight / score).exp_m1() * MARGIN * HASH_RANGE) as u64
}

/// Draws a number for a request and an endpoint, by which ties between endpoints are broken: boxes
/// that see the same load then spread their requests over all of them.
pub fn tie_break(request: u64, endpoint: EndpointId) -> u64 {
    score(request, endpoint.0)
}

/// Scores a box for a key, so that all boxes choose the same ones for it.
pub fn box_score(key: u64, candidate: BoxKey) -> u64 {
    score(key, u64::from(candidate.0))
}

/// Scores a pair of boxes, so that each box ranks the others in an order of its own.
pub fn pair_score(one: BoxKey, other: BoxKey) -> u64 {
    score(u64::from(one.0), u64::from(other.0))
}

/// Selects the box among `boxes` that owns an endpoint, or `None` if there are no boxes.
pub fn owner_of_endpoint(
    endpoint: EndpointId,
    boxes: impl Iterator<Item = BoxKey>,
) -> Option<BoxKey> {
    boxes.max_by_key(|candidate| (score(endpoint.0, u64::from(candidate.0)), *candidate))
}

#[cfg(test)]
mod tests;
