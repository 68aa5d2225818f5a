use super::*;

const ENGINE: EndpointId = EndpointId(1);
const OLD: BoxKey = BoxKey(1);
const NEW: BoxKey = BoxKey(2);

fn prompt(shared_part: u64, own_part: u64) -> Vec<PromptPart> {
    [7, shared_part, own_part]
        .map(|id| PromptPart { id, tokens: 100 })
        .to_vec()
}

fn has_moved(owner: BoxKey, informed_owner: BoxKey) -> bool {
    owner != informed_owner
}

#[test]
fn new_owner_receives_each_chain_once() {
    let mut history = PrefixHistory::default();
    for own_part in 0..5 {
        history.record(ENGINE, OLD, &prompt(10, own_part));
        history.record(ENGINE, OLD, &prompt(11, own_part));
    }
    assert_eq!(history.take_reports(|_| Some(OLD), has_moved), Vec::new());
    let reports = history.take_reports(|_| Some(NEW), has_moved);
    let chains: Vec<&[PromptPart]> = reports.iter().map(|report| &report.parts[..]).collect();
    assert_eq!(chains, [&prompt(10, 0)[..2], &prompt(11, 0)[..2]]);
    assert!(
        reports
            .iter()
            .all(|report| report.owner == NEW && report.endpoint == ENGINE)
    );
    assert_eq!(
        history.take_reports(|_| Some(NEW), has_moved),
        Vec::new(),
        "the owner has already been informed"
    );
    assert_eq!(
        history.take_reports(|_| Some(NEW), |_, _| true).len(),
        2,
        "a restarted owner has not been informed"
    );
}

#[test]
fn only_recent_chains_of_known_engines_are_kept() {
    let mut history = PrefixHistory::default();
    for shared_part in 0..100 {
        history.record(ENGINE, OLD, &prompt(shared_part, 0));
    }
    assert_eq!(
        history.take_reports(|_| Some(NEW), has_moved).len(),
        PrefixHistory::MAX_CHAINS
    );
    assert!(history.take_reports(|_| None, |_, _| true).is_empty());
    assert!(
        history.take_reports(|_| Some(OLD), |_, _| true).is_empty(),
        "the engine has been removed"
    );
}
