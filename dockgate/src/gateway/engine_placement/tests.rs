use super::*;
use yare::parameterized;

#[parameterized(
    many_local = { &[1, 2, 3, 4, 5], &[9, 8], 0, &[1, 2, 3] },
    one_remote_last = { &[1, 2, 3, 4], &[9, 8], 1, &[1, 2, 3, 9] },
    few_local = { &[1], &[9, 8, 7, 6], 0, &[1, 9, 8] },
    few_local_and_one_remote = { &[1, 2], &[9, 8, 7], 1, &[1, 2, 9, 8] },
    none_local = { &[], &[9, 8, 7, 6], 0, &[9, 8, 7] },
    none_at_all = { &[], &[], 1, &[] },
)]
fn homes_in_the_local_domain_come_first(
    local: &[u64],
    remote: &[u64],
    remote_homes: usize,
    homes: &[u64],
) {
    // The parameters are ranks in the order of the subject, not endpoint ids.
    let service = ServiceSpec {
        name: "x".to_owned(),
        connections: 100,
        engine: None,
        warmup: None,
    };
    let prompt = PromptShape {
        model: String::new(),
        input: 100,
        output: 10,
        max_output: 10,
        parts: Vec::new(),
    };
    let beyond = ShareLevel::new(2.0);
    let query = EngineQuery {
        service: &service,
        prompt: &prompt,
        own_subject: 7,
        tried: &[],
        resumed: false,
        level: if remote_homes == 0 {
            beyond
        } else {
            ShareLevel::WITHIN
        },
    };
    let all = (0..100).map(EndpointId);
    let order = best_homes(7, all, 100, |_| true);
    // Ranks of remote engines count down from 9, the best one first.
    let engine_at = |rank: &u64| match remote.contains(rank) {
        true => order[(10 - *rank) as usize],
        false => order[(*rank + 10) as usize],
    };
    let of_domain = |ranks: &[u64], domain: u32| -> Vec<ReadyEndpoint> {
        let ready = ranks.iter().map(|rank| ReadyEndpoint {
            id: engine_at(rank),
            domain: DomainKey(domain),
        });
        ready.collect()
    };
    let ready = [of_domain(local, 1), of_domain(remote, 2)].concat();
    let found = select_homes(&query, &ready, DomainKey(1), |_| true);
    let expected: Vec<EndpointId> = homes.iter().map(engine_at).collect();
    assert_eq!(found, expected);
}
