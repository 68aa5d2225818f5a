use super::*;
use yare::parameterized;

#[parameterized(
    many_near = { &[1, 2, 3, 4, 5], &[9, 8], 0, &[1, 2, 3] },
    one_far_as_the_last = { &[1, 2, 3, 4], &[9, 8], 1, &[1, 2, 3, 9] },
    few_near = { &[1], &[9, 8, 7, 6], 0, &[1, 9, 8] },
    few_near_and_one_far = { &[1, 2], &[9, 8, 7], 1, &[1, 2, 9, 8] },
    none_near = { &[], &[9, 8, 7, 6], 0, &[9, 8, 7] },
    none_at_all = { &[], &[], 1, &[] },
)]
fn homes_of_the_own_domain_go_first(near: &[u64], far: &[u64], far_homes: usize, homes: &[u64]) {
    // Far engines stand between the near ones in the order of the subject.
    let order = far.iter().chain(near).map(|id| EndpointId(*id));
    let found = near_first(order.collect(), |id| near.contains(&id.0), far_homes);
    let found: Vec<u64> = found.iter().map(|id| id.0).collect();
    assert_eq!(found, homes);
}
